//! The thread on which all fakes of a process run. It is not the agent's: what they take of time is
//! theirs.

use async_executor::{Executor, Task};
use async_io::{Async, Timer};
use event_listener::Event;
use futures_lite::future::{self, FutureExt};
use std::future::Future;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock};
use std::time::{Duration, Instant};

/// How long a test waits for what must come, at most. Generous: no figure comes from it.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);

static EXECUTOR: Executor<'static> = Executor::new();
static THREAD: OnceLock<()> = OnceLock::new();

/// Runs this beside everything else, until it ends or the task is dropped.
pub fn spawn<T: Send + 'static>(work: impl Future<Output = T> + Send + 'static) -> Task<T> {
    THREAD.get_or_init(|| {
        let run = || future::block_on(EXECUTOR.run(future::pending::<()>()));
        // Without a thread nothing here would ever answer; the tests then say so.
        let _ = std::thread::Builder::new()
            .name("standins".into())
            .spawn(run);
    });
    EXECUTOR.spawn(work)
}

/// What a lock holds, also after a holder has panicked: a test that failed must not fail the
/// others.
pub fn lock_unpoisoned<T>(of: &Mutex<T>) -> MutexGuard<'_, T> {
    of.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

/// Waits until this holds, looking every few milliseconds; whether it did within [`SOON`].
pub fn wait_until(mut holds: impl FnMut() -> bool) -> bool {
    let begun = Instant::now();
    while !holds() {
        if begun.elapsed() > TEST_TIMEOUT {
            return false;
        }
        std::thread::sleep(Duration::from_millis(2));
    }
    true
}

/// Ends what runs under it, again and again: each end is for what began before.
#[derive(Default)]
pub struct TerminationSignal {
    count: AtomicU64,
    event: Event,
}

impl TerminationSignal {
    pub fn count(&self) -> u64 {
        self.count.load(Ordering::SeqCst)
    }

    pub fn end(&self) {
        self.count.fetch_add(1, Ordering::SeqCst);
        self.event.notify(usize::MAX);
    }

    /// Ready once there were more ends than `seen`.
    pub async fn ended(&self, seen: u64) {
        loop {
            let listener = self.event.listen();
            if self.count() != seen {
                return;
            }
            listener.await;
        }
    }
}

/// A listener on a free loopback port; each connection is served by a task of its own until `ends`
/// ends it. Returns its address and the task that listens.
pub fn listen<F>(
    ends: &Arc<TerminationSignal>,
    serve: impl Fn(Async<TcpStream>) -> F + Send + 'static,
) -> std::io::Result<(SocketAddr, Task<()>)>
where
    F: Future<Output = ()> + Send + 'static,
{
    listen_at(([127, 0, 0, 1], 0).into(), ends, serve)
}

/// The same at a given address.
pub fn listen_at<F>(
    address: SocketAddr,
    ends: &Arc<TerminationSignal>,
    serve: impl Fn(Async<TcpStream>) -> F + Send + 'static,
) -> std::io::Result<(SocketAddr, Task<()>)>
where
    F: Future<Output = ()> + Send + 'static,
{
    let listener = Async::<TcpListener>::bind(address)?;
    let address = listener.get_ref().local_addr()?;
    let ends = ends.clone();
    let task = spawn(async move {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                Timer::after(Duration::from_millis(5)).await;
                continue;
            };
            let _ = stream.get_ref().set_nodelay(true);
            let (ends, seen) = (ends.clone(), ends.count());
            let talk = serve(stream);
            spawn(async move { talk.or(ends.ended(seen)).await }).detach();
        }
    });
    Ok((address, task))
}

pub async fn sleep(span: Duration) {
    if !span.is_zero() {
        Timer::after(span).await;
    }
}
