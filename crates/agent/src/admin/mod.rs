//! The admin endpoint serves the accounting of cross-zone traffic and the divergences of
//! alternative settings, on an address that can only be reached from this machine.
//!
//! It implements the subset of HTTP/1.1 that a browser or `tulipwall-agent report` needs. The
//! response to `GET /zones` is a sequence of JSON lines, the last of which marks the end of the
//! report; the response to `GET /watch` is one JSON line.
//!
//! A reader is a client of this endpoint. Readers must not slow down requests: lines are built and
//! written one at a time, other tasks run between the parts of a report, and a reader that does
//! not read its response is dropped.

mod listener;
mod response;

pub use listener::AdminListener;

use crate::agent::Agent;
use crate::runtime::reactor::Source;
use crate::runtime::timer::Timer;
use futures_lite::future::{self, FutureExt};
use listener::AdminStream;
use std::cell::Cell;
use std::future::Future;
use std::io;
use std::rc::Rc;
use std::time::Duration;

/// Maximum number of concurrent readers; further connections wait in the listener's backlog.
const MAX_READERS: usize = 4;
/// A reader that has not received its whole response within this time is dropped.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(30);
/// Delay before accepting again after an error, or while [`MAX_READERS`] are being served.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Accepts and serves readers until the program ends.
pub async fn run(agent: &Rc<Agent>, listener: AdminListener) {
    let reader_count = Rc::new(Cell::new(0));
    loop {
        if reader_count.get() >= MAX_READERS {
            Timer::after(RETRY_DELAY).await;
            continue;
        }
        if let Err(error) = accept_reader(agent, &listener, &reader_count).await {
            log::warn!("admin: {error}");
            Timer::after(RETRY_DELAY).await;
        }
        future::yield_now().await;
    }
}

async fn accept_reader(
    agent: &Rc<Agent>,
    listener: &AdminListener,
    reader_count: &Rc<Cell<usize>>,
) -> io::Result<()> {
    match listener {
        AdminListener::Tcp(listener) => {
            let (stream, _) = listener.read(|| listener.get().accept()).await?;
            stream.set_nonblocking(true)?;
            start_reader(agent, reader_count, stream)
        }
        AdminListener::Unix(listener, _) => {
            let (stream, _) = listener.read(|| listener.get().accept()).await?;
            stream.set_nonblocking(true)?;
            start_reader(agent, reader_count, stream)
        }
    }
}

/// One of the [`MAX_READERS`] places, released on drop.
struct ReaderPermit(Rc<Cell<usize>>);

impl ReaderPermit {
    fn new(reader_count: &Rc<Cell<usize>>) -> ReaderPermit {
        reader_count.set(reader_count.get() + 1);
        ReaderPermit(reader_count.clone())
    }
}

impl Drop for ReaderPermit {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

fn start_reader<S: AdminStream>(
    agent: &Rc<Agent>,
    reader_count: &Rc<Cell<usize>>,
    stream: S,
) -> io::Result<()> {
    let source = Source::new(stream)?;
    let permit = ReaderPermit::new(reader_count);
    let agent_handle = agent.clone();
    let reader = async move {
        let response = response::respond(&agent_handle, &source);
        if let Err(error) = with_timeout(RESPONSE_TIMEOUT, response).await {
            log::debug!("admin: {error}; the reader is dropped");
            agent_handle.counters.admin_dropped.increment();
        }
        drop(permit);
    };
    agent.executors.tasks.spawn(reader).detach();
    Ok(())
}

/// Fails with `TimedOut` if `work` takes longer than `timeout`.
async fn with_timeout<T>(
    timeout: Duration,
    work: impl Future<Output = io::Result<T>>,
) -> io::Result<T> {
    let timed_out = async {
        Timer::after(timeout).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    work.or(timed_out).await
}
