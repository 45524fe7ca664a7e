//! An endpoint whose time for a request follows from the request's id alone.
//!
//! So what a request took beyond it is known one by one, and chance in the work is no chance in the
//! figure.

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

/// Value that answers each request.
const ANSWER: [u8; 2] = [0x9f, 3];
/// Tag of a simple query in the PostgreSQL protocol.
const QUERY: u8 = b'Q';

/// An endpoint that handles any number of requests at once; it ends when dropped.
pub struct TimedEndpoint {
    /// Its address.
    pub address: SocketAddr,
    accepted: Arc<AtomicU64>,
    termination: Arc<TerminationSignal>,
    _task: async_executor::Task<()>,
}

/// What the request of this id takes: half of `mean` always, the rest exponential.
pub fn work(id: &str, mean: Duration) -> Duration {
    // The last bytes of an id hardly reach the upper bits of its number, so they are mixed.
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
    /// Starts an endpoint whose requests take `mean` on average.
    ///
    /// # Errors
    /// It cannot listen.
    pub fn start(mean: Duration) -> io::Result<TimedEndpoint> {
        let termination = Arc::<TerminationSignal>::default();
        let accepted = Arc::<AtomicU64>::default();
        let count = accepted.clone();
        let (address, task) = runtime::listen(&termination, move |stream| {
            count.fetch_add(1, Ordering::Relaxed);
            async move {
                // A connection that fails is the client's to notice.
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

    /// Connections that were accepted so far.
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
