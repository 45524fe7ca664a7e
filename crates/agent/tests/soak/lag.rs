//! How late the fakes and this process run, so that an observation that was made late is not taken
//! for an act of the agent that was late.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tulipwall_testkit::runtime;

/// The interval at which the lag is measured.
const INTERVAL: Duration = Duration::from_millis(5);
/// Smaller lags are not recorded.
const MIN_LAG: Duration = Duration::from_millis(10);

/// Measures how late the fakes' thread runs its tasks, until it is dropped.
pub struct LagMonitor {
    lags: Arc<Mutex<Vec<Lag>>>,
    _task: async_executor::Task<()>,
}

#[derive(Clone, Copy)]
struct Lag {
    due_at: Instant,
    ended_at: Instant,
}

impl LagMonitor {
    pub fn start() -> LagMonitor {
        let lags: Arc<Mutex<Vec<Lag>>> = Arc::default();
        let recorded = lags.clone();
        let measure = async move {
            loop {
                let due_at = Instant::now() + INTERVAL;
                runtime::sleep(INTERVAL).await;
                let ended_at = Instant::now();
                if ended_at - due_at >= MIN_LAG {
                    recorded.lock().unwrap().push(Lag { due_at, ended_at });
                }
            }
        };
        LagMonitor {
            lags,
            _task: runtime::spawn(measure),
        }
    }

    /// Returns the earliest time at which something may have happened that a fake observed at
    /// `observed_at`.
    pub fn earliest(&self, observed_at: Instant) -> Instant {
        let lags = self.lags.lock().unwrap();
        let mut earliest = observed_at;
        // Lags that follow each other directly add up.
        for lag in lags.iter().rev() {
            if lag.due_at <= earliest && earliest <= lag.ended_at + 2 * INTERVAL {
                earliest = lag.due_at;
            }
        }
        earliest
    }

    /// Returns the longest lag so far.
    pub fn longest(&self) -> Duration {
        let lags = self.lags.lock().unwrap();
        let longest = lags.iter().map(|lag| lag.ended_at - lag.due_at).max();
        longest.unwrap_or_default()
    }
}
