//! The event loop of this program's one thread, which tracks the readiness of sockets with
//! edge-triggered epoll.
//!
//! It is used in place of async-io, which costs more: async-io rearms a socket for each wait (three
//! system calls per request) and sets a timer descriptor at each turn, and its helper thread makes
//! every lock and every system call of the C library contended.

use super::timer;
use async_executor::LocalExecutor;
use rustix::event::epoll::{self, CreateFlags, Event, EventData, EventFlags};
use rustix::event::Timespec;
use slab::Slab;
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::io;
use std::os::fd::{AsFd, OwnedFd};
use std::pin::pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};

pub use super::timer::Timer;

/// Maximum number of events received in one turn of the event loop.
const MAX_EVENTS: usize = 256;
/// Maximum number of tasks run between two turns, so that new events wait for at most this many.
const MAX_TASKS: usize = 32;

/// The events that epoll reports for each socket.
const INTEREST: EventFlags = EventFlags::IN
    .union(EventFlags::OUT)
    .union(EventFlags::RDHUP)
    .union(EventFlags::ET);
/// Flags of a connection that is closed in both directions.
const CLOSED: EventFlags = EventFlags::HUP.union(EventFlags::ERR);

thread_local! {
    static REACTOR: Reactor = Reactor::new();
}

struct Reactor {
    epoll: io::Result<OwnedFd>,
    sources: RefCell<Slab<Rc<Readiness>>>,
}

/// The readiness of a socket, which is kept until a call on it returns `WouldBlock`.
#[derive(Default)]
struct Readiness {
    read: ReadyFlag,
    write: ReadyFlag,
    /// Whether the peer has stopped sending.
    peer_closed: ReadyFlag,
}

impl Readiness {
    fn on_event(&self, flags: EventFlags) {
        if flags.intersects(EventFlags::RDHUP | CLOSED) {
            self.peer_closed.set();
        }
        if flags.intersects(EventFlags::IN | EventFlags::RDHUP | CLOSED) {
            self.read.set();
        }
        if flags.intersects(EventFlags::OUT | CLOSED) {
            self.write.set();
        }
    }
}

/// A flag for which one task at a time can wait.
#[derive(Default)]
struct ReadyFlag {
    ready: Cell<bool>,
    waiting: RefCell<Option<Waker>>,
}

impl ReadyFlag {
    fn set(&self) {
        self.ready.set(true);
        if let Some(waker) = self.waiting.take() {
            waker.wake();
        }
    }

    fn poll(&self, context: &mut Context) -> Poll<()> {
        if self.ready.get() {
            return Poll::Ready(());
        }
        let mut waiting = self.waiting.borrow_mut();
        let already_waits = waiting
            .as_ref()
            .is_some_and(|waker| waker.will_wake(context.waker()));
        if !already_waits {
            *waiting = Some(context.waker().clone());
        }
        Poll::Pending
    }

    /// Waits for the flag, then calls `work`; repeats this for as long as `work` would block.
    async fn when_ready<T>(&self, mut work: impl FnMut() -> io::Result<T>) -> io::Result<T> {
        loop {
            std::future::poll_fn(|context| self.poll(context)).await;
            match work() {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => self.ready.set(false),
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                outcome => return outcome,
            }
        }
    }
}

impl Reactor {
    fn new() -> Reactor {
        Reactor {
            epoll: epoll::create(CreateFlags::CLOEXEC).map_err(io::Error::from),
            sources: RefCell::default(),
        }
    }

    fn epoll(&self) -> io::Result<&OwnedFd> {
        self.epoll
            .as_ref()
            .map_err(|error| io::Error::from(error.kind()))
    }

    /// Runs one turn: receives events and fires due timers, in this order. With `wait`, blocks
    /// until an event or the next timer; otherwise returns at once.
    fn turn(&self, wait: bool) -> io::Result<()> {
        let next_due = timer::next_due();
        let timeout = if wait {
            next_due.map(|due| due.saturating_duration_since(Instant::now()))
        } else {
            Some(Duration::ZERO)
        };
        let mut events = Vec::with_capacity(MAX_EVENTS);
        self.wait_for_events(&mut events, timeout)?;
        for event in &events {
            let key = event.data.u64() as usize;
            let source = self.sources.borrow().get(key).cloned();
            if let Some(readiness) = source {
                readiness.on_event(event.flags);
            }
        }
        if next_due.is_some() {
            timer::fire_due(Instant::now());
        }
        Ok(())
    }

