//! Many clients at a rate of their own: each request is due at its time, whatever became of those
//! before.

use crate::latencies::histogram;
use crate::pg;
use crate::runtime::{self, lock_unpoisoned, sleep};
use async_executor::Task;
use async_io::Async;
use async_lock::Semaphore;
use futures_lite::future::FutureExt;
use futures_lite::AsyncWriteExt;
use hdrhistogram::Histogram;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use std::future::Future;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Latencies of successful requests that are kept one by one, at most.
pub const MAX_RECORDED_LATENCIES: usize = 50_000;
/// Ids of unanswered requests that are kept, at most.
const MAX_UNANSWERED_IDS: usize = 100;
/// How long after its deadline a request is still waited for; a connection is waited for as long as
/// a request.
const ANSWER_GRACE: Duration = Duration::from_millis(500);
/// Requests read one of so many objects.
const OBJECTS: u32 = 10_000;
/// Gaps are drawn as if at least this many requests came a second.
const MIN_RATE: f64 = 1e-6;

/// The load to generate.
#[derive(Clone, Debug)]
pub struct Load {
    /// The agent that is asked.
    pub agent: SocketAddr,
    /// Requests a second, in the mean; they come at random.
    pub rate: f64,
    /// How long requests come.
    pub duration: Duration,
    /// Classes with their weights, the time that clients wait, and whether they carry a key.
    pub classes: Vec<(String, f64, Duration, bool)>,
    /// Connections at most; a request that finds none free waits for one, and that time counts.
    pub connections: usize,
    /// Seeds all draws.
    pub seed: u64,
}

/// What came of it. Times count from when a request was due.
#[derive(Clone, Debug, Default)]
pub struct LoadReport {
    /// Requests that were sent, or could not be.
    pub requests: u64,
    /// Requests that were answered with a value.
    pub succeeded: u64,
    /// Requests that were rejected.
    pub rejected: u64,
    /// Requests that failed.
    pub failed: u64,
    /// No whole answer before its deadline and half a second, counted from when it was written as the
    /// agent counts it, or its connection ended.
    pub unanswered: u64,
    /// Ids of those without an answer, the first hundred.
    pub unanswered_ids: Vec<String>,
    /// Microseconds by which requests went out later than they were due.
    pub send_delays: Option<Histogram<u64>>,
    /// Microseconds to each successful answer, by class.
    pub latencies: BTreeMap<String, Histogram<u64>>,
    /// Ids of successful requests with their microseconds, the first [`MAX_RECORDED_LATENCIES`].
    pub request_latencies: Vec<(String, u64)>,
}

impl LoadReport {
    /// The time, in milliseconds, within which this share (0 to 1) of the successful answers came.
    pub fn quantile_ms(&self, share: f64) -> f64 {
        let mut all = histogram();
        for latencies in self.latencies.values() {
            // Equal bounds: nothing is refused.
            let _ = all.add(latencies);
        }
        all.value_at_quantile(share) as f64 / 1000.0
    }

    /// How late, in milliseconds, this share of the requests went out at most: high where the load
    /// itself, or its machine, does not keep up.
    pub fn send_delay_ms(&self, share: f64) -> f64 {
        self.send_delays.as_ref().map_or(0.0, |delays| {
            delays.value_at_quantile(share) as f64 / 1000.0
        })
    }

    /// Requests with an answer of any kind.
    pub fn answered(&self) -> u64 {
        self.succeeded + self.rejected + self.failed
    }
}

fn micros(time: Duration) -> u64 {
    time.as_micros().max(1) as u64
}

/// A request that is due.
struct DueRequest {
    at: Instant,
    id: String,
    class: String,
    timeout: Duration,
    statement: String,
}

/// Which connections the requests of a load go out on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionUse {
    /// On an idle one, if there is any.
    Reused,
    /// Each on a new one, whose handshake counts as part of the request.
    NewForEach,
}

/// What the requests of one load share.
struct Shared {
    agent: SocketAddr,
    connection_use: ConnectionUse,
    idle: Mutex<Vec<Async<TcpStream>>>,
    permits: Semaphore,
    report: Mutex<LoadReport>,
}

impl Load {
    /// Starts; the report is there once the last request has had its answer or its time.
    pub fn start(self) -> Task<LoadReport> {
        runtime::spawn(self.generate(ConnectionUse::Reused))
    }

    /// The same, and waits for it.
    pub fn run(self) -> LoadReport {
        futures_lite::future::block_on(self.start())
    }

    /// The same on connections that are used so.
    pub fn run_with(self, connection_use: ConnectionUse) -> LoadReport {
        futures_lite::future::block_on(runtime::spawn(self.generate(connection_use)))
    }

    async fn generate(self, connection_use: ConnectionUse) -> LoadReport {
        let mut random = Pcg64Mcg::seed_from_u64(self.seed);
        let shared = Arc::new(Shared {
            agent: self.agent,
            connection_use,
            idle: Mutex::default(),
            permits: Semaphore::new(self.connections.max(1)),
            report: Mutex::default(),
        });
        let begun = Instant::now();
        let mut elapsed = 0.0;
        let mut tasks = Vec::new();
        loop {
            elapsed += self.draw_gap(&mut random);
            if elapsed >= self.duration.as_secs_f64() {
                break;
            }
            let due = begun + Duration::from_secs_f64(elapsed);
            sleep(due.saturating_duration_since(Instant::now())).await;
            let number = tasks.len() as u64 + 1;
            let Some(request) = self.draw_request(&mut random, due, number) else {
                break;
            };
            shared.record_delay(due.elapsed());
            tasks.push(runtime::spawn(send(shared.clone(), request)));
        }
        for task in tasks {
            task.await;
        }
        let report = lock_unpoisoned(&shared.report).clone();
        report
    }

