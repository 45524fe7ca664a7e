//! Many clients at a rate of their own: each request is due at its time, whatever became of those
//! before.

use crate::pg;
use crate::runtime::{self, lock_unpoisoned, sleep};
use async_io::Async;
use futures_lite::future::FutureExt;
use futures_lite::AsyncWriteExt;
use hdrhistogram::Histogram;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Satisfied requests that are kept one by one, at most.
pub const EACH_MOST: usize = 50_000;

/// What is asked for.
#[derive(Clone, Debug)]
pub struct Load {
    pub agent: SocketAddr,
    /// Requests a second, in the mean; they come as by chance.
    pub rate: f64,
    pub duration: Duration,
    /// Classes with their weights, the time that clients wait, and whether they carry a key.
    pub classes: Vec<(String, f64, Duration, bool)>,
    /// Connections at most; a request that finds none free waits for one, and that time counts.
    pub connections: usize,
    pub seed: u64,
}

/// What came of it. Times count from when a request was due.
#[derive(Clone, Debug, Default)]
pub struct LoadReport {
    pub requests: u64,
    pub succeeded: u64,
    pub rejected: u64,
    pub failed: u64,
    /// No whole answer before its expiry and half a second, or its connection ended.
    pub unanswered: u64,
    /// Ids of those without an answer, the first hundred.
    pub unanswered_ids: Vec<String>,
    /// Microseconds by which requests went out later than they were due.
    pub send_delays: Option<Histogram<u64>>,
    /// Microseconds to each satisfied answer, by class.
    pub latencies: BTreeMap<String, Histogram<u64>>,
    /// Ids of satisfied requests with their microseconds, the first [`EACH_MOST`].
    pub request_latencies: Vec<(String, u64)>,
}

impl LoadReport {
    /// The time, in milliseconds, within which this part (0 to 1) of the satisfied answers came.
    pub fn quantile_ms(&self, part: f64) -> f64 {
        let mut all = Histogram::<u64>::new(3).unwrap_or_else(|_| Histogram::new_from(&empty()));
        self.latencies
            .values()
            .for_each(|h| all.add(h).unwrap_or(()));
        all.value_at_quantile(part) as f64 / 1000.0
    }

    /// How late, in milliseconds, this part of the requests went out at most: high where the load
    /// itself, or its machine, does not keep up.
    pub fn send_delay_ms(&self, part: f64) -> f64 {
        self.send_delays
            .as_ref()
            .map_or(0.0, |h| h.value_at_quantile(part) as f64 / 1000.0)
    }

    pub fn answered(&self) -> u64 {
        self.succeeded + self.rejected + self.failed
    }
}

fn empty() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 600_000_000, 3)
        .unwrap_or_else(|_| unreachable!("bounds that are taken"))
}

/// A request that is due.
struct PollResult {
    at: Instant,
    id: String,
    class: String,
    wait: Duration,
    text: String,
}

/// Idle connections of one load.
type Idle = Arc<Mutex<Vec<Async<TcpStream>>>>;

impl Load {
    /// Begins; the result is there once the last request has had its answer or its time.
    pub fn start(self) -> async_executor::Task<LoadReport> {
        runtime::spawn(async move { self.generate().await })
    }

    /// The same, and waits for it.
    pub fn run(self) -> LoadReport {
        futures_lite::future::block_on(self.start())
    }

    async fn generate(self) -> LoadReport {
        let mut rng = Pcg64Mcg::seed_from_u64(self.seed);
        let (idle, result) = (Idle::default(), Arc::new(Mutex::new(LoadReport::default())));
        let places = Arc::new(async_lock::Semaphore::new(self.connections.max(1)));
        let (begun, mut at, mut tasks, mut n) = (Instant::now(), 0.0f64, Vec::new(), 0u64);
        let weights: f64 = self.classes.iter().map(|l| l.1).sum();
        loop {
            at += -(1.0f64 - rng.gen_range(0.0..1.0)).ln() / self.rate.max(1e-6);
            if at >= self.duration.as_secs_f64() {
                break;
            }
            let due = begun + Duration::from_secs_f64(at);
            sleep(due.saturating_duration_since(Instant::now())).await;
            let mut drawn = rng.gen_range(0.0..weights.max(1e-9));
            let class = self.classes.iter().find(|l| {
                drawn -= l.1;
                drawn < 0.0
            });
            let Some((class, _, wait, keyed)) = class.or(self.classes.last()) else {
                break;
            };
            n += 1;
            {
                let mut r = lock_unpoisoned(&result);
                let late = due.elapsed().as_micros().max(1) as u64;
                r.send_delays
                    .get_or_insert_with(empty)
                    .saturating_record(late);
            }
            let (id, object) = (format!("{:x}-{n}", self.seed), rng.gen_range(0..10_000));
            let key = if *keyed {
                format!(",k={:x}{n:x}", self.seed)
            } else {
                String::new()
            };
            let ms = wait.as_millis();
            let text = format!(
                "SELECT body FROM objects WHERE oid = 'o{object}' /* id={id},c={class},d={ms}{key} */"
            );
            let due = PollResult {
                at: due,
                id,
                class: class.clone(),
                wait: *wait,
                text,
            };
            let (agent, idle, places, result) =
                (self.agent, idle.clone(), places.clone(), result.clone());
            tasks.push(runtime::spawn(async move {
                let place = places.acquire().await;
                let late = async {
                    let end = due.at + due.wait + Duration::from_millis(500);
                    sleep(end.saturating_duration_since(Instant::now())).await;
                    Err(io::ErrorKind::TimedOut.into())
                };
                let told = call(agent, &idle, &due).or(late).await;
                drop(place);
                note(&result, &due, told);
            }));
        }
        for task in tasks {
            task.await;
        }
        let answered = lock_unpoisoned(&result).clone();
        answered
    }
}

fn note(result: &Mutex<LoadReport>, due: &PollResult, told: io::Result<Option<String>>) {
    let mut r = lock_unpoisoned(result);
    r.requests += 1;
    match told {
        Ok(None) => {
            r.succeeded += 1;
            let took = due.at.elapsed().as_micros() as u64;
            r.latencies
                .entry(due.class.clone())
                .or_insert_with(empty)
                .saturating_record(took.max(1));
            if r.request_latencies.len() < EACH_MOST {
                r.request_latencies.push((due.id.clone(), took));
            }
        }
        Ok(Some(code)) if code == "53300" || code == "57P03" => r.rejected += 1,
        Ok(Some(_)) => r.failed += 1,
        Err(_) => {
            r.unanswered += 1;
            if r.unanswered_ids.len() < 100 {
                r.unanswered_ids.push(due.id.clone());
            }
        }
    }
}

/// One request; the code of an error, nothing for a value.
async fn call(agent: SocketAddr, idle: &Idle, due: &PollResult) -> io::Result<Option<String>> {
    let waiting = lock_unpoisoned(idle).pop();
    let mut stream = match waiting {
        Some(stream) => stream,
        None => {
            let mut stream = Async::<TcpStream>::connect(agent).await?;
            stream.get_ref().set_nodelay(true)?;
            stream.write_all(&pg::startup()).await?;
            while pg::read(&mut stream).await?.0 != b'Z' {}
            stream
        }
    };
    stream.write_all(&pg::query(&due.text)).await?;
    let mut code = None;
    loop {
        match pg::read(&mut stream).await? {
            (b'Z', _) => break,
            (b'E', body) => code = Some(pg::error_field(&body, b'C').unwrap_or_default()),
            _ => {}
        }
    }
    lock_unpoisoned(idle).push(stream);
    Ok(code)
}
