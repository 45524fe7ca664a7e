//! The real agent: the decisions of `tulipwall` on sockets. One thread, one `Balancer`.

use std::process::ExitCode;

/// Many small values come and go with each request.
#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

fn main() -> ExitCode {
    tulipwall_agent::cli::main()
}