    /// Seconds to the next request.
    fn draw_gap(&self, random: &mut Pcg64Mcg) -> f64 {
        let drawn: f64 = random.gen_range(0.0..1.0);
        -(1.0 - drawn).ln() / self.rate.max(MIN_RATE)
    }

    /// A request of a class drawn by weight; nothing where there are no classes.
    fn draw_request(&self, random: &mut Pcg64Mcg, at: Instant, number: u64) -> Option<DueRequest> {
        let weights: f64 = self.classes.iter().map(|class| class.1).sum();
        let mut left = random.gen_range(0.0..weights.max(1e-9));
        let drawn = self.classes.iter().find(|class| {
            left -= class.1;
            left < 0.0
        });
        let (class, _, timeout, keyed) = drawn.or(self.classes.last())?;
        let id = format!("{:x}-{number}", self.seed);
        let object = random.gen_range(0..OBJECTS);
        let key = if *keyed {
            format!(",k={:x}{number:x}", self.seed)
        } else {
            String::new()
        };
        let ms = timeout.as_millis();
        let statement = format!(
            "SELECT body FROM objects WHERE oid = 'o{object}' /* id={id},c={class},d={ms}{key} */"
        );
        Some(DueRequest {
            at,
            id,
            class: class.clone(),
            timeout: *timeout,
            statement,
        })
    }
}

/// Sends a request as soon as a connection is free, and records what comes of it.
async fn send(shared: Arc<Shared>, request: DueRequest) {
    let permit = shared.permits.acquire().await;
    let outcome = shared.call(&request).await;
    drop(permit);
    shared.record(&request, outcome);
}

impl Shared {
    /// One request; the code of an error, nothing for a value.
    ///
    /// The time of an answer counts from when the request is written: what went by before, while it
    /// waited for a connection, is none that the agent knows of.
    async fn call(&self, request: &DueRequest) -> io::Result<Option<String>> {
        let longest = request.timeout + ANSWER_GRACE;
        let idle = lock_unpoisoned(&self.idle).pop();
        let mut stream = match idle {
            Some(stream) => stream,
            None => within(longest, connect(self.agent)).await?,
        };
        let code = within(longest, ask(&mut stream, &request.statement)).await?;
        if self.connection_use == ConnectionUse::Reused {
            lock_unpoisoned(&self.idle).push(stream);
        }
        Ok(code)
    }

    fn record_delay(&self, delay: Duration) {
        let mut report = lock_unpoisoned(&self.report);
        let delays = report.send_delays.get_or_insert_with(histogram);
        delays.saturating_record(micros(delay));
    }

    fn record(&self, request: &DueRequest, outcome: io::Result<Option<String>>) {
        let mut report = lock_unpoisoned(&self.report);
        report.requests += 1;
        match outcome {
            Ok(None) => report.record_success(request),
            Ok(Some(code)) if code == "53300" || code == "57P03" => report.rejected += 1,
            Ok(Some(_)) => report.failed += 1,
            Err(_) => report.record_unanswered(request),
        }
    }
}

impl LoadReport {
    fn record_success(&mut self, request: &DueRequest) {
        let latency = request.at.elapsed();
        self.succeeded += 1;
        self.latencies
            .entry(request.class.clone())
            .or_insert_with(histogram)
            .saturating_record(micros(latency));
        if self.request_latencies.len() < MAX_RECORDED_LATENCIES {
            let micros = latency.as_micros() as u64;
            self.request_latencies.push((request.id.clone(), micros));
        }
    }

    fn record_unanswered(&mut self, request: &DueRequest) {
        self.unanswered += 1;
        if self.unanswered_ids.len() < MAX_UNANSWERED_IDS {
            self.unanswered_ids.push(request.id.clone());
        }
    }
}

/// Fails with [`io::ErrorKind::TimedOut`] if `work` takes longer than `longest`.
async fn within<T>(longest: Duration, work: impl Future<Output = io::Result<T>>) -> io::Result<T> {
    let timeout = async {
        sleep(longest).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    work.or(timeout).await
}

/// Writes a statement and reads its answer: the code of an error, nothing for a value.
async fn ask(stream: &mut Async<TcpStream>, statement: &str) -> io::Result<Option<String>> {
    stream.write_all(&pg::query(statement)).await?;
    let mut code = None;
    loop {
        match pg::read(stream).await? {
            (pg::READY, _) => return Ok(code),
            (pg::ERROR, body) => code = Some(pg::error_field(&body, b'C').unwrap_or_default()),
            _ => {}
        }
    }
}

async fn connect(agent: SocketAddr) -> io::Result<Async<TcpStream>> {
    let mut stream = Async::<TcpStream>::connect(agent).await?;
    stream.get_ref().set_nodelay(true)?;
    stream.write_all(&pg::startup()).await?;
    while pg::read(&mut stream).await?.0 != pg::READY {}
    Ok(stream)
}