    fn wait_for_events(
        &self,
        events: &mut Vec<Event>,
        timeout: Option<Duration>,
    ) -> io::Result<()> {
        let timeout = timeout.and_then(|span| Timespec::try_from(span).ok());
        let event_buffer = rustix::buffer::spare_capacity(events);
        match epoll::wait(self.epoll()?, event_buffer, timeout.as_ref()) {
            Ok(_) | Err(rustix::io::Errno::INTR) => Ok(()),
            Err(error) => Err(error.into()),
        }
    }
}

/// Runs the tasks of `executor` until `main`, which is polled in each turn, is done. Tasks of
/// `priority` run before any others, so that the others see what these receive.
pub fn run<T>(
    executor: &LocalExecutor<'_>,
    priority: &LocalExecutor<'_>,
    main: impl Future<Output = T>,
) -> io::Result<T> {
    let mut main = pin!(main);
    let mut context = Context::from_waker(Waker::noop());
    let run_next_tasks = || {
        let mut ran_priority = false;
        while priority.try_tick() {
            ran_priority = true;
        }
        executor.try_tick() || ran_priority
    };
    loop {
        let limit_reached = (0..MAX_TASKS).all(|_| run_next_tasks());
        if let Poll::Ready(outcome) = main.as_mut().poll(&mut context) {
            return Ok(outcome);
        }
        let more_to_run = limit_reached || run_next_tasks();
        REACTOR.with(|reactor| reactor.turn(!more_to_run))?;
    }
}

/// A socket that is registered with this thread's event loop.
pub struct Source<S> {
    socket: S,
    key: usize,
    readiness: Rc<Readiness>,
}

impl<S: AsFd> Source<S> {
    /// Registers `socket`, which must be non-blocking.
    pub fn new(socket: S) -> io::Result<Source<S>> {
        REACTOR.with(|reactor| {
            let epoll = reactor.epoll()?;
            let readiness = Rc::new(Readiness::default());
            let key = reactor.sources.borrow_mut().insert(readiness.clone());
            let source = Source {
                socket,
                key,
                readiness,
            };
            let data = EventData::new_u64(key as u64);
            epoll::add(epoll, &source.socket, data, INTEREST)?;
            Ok(source)
        })
    }

    /// The registered socket. Reads and writes on it belong in [`Source::read`] and
    /// [`Source::write`], which keep its readiness up to date.
    pub fn get(&self) -> &S {
        &self.socket
    }

    /// Calls `work` once the socket is readable, and again for as long as it would block.
    pub async fn read<T>(&self, work: impl FnMut() -> io::Result<T>) -> io::Result<T> {
        self.readiness.read.when_ready(work).await
    }

    /// Waits until the socket may be readable.
    pub async fn readable(&self) {
        std::future::poll_fn(|context| self.readiness.read.poll(context)).await;
    }

    /// Calls `work` once the socket is writable, and again for as long as it would block.
    pub async fn write<T>(&self, work: impl FnMut() -> io::Result<T>) -> io::Result<T> {
        self.readiness.write.when_ready(work).await
    }

    /// Marks the socket as not readable, after all received data was read. New data causes a new
    /// event. The end of the peer's sending is not reported again, so if it was already reported,
    /// the socket stays readable.
    pub fn clear_read_readiness(&self) {
        let peer_closed = self.readiness.peer_closed.ready.get();
        self.readiness.read.ready.set(peer_closed);
    }

    /// Waits until the peer has stopped sending, even if data that it sent before is unread.
    pub async fn peer_closed(&self) {
        std::future::poll_fn(|context| self.readiness.peer_closed.poll(context)).await;
    }
}

impl<S> Drop for Source<S> {
    fn drop(&mut self) {
        // Closing the socket also removes it from epoll.
        REACTOR.with(|reactor| reactor.sources.borrow_mut().try_remove(self.key));
    }
}
