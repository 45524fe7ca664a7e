//! `tulipwall-call`: a command-line tool that makes calls with the client library.
#![warn(missing_docs)]
#![warn(clippy::too_many_lines)]

mod arguments;
mod batch;
mod report;

use arguments::Arguments;
use clap::Parser;
use std::process::ExitCode;
use tulipwall_client::Client;

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("warn")).init();
    let arguments = Arguments::parse();
    let config = match arguments.client_config() {
        Ok(config) => config,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::FAILURE;
        }
    };
    let client = Client::new(config);
    let exit_code = match arguments.single_call() {
        Some(call) => futures_lite::future::block_on(report::call_and_print(&client, call, 1)),
        None => batch::run(&client, arguments.at_once, arguments.timeout()),
    };
    if arguments.counters {
        report::print_counters(&client.stats());
    }
    exit_code.into()
}
