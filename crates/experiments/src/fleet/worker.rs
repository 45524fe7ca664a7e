//! An endpoint whose time for a request is known to who asked: it follows from the request's id
//! alone. So what a request took beyond it is known one by one, and chance in the work is no chance
//! in the figure.

use async_io::Async;
use futures_lite::AsyncWriteExt;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::Duration;
use tulipwall_config::stable_hash;
use tulipwall_testkit::pg;
use tulipwall_testkit::runtime::{self, sleep, TerminationSignal};

/// Takes any number of requests at once.
pub struct Worker {
    pub address: SocketAddr,
    ends: Arc<TerminationSignal>,
    _task: async_executor::Task<()>,
}

/// What the request of this id takes: half of `mean` always, the rest exponential.
pub fn work(id: &str, mean: Duration) -> Duration {
    // The last bytes of an id hardly reach the upper bits of its number: they are stirred (as
    // splitmix64 does).
    let mut n = stable_hash(id);
    n = (n ^ (n >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    n = (n ^ (n >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    let drawn = ((n ^ (n >> 31)) >> 11) as f64 / (1u64 << 53) as f64;
    mean.mul_f64(0.5 - 0.5 * (1.0 - drawn).ln())
}

impl Worker {
    pub fn start(mean: Duration) -> io::Result<Worker> {
        let ends = Arc::<TerminationSignal>::default();
        let (address, task) = runtime::listen(&ends, move |stream| async move {
            let _ = talk(stream, mean).await;
        })?;
        Ok(Worker {
            address,
            ends,
            _task: task,
        })
    }
}

impl Drop for Worker {
    fn drop(&mut self) {
        self.ends.end();
    }
}

async fn talk(mut stream: Async<TcpStream>, mean: Duration) -> io::Result<()> {
    pg::read_startup(&mut stream).await?;
    stream.write_all(&pg::startup_reply()).await?;
    let answer = pg::value_reply(&[0x9f, 3]);
    loop {
        let (tag, body) = pg::read(&mut stream).await?;
        if tag != b'Q' {
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
