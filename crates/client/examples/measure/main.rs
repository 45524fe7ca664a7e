//! The figures and plots of `docs/client.md`: this library against a naive client, on the real
//! agent.
//!
//!     cargo build --release && cargo run --release -p tulipwall-client --example measure [FOLDER]
//!
//! The naive client keeps one connection, tries again after a fixed 50 ms whatever happened until
//! its time is over, and opens a new connection at once. With a folder the plots are written there.

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

/// How long a call may take.
const CALL_TIMEOUT: Duration = Duration::from_millis(1500);

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn main() {
    overhead::print_memory();
    println!("\n| clients | most new connections in 100 ms | over the mean | nine tenths within | all within | payments run twice |");
    println!("| --- | --- | --- | --- | --- | --- |");
    let naive_restart = restart::run(ClientKind::Naive);
    let careful_restart = restart::run(ClientKind::Careful);
    println!("\n| clients | requests/s at the agent before | during | attempts/s before | during | 2 s after | succeeded/s before | during | throughput back after | payments run twice |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    let naive_brownout = brownout::run(ClientKind::Naive);
    let careful_brownout = brownout::run(ClientKind::Careful);
    overhead::print_call_overhead();
    if let Some(folder) = std::env::args().nth(1).map(PathBuf::from) {
        plot_restart(&folder, &naive_restart, &careful_restart);
        plot_brownout(&folder, &naive_brownout, &careful_brownout);
    }
}

fn plot_restart(folder: &Path, naive: &[f64], careful: &[f64]) {
    write_plot(
        &folder.join("client-restart.svg"),
        "new connections each 100 ms after a restart, 200 clients",
        restart::SAMPLE_INTERVAL,
        [Curve::naive(naive), Curve::careful(careful)],
    );
}

fn plot_brownout(folder: &Path, naive: &brownout::Measurements, careful: &brownout::Measurements) {
    write_plot(
        &folder.join("client-brownout-load.svg"),
        "attempts at endpoints each 250 ms; slow from 3 to 8 s",
        brownout::SAMPLE_INTERVAL,
        [
            Curve::naive(&naive.endpoint_attempts),
            Curve::careful(&careful.endpoint_attempts),
        ],
    );
    write_plot(
        &folder.join("client-brownout-benefit.svg"),
        "successful requests each 250 ms; slow from 3 to 8 s",
        brownout::SAMPLE_INTERVAL,
        [
            Curve::naive(&naive.successes),
            Curve::careful(&careful.successes),
        ],
    );
}
