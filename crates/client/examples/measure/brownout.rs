//! Measures a brownout, in which each attempt takes twenty times as long for five seconds: the load
//! on the endpoints meanwhile, and the time until the throughput recovers.

use crate::cluster::{payments_run_twice, sample_increase, start_agent, start_endpoints};
use crate::fleet::{ClientFleet, ClientKind};
use std::ops::Range;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use tulipwall_testkit::TestCluster;

/// The interval at which counts are sampled.
pub const SAMPLE_INTERVAL: Duration = Duration::from_millis(250);
const SAMPLES_PER_SECOND: f64 = 4.0;
const SAMPLES: usize = 64;
const CLIENTS: usize = 80;
const CALL_PAUSE: Duration = Duration::from_millis(180);
const WARM_UP: Duration = Duration::from_secs(2);
const USUAL_WORK: Duration = Duration::from_millis(10);
const SLOW_WORK: Duration = Duration::from_millis(200);
/// The time from the first sample to the start of the brownout, and the length of the brownout.
const BROWNOUT_AFTER: Duration = Duration::from_secs(3);
const BROWNOUT_DURATION: Duration = Duration::from_secs(5);
/// The samples before the brownout, during it once it has taken effect, and right after it.
const BEFORE: Range<usize> = 0..12;
const DURING: Range<usize> = 14..32;
const JUST_AFTER: Range<usize> = 32..40;
/// The throughput has recovered at this fraction of the usual throughput.
const RECOVERED_FRACTION: f64 = 0.95;

/// The counts of each sample interval.
pub struct Measurements {
    /// Requests that were sent to the agent.
    agent_requests: Vec<f64>,
    /// Attempts that reached the endpoints.
    pub endpoint_attempts: Vec<f64>,
    /// Calls that succeeded.
    pub successes: Vec<f64>,
}

/// Measures clients of one kind and prints a row of the table.
pub fn run(kind: ClientKind) -> Measurements {
    let cluster = Arc::new(start_endpoints(USUAL_WORK, 4));
    let agent = start_agent(&cluster);
    let address = agent.address().expect("the agent should have an address");
    let fleet = ClientFleet::start(kind, address, CLIENTS, CALL_PAUSE);
    thread::sleep(WARM_UP);
    let brownout = spawn_brownout(cluster.clone());
    let measurements = measure(&cluster, &fleet);
    let _ = brownout.join();
    fleet.stop();
    print_row(kind, &measurements, payments_run_twice(&cluster));
    measurements
}

fn spawn_brownout(cluster: Arc<TestCluster>) -> thread::JoinHandle<()> {
    thread::spawn(move || {
        thread::sleep(BROWNOUT_AFTER);
        set_work(&cluster, SLOW_WORK);
        thread::sleep(BROWNOUT_DURATION);
        set_work(&cluster, USUAL_WORK);
    })
}

fn set_work(cluster: &TestCluster, work: Duration) {
    for (_, endpoint) in cluster.endpoints_in_zone(0) {
        endpoint.update_behavior(|behavior| behavior.work = work);
    }
}

/// Samples all counts at the same times, each in a separate thread.
fn measure(cluster: &Arc<TestCluster>, fleet: &ClientFleet) -> Measurements {
    let cluster = cluster.clone();
    let endpoint_attempts = spawn_sampler(move || {
        let endpoints = cluster.endpoints_in_zone(0);
        let counts = endpoints
            .iter()
            .map(|(_, endpoint)| endpoint.received_count() as u64);
        counts.sum()
    });
    let agent_requests = spawn_sampler(fleet.attempt_count());
    let successes = sample_increase(SAMPLES, SAMPLE_INTERVAL, fleet.success_count());
    Measurements {
        agent_requests: agent_requests.join().unwrap_or_default(),
        endpoint_attempts: endpoint_attempts.join().unwrap_or_default(),
        successes,
    }
}

fn spawn_sampler(read_count: impl Fn() -> u64 + Send + 'static) -> thread::JoinHandle<Vec<f64>> {
    thread::spawn(move || sample_increase(SAMPLES, SAMPLE_INTERVAL, read_count))
}

fn print_row(kind: ClientKind, measured: &Measurements, payments_twice: usize) {
    let usual = per_second(&measured.successes[BEFORE]);
    let recovery = seconds_to_recover(&measured.successes[JUST_AFTER.start..], usual);
    let recovery = recovery.map_or("not in 8 s".into(), |s| format!("{s:.2} s"));
    println!(
        "| {} | {:.0} | {:.0} | {:.0} | {:.0} | {:.0} | {usual:.0} | {:.0} | {recovery} | {payments_twice} |",
        kind.label(),
        per_second(&measured.agent_requests[BEFORE]),
        per_second(&measured.agent_requests[DURING]),
        per_second(&measured.endpoint_attempts[BEFORE]),
        per_second(&measured.endpoint_attempts[DURING]),
        per_second(&measured.endpoint_attempts[JUST_AFTER]),
        per_second(&measured.successes[DURING]),
    );
}

/// Returns the seconds until the throughput over one second has recovered; `None` if it does not.
fn seconds_to_recover(successes: &[f64], usual: f64) -> Option<f64> {
    let mut seconds = successes.windows(SAMPLES_PER_SECOND as usize);
    let recovered = seconds.position(|second| per_second(second) >= usual * RECOVERED_FRACTION);
    recovered.map(|samples| samples as f64 / SAMPLES_PER_SECOND)
}

fn per_second(samples: &[f64]) -> f64 {
    let sum: f64 = samples.iter().sum();
    sum / samples.len().max(1) as f64 * SAMPLES_PER_SECOND
}
