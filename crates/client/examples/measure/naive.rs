//! A naive client, for comparison: fixed retry pause, no budget, immediate reconnects.

use crate::fleet::MeasuredClient;
use crate::CALL_TIMEOUT;
use futures_lite::future;
use futures_lite::AsyncWriteExt;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tulipwall_testkit::pg;
use tulipwall_testkit::runtime::sleep;

/// The pause before each retry.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// The summed counts of all naive clients.
#[derive(Clone, Default)]
pub struct NaiveCounters {
    pub connections_opened: Arc<AtomicU64>,
    pub attempts: Arc<AtomicU64>,
}

/// A client that retries with a fixed pause until its timeout.
pub struct NaiveClient {
    agent: SocketAddr,
    stream: Option<async_io::Async<TcpStream>>,
    counters: NaiveCounters,
}

impl NaiveClient {
    pub fn new(agent: SocketAddr, counters: NaiveCounters) -> NaiveClient {
        NaiveClient {
            agent,
            stream: None,
            counters,
        }
    }

    /// Makes one attempt. Returns whether the agent responded with a value rather than an error.
    async fn attempt(&mut self, statement: &str) -> io::Result<bool> {
        let mut stream = match self.stream.take() {
            Some(stream) => stream,
            None => self.connect().await?,
        };
        self.counters.attempts.fetch_add(1, Ordering::Relaxed);
        stream.write_all(&pg::query(statement)).await?;
        let succeeded = read_response(&mut stream).await?;
        self.stream = Some(stream);
        Ok(succeeded)
    }

    async fn connect(&self) -> io::Result<async_io::Async<TcpStream>> {
        let mut stream = async_io::Async::<TcpStream>::connect(self.agent).await?;
        let opened = &self.counters.connections_opened;
        opened.fetch_add(1, Ordering::Relaxed);
        stream.write_all(&pg::startup()).await?;
        read_response(&mut stream).await?;
        Ok(stream)
    }
}

impl MeasuredClient for NaiveClient {
    async fn call(&mut self, class: &str, object: &str, id: &str) -> bool {
        let started = Instant::now();
        let time_left = || CALL_TIMEOUT.saturating_sub(started.elapsed());
        let statement = format!(
            "SELECT body FROM objects WHERE oid = '{object}' /* id={id},c={class},d=1500 */"
        );
        while started.elapsed() < CALL_TIMEOUT {
            let attempt = async { self.attempt(&statement).await.ok() };
            let timeout = async {
                sleep(time_left()).await;
                None
            };
            match future::or(attempt, timeout).await {
                Some(true) => return true,
                Some(false) => {}
                None => self.stream = None,
            }
            sleep(RETRY_PAUSE).await;
        }
        false
    }
}

/// Reads until the agent is ready for the next request. Returns false if it sent an error.
pub async fn read_response(stream: &mut async_io::Async<TcpStream>) -> io::Result<bool> {
    let mut succeeded = true;
    loop {
        match pg::read(stream).await?.0 {
            b'Z' => return Ok(succeeded),
            b'E' => succeeded = false,
            _ => {}
        }
    }
}
