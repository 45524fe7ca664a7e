//! The platform: tells of the newest build, takes votes, and carries a build through its stages by
//! the clock.

use crate::runtime::{self, lock_unpoisoned, sleep, TerminationSignal};
use async_executor::Task;
use async_io::Async;
use event_listener::Event;
use futures_lite::future::FutureExt;
use futures_lite::io::BufReader;
use futures_lite::{AsyncBufReadExt, AsyncWriteExt};
use serde_json::{json, Value};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// What it says of the newest build.
#[derive(Clone, Debug, PartialEq)]
pub struct RolloutStatus {
    pub build: u32,
    pub stage: usize,
    /// `trial`, `rolling_back`, `released` or `withdrawn`.
    pub phase: String,
    pub cap: f64,
    pub since: Instant,
}

impl RolloutStatus {
    pub fn now(build: u32, stage: usize, phase: &str, cap: f64) -> RolloutStatus {
        RolloutStatus {
            build,
            stage,
            phase: phase.to_owned(),
            cap,
            since: Instant::now(),
        }
    }

    /// In the form of a configuration's `deployer.news`.
    pub fn value(&self) -> Value {
        self.value_at(Instant::now())
    }

    /// The same as it is told at another time.
    pub fn value_at(&self, now: Instant) -> Value {
        json!({"image": self.build, "ring": self.stage, "progress": self.phase, "ceiling": self.cap,
            "lag_ms": now.saturating_duration_since(self.since).as_millis() as u64})
    }

    /// The notification of it.
    pub fn notification(&self, now: Instant) -> Value {
        notification("ROLLOUT", self.value_at(now))
    }
}

/// How a build is offered: the cap of each stage, and how long each lasts.
#[derive(Clone, Debug)]
pub struct StagedRollout {
    pub build: u32,
    pub caps: Vec<f64>,
    pub stage_duration: Duration,
}

/// What the platform tells unasked.
pub fn notification(method: &str, params: Value) -> Value {
    json!({"jsonrpc": "2.0", "method": method, "params": params})
}

/// The calls that the platform takes, and what it knows of the newest build. Without sockets.
pub struct RolloutService {
    pub rollout_status: RolloutStatus,
    pub votes: Vec<(Instant, Value)>,
    held: Option<Instant>, // the last vote to hold
}

/// What becomes of a call.
pub struct CallResult {
    pub reply: Value,
    /// It asks to be told what comes.
    pub subscribes: bool,
    /// It changed the news, which are to be told to all.
    pub rollout_status: Option<RolloutStatus>,
}

impl RolloutService {
    pub fn new(rollout_status: RolloutStatus) -> RolloutService {
        RolloutService {
            rollout_status,
            votes: Vec::new(),
            held: None,
        }
    }

    pub fn handle_call(&mut self, now: Instant, call: &Value) -> CallResult {
        let id = call["id"].clone();
        let fault = |message: &str| json!({"jsonrpc": "2.0", "id": id, "error": {"code": -32602, "message": message}});
        let other = |answer| CallResult {
            reply: answer,
            subscribes: false,
            rollout_status: None,
        };
        match call["method"].as_str() {
            Some("Events.Watch") => CallResult {
                subscribes: true,
                ..other(json!({"jsonrpc": "2.0", "id": id, "result": true}))
            },
            Some("Rollout.Judge") => {
                let params = call["params"].clone();
                self.votes.push((now, params.clone()));
                if params["image"] != json!(self.rollout_status.build)
                    || params["ring"] != json!(self.rollout_status.stage)
                {
                    return other(fault("ConditionFailed"));
                }
                match params["opinion"].as_str() {
                    Some("pause") => self.held = Some(now),
                    Some("abstain" | "promote") => self.held = None,
                    Some("abort") => {}
                    _ => return other(fault("ValidationError")),
                }
                let abort = params["opinion"] == "abort";
                let back = || RolloutStatus {
                    since: now,
                    ..RolloutStatus::now(
                        self.rollout_status.build,
                        self.rollout_status.stage,
                        "rolling_back",
                        0.0,
                    )
                };
                let rollout_status = abort.then(back);
                self.rollout_status = rollout_status
                    .clone()
                    .unwrap_or(self.rollout_status.clone());
                let stands = self.rollout_status.value_at(now);
                CallResult {
                    rollout_status,
                    ..other(json!({"jsonrpc": "2.0", "id": id, "result": stands}))
                }
            }
            _ => other(fault("ValidationError")),
        }
    }
}

struct State {
    desk: RolloutService,
    notes: Vec<Value>, // notifications, in their order
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

    fn tell(&self, method: &str, params: Value) {
        self.state().notes.push(notification(method, params));
        self.changed.notify(usize::MAX);
    }

    fn rollout_status(&self, rollout_status: RolloutStatus) {
        let value = rollout_status.value();
        self.state().desk.rollout_status = rollout_status;
        self.tell("ROLLOUT", value);
    }
}

pub struct Platform {
    shared: Arc<Shared>,
    ends: Arc<TerminationSignal>,
    pub address: SocketAddr,
    _tasks: Vec<Task<()>>,
}

/// How long a vote to hold lasts.
const VOTE_LIFE: Duration = Duration::from_secs(10);

