//! The program `tulipwall-agent`: see the library of the same package.

#![warn(missing_docs)]
#![warn(clippy::too_many_lines)]

use std::process::ExitCode;

/// Each request allocates and frees many small values, which this allocator does fastest.
#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

fn main() -> ExitCode {
    tulipwall_agent::cli::main()
}
