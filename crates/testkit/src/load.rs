//! An open-loop load generator: each request is sent at its scheduled time, whether or not earlier
//! requests have been answered.

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

/// Upper limit on the latencies of successful requests that a report records individually.
pub const MAX_RECORDED_LATENCIES: usize = 50_000;
/// Upper limit on the ids of unanswered requests that a report records.
const MAX_UNANSWERED_IDS: usize = 100;
/// How long after a request's deadline the client still waits for the answer. Opening a connection
/// has the same time limit as a request.
const ANSWER_GRACE: Duration = Duration::from_millis(500);
/// Number of objects that requests are spread over.
const OBJECTS: u32 = 10_000;
/// Lower limit, in requests per second, on the rate used for drawing gaps. Prevents a division by
/// zero.
const MIN_RATE: f64 = 1e-6;

/// The load to generate, as Poisson arrivals.
#[derive(Clone, Debug)]
pub struct Load {
    /// The address of the agent.
    pub agent: SocketAddr,
    /// Mean requests per second; the gaps between requests are exponentially distributed.
    pub rate: f64,
    /// How long requests are generated.
    pub duration: Duration,
    /// For each class its name, its weight, the request timeout, and whether requests carry a
    /// deduplication key.
    pub classes: Vec<(String, f64, Duration, bool)>,
    /// Upper limit on concurrent connections. A request waits for a free one, and the wait counts
    /// towards its latency.
    pub connections: usize,
    /// Seed of all random draws.
    pub seed: u64,
}

/// The result of a load. Latencies count from the time at which a request was due.
#[derive(Clone, Debug, Default)]
pub struct LoadReport {
    /// All requests, including those that could not be sent.
    pub requests: u64,
    /// Requests that were answered with a value.
    pub succeeded: u64,
    /// Requests that the agent rejected with SQLSTATE 53300 or 57P03.
    pub rejected: u64,
    /// Requests that were answered with any other error.
    pub failed: u64,
    /// Requests without a complete answer within half a second after their deadline, or whose
    /// connection failed. The deadline counts from when the request was written, as the agent
    /// counts it.
    pub unanswered: u64,
    /// Ids of the first 100 unanswered requests.
    pub unanswered_ids: Vec<String>,
    /// Delay in microseconds between when a request was due and when it was started; `None` before
    /// the first request.
    pub send_delays: Option<Histogram<u64>>,
    /// Latency of successful requests in microseconds, by class.
    pub latencies: BTreeMap<String, Histogram<u64>>,
    /// Ids and latencies in microseconds of the first [`MAX_RECORDED_LATENCIES`] successful
    /// requests.
    pub request_latencies: Vec<(String, u64)>,
}

impl LoadReport {
    /// Returns the latency quantile, in milliseconds, of successful requests over all classes.
    /// `share` is 0 to 1.
    pub fn quantile_ms(&self, share: f64) -> f64 {
        let mut all = histogram();
        for latencies in self.latencies.values() {
            // Cannot fail, as all histograms have the same bounds.
            let _ = all.add(latencies);
        }
        all.value_at_quantile(share) as f64 / 1000.0
    }

    /// Returns the quantile, in milliseconds, of the delay with which requests were started. A high
    /// value means that the load generator or its machine does not keep up.
    pub fn send_delay_ms(&self, share: f64) -> f64 {
        self.send_delays.as_ref().map_or(0.0, |delays| {
            delays.value_at_quantile(share) as f64 / 1000.0
        })
    }

    /// Returns the number of requests that got an answer of any kind.
    pub fn answered(&self) -> u64 {
        self.succeeded + self.rejected + self.failed
    }
}

fn micros(time: Duration) -> u64 {
    time.as_micros().max(1) as u64
}

/// A request that is due to be sent.
struct DueRequest {
    at: Instant,
    id: String,
    class: String,
    timeout: Duration,
    statement: String,
}

/// Which connections a load uses for its requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionUse {
    /// A request reuses an idle connection if there is one.
    Reused,
    /// Each request opens a connection, whose handshake counts towards the request's latency.
    NewForEach,
}

/// State shared by the requests of one load.
struct Shared {
    agent: SocketAddr,
    connection_use: ConnectionUse,
    idle: Mutex<Vec<Async<TcpStream>>>,
    permits: Semaphore,
    report: Mutex<LoadReport>,
}

impl Load {
    /// Starts the load in the background, reusing connections. The task completes once each request
    /// was answered or has timed out.
    pub fn start(self) -> Task<LoadReport> {
        runtime::spawn(self.generate(ConnectionUse::Reused))
    }

    /// Runs the load, reusing connections, and waits for its report.
    pub fn run(self) -> LoadReport {
        futures_lite::future::block_on(self.start())
    }

    /// Runs the load with the given use of connections and waits for its report.
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
        let started = Instant::now();
        let mut elapsed = 0.0;
        let mut tasks = Vec::new();
        loop {
            elapsed += self.draw_gap(&mut random);
            if elapsed >= self.duration.as_secs_f64() {
                break;
            }
            let due = started + Duration::from_secs_f64(elapsed);
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

    /// Draws the seconds until the next request.
    fn draw_gap(&self, random: &mut Pcg64Mcg) -> f64 {
        let drawn: f64 = random.gen_range(0.0..1.0);
        -(1.0 - drawn).ln() / self.rate.max(MIN_RATE)
    }

    /// Draws a request, its class by weight; `None` if the load has no classes.
    fn draw_request(&self, random: &mut Pcg64Mcg, at: Instant, number: u64) -> Option<DueRequest> {
        let weights: f64 = self.classes.iter().map(|class| class.1).sum();
        let mut remaining_weight = random.gen_range(0.0..weights.max(1e-9));
        let drawn = self.classes.iter().find(|class| {
            remaining_weight -= class.1;
            remaining_weight < 0.0
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

/// Sends a request once a connection is free and records the outcome.
async fn send(shared: Arc<Shared>, request: DueRequest) {
    let permit = shared.permits.acquire().await;
    let outcome = shared.call(&request).await;
    drop(permit);
    shared.record(&request, outcome);
}

impl Shared {
    /// Sends a request and returns the SQLSTATE code of an error; `None` for a value.
    ///
    /// The time limit counts from when the request is written. The agent does not know of the time
    /// that the request waited for a connection before.
    async fn call(&self, request: &DueRequest) -> io::Result<Option<String>> {
        let limit = request.timeout + ANSWER_GRACE;
        let idle = lock_unpoisoned(&self.idle).pop();
        let mut stream = match idle {
            Some(stream) => stream,
            None => within(limit, connect(self.agent)).await?,
        };
        let code = within(limit, ask(&mut stream, &request.statement)).await?;
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

/// Runs `work` and fails with [`io::ErrorKind::TimedOut`] if it takes longer than `limit`.
async fn within<T>(limit: Duration, work: impl Future<Output = io::Result<T>>) -> io::Result<T> {
    let timeout = async {
        sleep(limit).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    work.or(timeout).await
}

/// Writes a statement and reads its answer. Returns the SQLSTATE code of an error; `None` for a
/// value.
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
