//! The real agent: the decisions of `tulipwall` on sockets. One thread, one `Choice`.

use std::process::ExitCode;

/// Many small values come and go with each command.
#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

fn main() -> ExitCode {
    tulipwall_agent::commands::main()
}
