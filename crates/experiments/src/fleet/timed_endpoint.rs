//! An endpoint whose processing time of a request depends only on the request's id.
//!
//! The latency beyond the processing time is therefore known for each single request, and the
//! random variation of processing times does not add to that of the figure.

use async_io::Async;
use futures_lite::AsyncWriteExt;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tulipwall_config::stable_hash;
use tulipwall_testkit::pg;
use tulipwall_testkit::runtime::{self, sleep, TerminationSignal};

/// Value that is returned for each request.
const ANSWER: [u8; 2] = [0x9f, 3];
/// Tag of a simple query in the PostgreSQL protocol.
const QUERY: u8 = b'Q';

/// An endpoint that processes any number of requests at the same time; it stops when dropped.
pub struct TimedEndpoint {
    /// Address at which the endpoint listens.
    pub address: SocketAddr,
    accepted: Arc<AtomicU64>,
    termination: Arc<TerminationSignal>,
    _task: async_executor::Task<()>,
}

/// Returns the processing time of the request with this id: half of `mean`, plus an exponentially
/// distributed part with the same mean as that half.
pub fn work(id: &str, mean: Duration) -> Duration {
    // The last bytes of an id hardly affect the upper bits of its hash, so the bits are mixed.
    let mixed = splitmix64(stable_hash(id));
    let uniform = (mixed >> 11) as f64 / (1u64 << 53) as f64;
    mean.mul_f64(0.5 - 0.5 * (1.0 - uniform).ln())
}

/// The finalizer of the splitmix64 generator.
fn splitmix64(mut n: u64) -> u64 {
    n = (n ^ (n >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    n = (n ^ (n >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    n ^ (n >> 31)
}

impl TimedEndpoint {
    /// Starts an endpoint whose mean processing time is `mean`.
    ///
    /// # Errors
    /// Returns an error if the endpoint cannot listen.
    pub fn start(mean: Duration) -> io::Result<TimedEndpoint> {
        let termination = Arc::<TerminationSignal>::default();
        let accepted = Arc::<AtomicU64>::default();
        let count = accepted.clone();
        let (address, task) = runtime::listen(&termination, move |stream| {
            count.fetch_add(1, Ordering::Relaxed);
            async move {
                // If a connection fails, the client has to handle it.
                let _ = serve(stream, mean).await;
            }
        })?;
        Ok(TimedEndpoint {
            address,
            accepted,
            termination,
            _task: task,
        })
    }

    /// Returns the number of connections accepted so far.
    pub fn accepted(&self) -> u64 {
        self.accepted.load(Ordering::Relaxed)
    }
}

impl Drop for TimedEndpoint {
    fn drop(&mut self) {
        self.termination.end();
    }
}

async fn serve(mut stream: Async<TcpStream>, mean: Duration) -> io::Result<()> {
    pg::read_startup(&mut stream).await?;
    stream.write_all(&pg::startup_reply()).await?;
    let answer = pg::value_reply(&ANSWER);
    loop {
        let (tag, body) = pg::read(&mut stream).await?;
        if tag != QUERY {
            return Ok(());
        }
        let text = String::from_utf8_lossy(&body);
        let id = pg::comment_fields(&text)
            .find(|(name, _)| *name == "id")
            .map_or("", |(_, id)| id);
        sleep(work(id, mean)).await;
        stream.write_all(&answer).await?;
    }
}
