//! The thread on which all fakes of a process run, and what they share: tasks, locks, listeners. It
//! is not a thread of the agent, so the time that fakes take is their own.

use async_executor::{Executor, Task};
use async_io::{Async, Timer};
use event_listener::Event;
use futures_lite::future::{self, FutureExt};
use std::convert::Infallible;
use std::future::Future;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock};
use std::time::{Duration, Instant};

/// How long a test waits for what must come, at most. Generous: no figure depends on it.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// A free port on the loopback address.
pub const ANY_PORT: SocketAddr = SocketAddr::V4(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0));

/// How soon a listener that could not accept (no descriptors are left) tries again.
const ACCEPT_RETRY: Duration = Duration::from_millis(5);
/// How often a test looks whether what it waits for holds.
const WAIT_POLL: Duration = Duration::from_millis(2);

static EXECUTOR: Executor<'static> = Executor::new();
static THREAD: OnceLock<()> = OnceLock::new();
/// How many [`BusyPolling`] live.
static POLLERS: AtomicUsize = AtomicUsize::new(0);
static POLLERS_CHANGED: Event = Event::new();

/// Runs this in the background, until it ends or the task is dropped.
pub fn spawn<T: Send + 'static>(work: impl Future<Output = T> + Send + 'static) -> Task<T> {
    THREAD.get_or_init(|| {
        // It waits for events itself: a helper thread would have to be woken before it.
        let run = || async_io::block_on(EXECUTOR.run(poll_while_wanted()));
        // Without a thread nothing here would ever answer; the tests then say so.
        let _ = std::thread::Builder::new()
            .name("testkit".into())
            .spawn(run);
    });
    EXECUTOR.spawn(work)
}

/// While one of these lives the thread of the fakes looks for events all the time in place of
/// sleeping until one comes, so that none of them is late by the wake-up of an idle core. It takes
/// a core whole: for measurements of latency.
pub struct BusyPolling(());

impl BusyPolling {
    /// Begins to look for events all the time.
    pub fn begin() -> BusyPolling {
        POLLERS.fetch_add(1, Ordering::SeqCst);
        POLLERS_CHANGED.notify(usize::MAX);
        BusyPolling(())
    }
}

impl Drop for BusyPolling {
    fn drop(&mut self) {
        POLLERS.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Keeps the thread awake while there is any [`BusyPolling`].
async fn poll_while_wanted() -> Infallible {
    loop {
        let changed = POLLERS_CHANGED.listen();
        if POLLERS.load(Ordering::SeqCst) == 0 {
            changed.await;
        } else {
            drop(changed);
            future::yield_now().await;
        }
    }
}

/// What a lock holds, also after a holder has panicked: a test that failed must not fail the
/// others.
pub fn lock_unpoisoned<T>(of: &Mutex<T>) -> MutexGuard<'_, T> {
    of.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

/// Waits until this holds, looking every few milliseconds; whether it did within [`TEST_TIMEOUT`].
pub fn wait_until(mut holds: impl FnMut() -> bool) -> bool {
    let begun = Instant::now();
    while !holds() {
        if begun.elapsed() > TEST_TIMEOUT {
            return false;
        }
        std::thread::sleep(WAIT_POLL);
    }
    true
}

/// Ends connections, again and again: each end is for those that were accepted before it.
#[derive(Default)]
pub struct TerminationSignal {
    count: AtomicU64,
    event: Event,
}

impl TerminationSignal {
    /// How many ends there were.
    pub fn count(&self) -> u64 {
        self.count.load(Ordering::SeqCst)
    }

    /// Ends all connections that are open now.
    pub fn end(&self) {
        self.count.fetch_add(1, Ordering::SeqCst);
        self.event.notify(usize::MAX);
    }

    /// Ready once there were other ends than `seen`.
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

/// A listener on a free loopback port; each connection is served by a task of its own until
/// `signal` ends it. Returns its address and the task that listens.
pub fn listen<F>(
    signal: &Arc<TerminationSignal>,
    serve: impl Fn(Async<TcpStream>) -> F + Send + 'static,
) -> std::io::Result<(SocketAddr, Task<()>)>
where
    F: Future<Output = ()> + Send + 'static,
{
    listen_at(ANY_PORT, signal, serve)
}

/// The same at a given address.
pub fn listen_at<F>(
    address: SocketAddr,
    signal: &Arc<TerminationSignal>,
    serve: impl Fn(Async<TcpStream>) -> F + Send + 'static,
) -> std::io::Result<(SocketAddr, Task<()>)>
where
    F: Future<Output = ()> + Send + 'static,
{
    let listener = Async::<TcpListener>::bind(address)?;
    let address = listener.get_ref().local_addr()?;
    let task = spawn(accept(listener, signal.clone(), serve));
    Ok((address, task))
}

async fn accept<F>(
    listener: Async<TcpListener>,
    signal: Arc<TerminationSignal>,
    serve: impl Fn(Async<TcpStream>) -> F,
) where
    F: Future<Output = ()> + Send + 'static,
{
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            Timer::after(ACCEPT_RETRY).await;
            continue;
        };
        let _ = stream.get_ref().set_nodelay(true);
        let signal = signal.clone();
        let seen = signal.count();
        let session = serve(stream);
        spawn(async move { session.or(signal.ended(seen)).await }).detach();
    }
}

/// The listeners of a fake server.
pub struct Listeners {
    /// Where they listen, by zone.
    pub addresses: Vec<SocketAddr>,
    /// They listen until these are dropped.
    pub tasks: Vec<Task<()>>,
}

/// Listens at an address for each zone; `serve` gets the caller's zone with each connection.
pub fn listen_by_zone<F>(
    addresses: &[SocketAddr],
    signal: &Arc<TerminationSignal>,
    serve: impl Fn(usize, Async<TcpStream>) -> F + Clone + Send + 'static,
) -> std::io::Result<Listeners>
where
    F: Future<Output = ()> + Send + 'static,
{
    let mut listeners = Listeners {
        addresses: Vec::new(),
        tasks: Vec::new(),
    };
    for (zone, address) in addresses.iter().enumerate() {
        let serve = serve.clone();
        let (address, task) = listen_at(*address, signal, move |stream| serve(zone, stream))?;
        listeners.addresses.push(address);
        listeners.tasks.push(task);
    }
    Ok(listeners)
}

/// Sleeps for a span; not at all for none.
pub async fn sleep(span: Duration) {
    if !span.is_zero() {
        Timer::after(span).await;
    }
}
