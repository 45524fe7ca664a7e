//! The program `tulipwall-agent`; the library of the same package implements it.

#![warn(missing_docs)]
#![warn(clippy::too_many_lines)]

use std::process::ExitCode;

/// Each request allocates and frees many small values, for which mimalloc is fastest.
#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

fn main() -> ExitCode {
    tulipwall_agent::cli::main()
}
