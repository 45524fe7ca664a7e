//! Connects the decisions of `tulipwall` to a simulator. Each line of JSON on standard input is
//! answered by one line on standard output, for many simulated agents in one process. The adapter
//! keeps timers and the names of open requests, and makes no decisions itself.
#![warn(missing_docs)]
#![warn(clippy::too_many_lines)]

mod adapter;
mod error;
mod instance;
mod requests;
mod wire;

use adapter::Adapter;
use error::AdapterError;
use std::io::{self, BufRead, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    let mut adapter = Adapter::default();
    let mut out = io::BufWriter::new(io::stdout().lock());
    for (index, line) in io::stdin().lock().split(b'\n').enumerate() {
        let reply = line
            .map_err(AdapterError::from)
            .and_then(|line| adapter.handle_line(&line));
        let reply = match reply {
            Ok(reply) => reply,
            Err(error) => {
                eprintln!("tulipwall-sim-adapter: line {}: {error}", index + 1);
                return ExitCode::FAILURE;
            }
        };
        let written = writeln!(out, "{reply}").and_then(|()| out.flush());
        // The simulator has exited, so nobody would read an error message.
        if written.is_err() {
            return ExitCode::FAILURE;
        }
    }
    ExitCode::SUCCESS
}