impl Platform {
    pub fn start(rollout_status: RolloutStatus) -> io::Result<Platform> {
        let state = State {
            desk: RolloutService::new(rollout_status),
            notes: Vec::new(),
            silent: false,
            connections: 0,
        };
        let shared = Arc::new(Shared {
            state: Mutex::new(state),
            changed: Event::new(),
        });
        let ends = Arc::<TerminationSignal>::default();
        let s = shared.clone();
        let serve = move |stream| {
            let shared = s.clone();
            shared.state().connections += 1;
            async move {
                let _ = talk(&shared, stream).await;
            }
        };
        let (address, listening) = runtime::listen(&ends, serve)?;
        let s = shared.clone();
        let pings = runtime::spawn(async move {
            loop {
                sleep(Duration::from_secs(1)).await;
                if !s.state().silent {
                    s.tell("ping", json!({}));
                }
            }
        });
        Ok(Platform {
            shared,
            ends,
            address,
            _tasks: vec![listening, pings],
        })
    }

    pub fn set_rollout_status(&self, rollout_status: RolloutStatus) {
        self.shared.rollout_status(rollout_status);
    }

    pub fn current_rollout(&self) -> RolloutStatus {
        self.shared.state().desk.rollout_status.clone()
    }

    /// A client found an answer of this endpoint wrong.
    pub fn report_client_error(&self, endpoint: &str, class: &str, age: Duration) {
        let lag = age.as_millis() as u64;
        self.shared.tell(
            "DISPUTE",
            json!({"host": endpoint, "type": class, "lag_ms": lag}),
        );
    }

    /// What was counted of a build and class in a sample of all attempts, `bad` of them not
    /// satisfied.
    pub fn report_counts(&self, build: u32, class: &str, n: u32, bad: u32, took: Duration) {
        let took = took.as_secs_f64() * 1000.0;
        let params = json!({"image": build, "type": class, "n": n, "bad": bad, "latency_ms": took, "lag_ms": 500});
        self.shared.tell("SAMPLE", params);
    }

    /// Says nothing more unasked, or does so again.
    pub fn set_silent(&self, silent: bool) {
        self.shared.state().silent = silent;
    }

    /// How many connections were opened to it.
    pub fn connections(&self) -> usize {
        self.shared.state().connections
    }

    /// Ends all connections.
    pub fn close_connections(&self) {
        self.ends.end();
    }

    /// The votes that came: when, and their parameters.
    pub fn votes(&self) -> Vec<(Instant, Value)> {
        self.shared.state().desk.votes.clone()
    }

    /// Takes a build through its stages by the clock, which stands still while a vote to hold
    /// lasts. A vote to send back ends it. `staged` is called at each stage's beginning, with what
    /// part of the places it takes.
    pub fn run_rollout(
        &self,
        offer: StagedRollout,
        staged: impl Fn(usize, f64) + Send + 'static,
    ) -> Task<()> {
        let shared = self.shared.clone();
        runtime::spawn(async move {
            for (stage, cap) in offer.caps.iter().enumerate() {
                staged(stage, *cap);
                shared.rollout_status(RolloutStatus::now(offer.build, stage, "trial", *cap));
                let mut ran = Duration::ZERO;
                while ran < offer.stage_duration {
                    let step = Duration::from_millis(50);
                    sleep(step).await;
                    let (held, back) = {
                        let state = shared.state();
                        let held = state.desk.held.is_some_and(|at| at.elapsed() < VOTE_LIFE);
                        (held, state.desk.rollout_status.phase == "rolling_back")
                    };
                    if back {
                        return;
                    }
                    ran += if held { Duration::ZERO } else { step };
                }
            }
            shared.rollout_status(RolloutStatus::now(
                offer.build,
                offer.caps.len().saturating_sub(1),
                "released",
                1.0,
            ));
        })
    }
}

async fn talk(shared: &Shared, stream: Async<TcpStream>) -> io::Result<()> {
    let stream = Arc::new(stream);
    let mut lines = BufReader::new(&*stream);
    let mut seen: Option<usize> = None; // notifications told here, once they were asked for
    loop {
        let mut line = String::new();
        let asked = async { lines.read_line(&mut line).await.map(Some) };
        let noted = async {
            loop {
                let listener = shared.changed.listen();
                if seen.is_some_and(|n| n < shared.state().notes.len()) {
                    return Ok(None);
                }
                listener.await;
            }
        };
        match asked.or(noted).await? {
            Some(0) => return Ok(()),
            Some(_) => {
                let call: Value =
                    serde_json::from_str(&line).map_err(|_| io::ErrorKind::InvalidData)?;
                let (answer, watches) = heed(shared, &call);
                (&*stream)
                    .write_all(format!("{answer}\n").as_bytes())
                    .await?;
                if watches {
                    let (rollout_status, count) = {
                        let state = shared.state();
                        (state.desk.rollout_status.value(), state.notes.len())
                    };
                    seen = Some(count);
                    let told = notification("ROLLOUT", rollout_status);
                    (&*stream).write_all(format!("{told}\n").as_bytes()).await?;
                }
            }
            None => {
                let from = seen.unwrap_or_default();
                let notes: Vec<Value> = shared.state().notes[from..].to_vec();
                seen = Some(from + notes.len());
                for note in notes {
                    (&*stream).write_all(format!("{note}\n").as_bytes()).await?;
                }
            }
        }
    }
}

/// The answer to a call, and whether it asks to be told.
fn heed(shared: &Shared, call: &Value) -> (Value, bool) {
    let heeded = shared.state().desk.handle_call(Instant::now(), call);
    // The lock is let go before anything else takes it.
    if let Some(rollout_status) = heeded.rollout_status {
        shared.rollout_status(rollout_status);
    }
    (heeded.reply, heeded.subscribes)
}
