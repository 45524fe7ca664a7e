//! Compares this library with a naive client on the real agent, for the figures and plots of
//! `docs/client.md`.
//!
//!     cargo build --release && cargo run --release -p tulipwall-client --example measure [FOLDER]
//!
//! The naive client keeps one connection, retries any failure after a fixed 50 ms until its
//! timeout, and reconnects immediately. The plots are written to FOLDER, if given.

mod brownout;
mod cluster;
mod fleet;
mod naive;
mod overhead;
mod plot;
mod restart;

use fleet::ClientKind;
use plot::{write_plot, Curve};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// The timeout of each call.
const CALL_TIMEOUT: Duration = Duration::from_millis(1500);

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn main() {
    overhead::print_memory();
    println!("\n| clients | most new connections in 100 ms | over the mean | nine tenths within | all within | payments run twice |");
    println!("| --- | --- | --- | --- | --- | --- |");
    let naive_restart = restart::run(ClientKind::Naive);
    let library_restart = restart::run(ClientKind::Library);
    println!("\n| clients | requests/s at the agent before | during | attempts/s before | during | 2 s after | succeeded/s before | during | throughput back after | payments run twice |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    let naive_brownout = brownout::run(ClientKind::Naive);
    let library_brownout = brownout::run(ClientKind::Library);
    overhead::print_call_overhead();
    if let Some(folder) = std::env::args().nth(1).map(PathBuf::from) {
        plot_restart(&folder, &naive_restart, &library_restart);
        plot_brownout(&folder, &naive_brownout, &library_brownout);
    }
}

fn plot_restart(folder: &Path, naive: &[f64], library: &[f64]) {
    write_plot(
        &folder.join("client-restart.svg"),
        "new connections each 100 ms after a restart, 200 clients",
        restart::SAMPLE_INTERVAL,
        [Curve::naive(naive), Curve::library(library)],
    );
}

fn plot_brownout(folder: &Path, naive: &brownout::Measurements, library: &brownout::Measurements) {
    write_plot(
        &folder.join("client-brownout-load.svg"),
        "attempts at endpoints each 250 ms; slow from 3 to 8 s",
        brownout::SAMPLE_INTERVAL,
        [
            Curve::naive(&naive.endpoint_attempts),
            Curve::library(&library.endpoint_attempts),
        ],
    );
    write_plot(
        &folder.join("client-brownout-benefit.svg"),
        "successful requests each 250 ms; slow from 3 to 8 s",
        brownout::SAMPLE_INTERVAL,
        [
            Curve::naive(&naive.successes),
            Curve::library(&library.successes),
        ],
    );
}
