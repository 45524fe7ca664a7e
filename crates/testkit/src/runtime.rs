//! The executor thread on which all fakes of a process run, and shared helpers for tasks, locks and
//! listeners. The agent does not run on this thread, so work done by the fakes does not delay it.

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

/// Upper limit on a test's wait for an expected event. No measured figure depends on it.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// The loopback address with port 0, for which the system chooses a free port.
pub const ANY_PORT: SocketAddr = SocketAddr::V4(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0));

/// Delay before a listener retries a failed accept, for instance when no file descriptors are left.
const ACCEPT_RETRY: Duration = Duration::from_millis(5);
/// Interval at which [`wait_until`] checks its condition.
const WAIT_POLL: Duration = Duration::from_millis(2);

static EXECUTOR: Executor<'static> = Executor::new();
static THREAD: OnceLock<()> = OnceLock::new();
/// Number of live [`BusyPolling`] guards.
static BUSY_POLLING_GUARDS: AtomicUsize = AtomicUsize::new(0);
static BUSY_POLLING_CHANGED: Event = Event::new();

/// Runs a future in the background until it completes or the returned task is dropped.
pub fn spawn<T: Send + 'static>(work: impl Future<Output = T> + Send + 'static) -> Task<T> {
    THREAD.get_or_init(|| {
        // This thread waits for I/O events itself. With a separate I/O thread, that thread would
        // have to be woken first.
        let run = || async_io::block_on(EXECUTOR.run(poll_while_requested()));
        // If the thread cannot be started, no fake ever responds and the tests time out.
        let _ = std::thread::Builder::new()
            .name("testkit".into())
            .spawn(run);
    });
    EXECUTOR.spawn(work)
}

/// A guard that keeps the fakes' thread busy-polling for events instead of sleeping, so that no
/// event is delayed by the wake-up of an idle core. Uses one core fully; meant for latency
/// measurements.
pub struct BusyPolling(());

impl BusyPolling {
    /// Starts busy polling, which lasts until all guards are dropped.
    pub fn begin() -> BusyPolling {
        BUSY_POLLING_GUARDS.fetch_add(1, Ordering::SeqCst);
        BUSY_POLLING_CHANGED.notify(usize::MAX);
        BusyPolling(())
    }
}

impl Drop for BusyPolling {
    fn drop(&mut self) {
        BUSY_POLLING_GUARDS.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Keeps the thread awake while a [`BusyPolling`] guard is live.
async fn poll_while_requested() -> Infallible {
    loop {
        let changed = BUSY_POLLING_CHANGED.listen();
        if BUSY_POLLING_GUARDS.load(Ordering::SeqCst) == 0 {
            changed.await;
        } else {
            drop(changed);
            future::yield_now().await;
        }
    }
}

/// Locks a mutex even if it is poisoned, so that a panic in one test does not fail the others.
pub fn lock_unpoisoned<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner())
}

/// Waits until the condition holds, checking it every few milliseconds. Returns `false` if it does
/// not hold within [`TEST_TIMEOUT`].
pub fn wait_until(mut condition: impl FnMut() -> bool) -> bool {
    let started = Instant::now();
    while !condition() {
        if started.elapsed() > TEST_TIMEOUT {
            return false;
        }
        std::thread::sleep(WAIT_POLL);
    }
    true
}

/// A reusable signal that terminates connections. Each signal applies to the connections that were
/// accepted before it.
#[derive(Default)]
pub struct TerminationSignal {
    count: AtomicU64,
    event: Event,
}

impl TerminationSignal {
    /// Returns how many times [`TerminationSignal::end`] was called.
    pub fn count(&self) -> u64 {
        self.count.load(Ordering::SeqCst)
    }

    /// Terminates all connections that are open now.
    pub fn end(&self) {
        self.count.fetch_add(1, Ordering::SeqCst);
        self.event.notify(usize::MAX);
    }

    /// Completes once the count differs from `seen`.
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

/// Listens on a free loopback port. Each connection is served by a task of its own until `signal`
/// terminates it. Returns the address and the task that accepts connections.
pub fn listen<F>(
    signal: &Arc<TerminationSignal>,
    serve: impl Fn(Async<TcpStream>) -> F + Send + 'static,
) -> std::io::Result<(SocketAddr, Task<()>)>
where
    F: Future<Output = ()> + Send + 'static,
{
    listen_at(ANY_PORT, signal, serve)
}

/// Listens on the given address. Otherwise like [`listen`].
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

/// The listeners of a fake server, one for each zone.
pub struct Listeners {
    /// The address of each listener, by zone.
    pub addresses: Vec<SocketAddr>,
    /// The tasks that accept connections. Dropping a task closes its listener.
    pub tasks: Vec<Task<()>>,
}

/// Listens on one address for each zone. `serve` gets the index of the caller's zone with each
/// connection.
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

/// Sleeps for `duration`. Returns at once, without yielding, if it is zero.
pub async fn sleep(duration: Duration) {
    if !duration.is_zero() {
        Timer::after(duration).await;
    }
}
