//! The event loop: readiness of sockets for the one thread of this program, on epoll,
//! edge-triggered.
//!
//! It replaces async-io, whose cost was measured: that arms a socket anew for each wait (three
//! system calls a request), sets a timer descriptor at each turn, and its helper thread makes every
//! lock and every system call of the C library a contended one.

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

/// Events taken in one turn at most.
const MAX_EVENTS: usize = 256;
/// Tasks run between two turns at most: what waits behind them waits for no more than so many.
const MAX_TASKS: usize = 32;

/// What epoll is asked to report of each socket.
const INTEREST: EventFlags = EventFlags::IN
    .union(EventFlags::OUT)
    .union(EventFlags::RDHUP)
    .union(EventFlags::ET);
/// The connection is over in both directions.
const CLOSED: EventFlags = EventFlags::HUP.union(EventFlags::ERR);

thread_local! {
    static REACTOR: Reactor = Reactor::new();
}

struct Reactor {
    epoll: io::Result<OwnedFd>,
    sources: RefCell<Slab<Rc<Readiness>>>,
}

/// What is known of a socket until a call says that it would block.
#[derive(Default)]
struct Readiness {
    read: ReadyFlag,
    write: ReadyFlag,
    /// The peer will send no more.
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

/// A flag that one task can wait for.
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

    /// Does what may block once the flag is set, until it does not block.
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

    /// Waits for events, at most until the next timer is due, or not at all. Sockets are reported
    /// before timers.
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
        let space = rustix::buffer::spare_capacity(events);
        match epoll::wait(self.epoll()?, space, timeout.as_ref()) {
            Ok(_) | Err(rustix::io::Errno::INTR) => Ok(()),
            Err(error) => Err(error.into()),
        }
    }
}

/// Runs the tasks of `executor` until `main` is done, which is polled after each turn. Tasks of
/// `priority` run before any other: what they receive applies to the others from then on.
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

/// A socket that this thread waits for.
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

    /// The socket itself.
    pub fn get(&self) -> &S {
        &self.socket
    }

    /// Does what may block for reading once the socket is ready, until it does not block.
    pub async fn read<T>(&self, work: impl FnMut() -> io::Result<T>) -> io::Result<T> {
        self.readiness.read.when_ready(work).await
    }

    /// Ready once the socket may have something to read.
    pub async fn readable(&self) {
        std::future::poll_fn(|context| self.readiness.read.poll(context)).await;
    }

    /// Does what may block for writing once the socket is ready, until it does not block.
    pub async fn write<T>(&self, work: impl FnMut() -> io::Result<T>) -> io::Result<T> {
        self.readiness.write.when_ready(work).await
    }

    /// All that had come was read. What comes from now on is a new event; an end that was reported
    /// before is not.
    pub fn clear_read_readiness(&self) {
        let peer_closed = self.readiness.peer_closed.ready.get();
        self.readiness.read.ready.set(peer_closed);
    }

    /// Ready once the peer has ended its sending, whatever it sent before and was not read.
    pub async fn peer_closed(&self) {
        std::future::poll_fn(|context| self.readiness.peer_closed.poll(context)).await;
    }
}

impl<S> Drop for Source<S> {
    fn drop(&mut self) {
        // Closing the socket takes it out of epoll.
        REACTOR.with(|reactor| reactor.sources.borrow_mut().try_remove(self.key));
    }
}
