//! A fake platform: tells of the newest build, takes votes, and carries a build through its stages
//! by the clock.

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

/// How often the platform pings those who watch.
const PING_INTERVAL: Duration = Duration::from_secs(1);
/// How often a rollout looks whether it is held or rolled back.
const ROLLOUT_TICK: Duration = Duration::from_millis(50);
/// How old the counts are that the platform reports, in milliseconds.
const COUNTS_LAG_MS: u64 = 500;

/// How a build is rolled out.
#[derive(Clone, Debug)]
pub struct StagedRollout {
    /// The build.
    pub build: u32,
    /// The cap of each stage: share of requests that may go to the build.
    pub caps: Vec<f64>,
    /// How long each stage lasts, without holds.
    pub stage_duration: Duration,
}

struct State {
    service: RolloutService,
    notifications: Vec<Value>, // in their order
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

/// A fake platform. It stops when it is dropped.
pub struct Platform {
    shared: Arc<Shared>,
    open: Arc<TerminationSignal>,
    /// Where it listens.
    pub address: SocketAddr,
    _tasks: Vec<Task<()>>,
}

impl Platform {
    /// Starts a platform with this status of the newest build.
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
        let served = shared.clone();
        let serve = move |stream| {
            let shared = served.clone();
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

    /// Sets the status of the newest build and notifies all of it.
    pub fn set_rollout_status(&self, rollout_status: RolloutStatus) {
        self.shared.set_rollout_status(rollout_status);
    }

    /// The status of the newest build.
    pub fn current_rollout(&self) -> RolloutStatus {
        self.shared.state().service.rollout_status.clone()
    }

    /// Notifies of a client that found an answer of this endpoint wrong, so long ago.
    pub fn report_client_error(&self, endpoint: &str, class: &str, age: Duration) {
        let lag = age.as_millis() as u64;
        let params = json!({"host": endpoint, "type": class, "lag_ms": lag});
        self.shared.notify("DISPUTE", params);
    }

    /// Notifies of what was counted of a build and class in a sample of all attempts: `bad` of `n`
    /// did not succeed, and they took so long in the mean.
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

    /// Whether it sends no pings.
    pub fn set_silent(&self, silent: bool) {
        self.shared.state().silent = silent;
    }

    /// How many connections were opened to it.
    pub fn connections(&self) -> usize {
        self.shared.state().connections
    }

    /// Ends all connections.
    pub fn close_connections(&self) {
        self.open.end();
    }

    /// The votes that came: when, and their parameters.
    pub fn votes(&self) -> Vec<(Instant, Value)> {
        self.shared.state().service.votes.clone()
    }

    /// Takes a build through its stages by the clock, which stands still while a vote to hold
    /// lasts. A vote to roll back ends it. `on_stage` is called at the beginning of each stage,
    /// with its index and its cap.
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

/// Waits until a stage has run for so long, without holds, or was rolled back.
async fn run_stage(shared: &Shared, duration: Duration) -> StageEnd {
    let mut ran = Duration::ZERO;
    while ran < duration {
        sleep(ROLLOUT_TICK).await;
        let state = shared.state();
        if state.service.rollout_status.phase == "rolling_back" {
            return StageEnd::RolledBack;
        }
        if !state.service.is_held() {
            ran += ROLLOUT_TICK;
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
