//! A fake rollout platform: publishes the status of the newest build, accepts votes, and moves a
//! build through timed stages.

mod rollout_status;
mod service;
mod session;

pub use rollout_status::{notification, RolloutStatus};
pub use service::{CallResult, RolloutService};

use crate::runtime::{self, lock_unpoisoned, sleep, TerminationSignal};
use async_executor::Task;
use event_listener::Event;
use serde_json::{json, Value};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Interval at which the platform pings its subscribers.
const PING_INTERVAL: Duration = Duration::from_secs(1);
/// Interval at which a rollout checks whether it is held or rolled back.
const ROLLOUT_TICK: Duration = Duration::from_millis(50);
/// Age of the counts that the platform reports, in milliseconds.
const COUNTS_LAG_MS: u64 = 500;

/// The plan by which a build is rolled out.
#[derive(Clone, Debug)]
pub struct StagedRollout {
    /// The number of the build.
    pub build: u32,
    /// For each stage the cap: the share of requests, 0 to 1, that may go to the build.
    pub caps: Vec<f64>,
    /// How long each stage lasts, not counting holds.
    pub stage_duration: Duration,
}

struct State {
    service: RolloutService,
    notifications: Vec<Value>, // in order of publication
    silent: bool,
    connections: usize,
}

struct Shared {
    state: Mutex<State>,
    changed: Event,
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        lock_unpoisoned(&self.state)
    }

    fn notify(&self, method: &str, params: Value) {
        let notification = notification(method, params);
        self.state().notifications.push(notification);
        self.changed.notify(usize::MAX);
    }

    fn set_rollout_status(&self, status: RolloutStatus) {
        let value = status.value();
        self.state().service.rollout_status = status;
        self.notify("ROLLOUT", value);
    }
}

/// A fake platform. Dropping it closes its listener and stops its pings.
pub struct Platform {
    shared: Arc<Shared>,
    open: Arc<TerminationSignal>,
    /// The address on which the platform listens.
    pub address: SocketAddr,
    _tasks: Vec<Task<()>>,
}

impl Platform {
    /// Starts a platform that publishes this status of the newest build.
    pub fn start(rollout_status: RolloutStatus) -> io::Result<Platform> {
        let state = State {
            service: RolloutService::new(rollout_status),
            notifications: Vec::new(),
            silent: false,
            connections: 0,
        };
        let shared = Arc::new(Shared {
            state: Mutex::new(state),
            changed: Event::new(),
        });
        let open = Arc::<TerminationSignal>::default();
        let server_state = shared.clone();
        let serve = move |stream| {
            let shared = server_state.clone();
            shared.state().connections += 1;
            async move {
                let _ = session::serve(&shared, stream).await;
            }
        };
        let (address, listener) = runtime::listen(&open, serve)?;
        let pings = runtime::spawn(ping(shared.clone()));
        Ok(Platform {
            shared,
            open,
            address,
            _tasks: vec![listener, pings],
        })
    }

    /// Sets the status of the newest build and notifies all subscribers.
    pub fn set_rollout_status(&self, rollout_status: RolloutStatus) {
        self.shared.set_rollout_status(rollout_status);
    }

    /// Returns the status of the newest build.
    pub fn current_rollout(&self) -> RolloutStatus {
        self.shared.state().service.rollout_status.clone()
    }

    /// Notifies subscribers of a client-reported error: a client found an answer of this endpoint
    /// wrong, `age` ago.
    pub fn report_client_error(&self, endpoint: &str, class: &str, age: Duration) {
        let lag = age.as_millis() as u64;
        let params = json!({"host": endpoint, "type": class, "lag_ms": lag});
        self.shared.notify("DISPUTE", params);
    }

    /// Notifies subscribers of platform counts for a build and class, from a sample of all
    /// attempts: `bad` of `n` attempts did not succeed, and `latency` is their mean latency.
    pub fn report_counts(&self, build: u32, class: &str, n: u32, bad: u32, latency: Duration) {
        let latency_ms = latency.as_secs_f64() * 1000.0;
        let params = json!({
            "image": build,
            "type": class,
            "n": n,
            "bad": bad,
            "latency_ms": latency_ms,
            "lag_ms": COUNTS_LAG_MS,
        });
        self.shared.notify("SAMPLE", params);
    }

    /// Sets whether the platform omits its pings.
    pub fn set_silent(&self, silent: bool) {
        self.shared.state().silent = silent;
    }

    /// Returns how many connections were opened so far.
    pub fn connections(&self) -> usize {
        self.shared.state().connections
    }

    /// Closes all open connections.
    pub fn close_connections(&self) {
        self.open.end();
    }

    /// Returns the votes received so far, each with its time and its call parameters.
    pub fn votes(&self) -> Vec<(Instant, Value)> {
        self.shared.state().service.votes.clone()
    }

    /// Runs a staged rollout in the background. The stage timer is paused while a vote to hold is
    /// in force, and a vote to roll back ends the rollout. `on_stage` is called at the start of
    /// each stage with its index and its cap.
    pub fn run_rollout(
        &self,
        rollout: StagedRollout,
        on_stage: impl Fn(usize, f64) + Send + 'static,
    ) -> Task<()> {
        let shared = self.shared.clone();
        runtime::spawn(async move {
            for (stage, cap) in rollout.caps.iter().enumerate() {
                on_stage(stage, *cap);
                let status = RolloutStatus::now(rollout.build, stage, "trial", *cap);
                shared.set_rollout_status(status);
                if run_stage(&shared, rollout.stage_duration).await == StageEnd::RolledBack {
                    return;
                }
            }
            let last_stage = rollout.caps.len().saturating_sub(1);
            let released = RolloutStatus::now(rollout.build, last_stage, "released", 1.0);
            shared.set_rollout_status(released);
        })
    }
}

/// How a stage ends.
#[derive(PartialEq)]
enum StageEnd {
    Completed,
    RolledBack,
}

/// Waits until a stage has run for `duration`, not counting holds, or the build is rolled back.
async fn run_stage(shared: &Shared, duration: Duration) -> StageEnd {
    let mut elapsed = Duration::ZERO;
    while elapsed < duration {
        sleep(ROLLOUT_TICK).await;
        let state = shared.state();
        if state.service.rollout_status.phase == "rolling_back" {
            return StageEnd::RolledBack;
        }
        if !state.service.is_held() {
            elapsed += ROLLOUT_TICK;
        }
    }
    StageEnd::Completed
}

async fn ping(shared: Arc<Shared>) {
    loop {
        sleep(PING_INTERVAL).await;
        let silent = shared.state().silent;
        if !silent {
            shared.notify("ping", json!({}));
        }
    }
}
