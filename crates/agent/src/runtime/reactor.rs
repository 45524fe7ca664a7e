//! Readiness of sockets and timers for the one thread of this program, on epoll, edge-triggered.
//!
//! In the place of async-io, whose share was measured: it arms a socket anew for each wait (three
//! system calls a request), sets a timer descriptor at each turn, and its helper thread makes every
//! lock and every system call of the C library a contended one.

use async_executor::LocalExecutor;
use rustix::event::epoll::{self, CreateFlags, EventData, EventFlags};
use rustix::event::Timespec;
use slab::Slab;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::Future;
use std::io;
use std::os::fd::{AsFd, OwnedFd};
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};

/// Events taken in a turn.
const BATCH: usize = 256;
/// Tasks run between two turns: what waits behind them waits for no more than so many.
const TASKS: usize = 32;

thread_local! {
    static REACTOR: Reactor = Reactor::new();
}

struct Reactor {
    epoll: io::Result<OwnedFd>,
    sources: RefCell<Slab<Rc<Readiness>>>,
    timers: RefCell<BTreeMap<(Instant, u64), Waker>>,
    timed: Cell<u64>,
}

/// What is known of a socket until a call says that it would block.
#[derive(Default)]
struct Readiness {
    read: Side,
    write: Side,
    ended: Side, // the other side will send no more
}

#[derive(Default)]
struct Side {
    ready: Cell<bool>,
    waits: RefCell<Option<Waker>>,
}

impl Side {
    fn set(&self) {
        self.ready.set(true);
        if let Some(waker) = self.waits.take() {
            waker.wake();
        }
    }

    fn poll(&self, cx: &mut Context) -> Poll<()> {
        if self.ready.get() {
            return Poll::Ready(());
        }
        let mut waits = self.waits.borrow_mut();
        if !waits.as_ref().is_some_and(|w| w.will_wake(cx.waker())) {
            *waits = Some(cx.waker().clone());
        }
        Poll::Pending
    }
}

impl Reactor {
    fn new() -> Reactor {
        Reactor {
            epoll: epoll::create(CreateFlags::CLOEXEC).map_err(io::Error::from),
            sources: RefCell::default(),
            timers: RefCell::default(),
            timed: Cell::default(),
        }
    }

    /// Waits for events, at most until the next timer is due, or not at all; sockets are told
    /// before timers.
    fn turn(&self, wait: bool) -> io::Result<()> {
        let epoll = self.epoll.as_ref().map_err(|e| io::Error::from(e.kind()))?;
        let next = self.timers.borrow().first_key_value().map(|(at, _)| at.0);
        let span = match next {
            _ if !wait => Some(Duration::ZERO),
            next => next.map(|at| at.saturating_duration_since(Instant::now())),
        };
        let span = span.and_then(|s| Timespec::try_from(s).ok());
        let mut events = Vec::with_capacity(BATCH);
        match epoll::wait(
            epoll,
            rustix::buffer::spare_capacity(&mut events),
            span.as_ref(),
        ) {
            Ok(_) | Err(rustix::io::Errno::INTR) => {}
            Err(e) => return Err(e.into()),
        }
        for event in &events {
            let (flags, data) = (event.flags, event.data);
            let source = self.sources.borrow().get(data.u64() as usize).cloned();
            let Some(source) = source else { continue };
            let ended = EventFlags::HUP | EventFlags::ERR;
            if flags.intersects(EventFlags::RDHUP | ended) {
                source.ended.set();
            }
            if flags.intersects(EventFlags::IN | EventFlags::RDHUP | ended) {
                source.read.set();
            }
            if flags.intersects(EventFlags::OUT | ended) {
                source.write.set();
            }
        }
        if next.is_none() {
            return Ok(());
        }
        let now = Instant::now();
        loop {
            let mut timers = self.timers.borrow_mut();
            let Some(first) = timers.first_entry().filter(|e| e.key().0 <= now) else {
                return Ok(());
            };
            let waker = first.remove();
            drop(timers);
            waker.wake();
        }
    }
}

/// Runs the tasks of `executor` until `main` is done, which is looked at after each turn. Those of
/// `first` are run before any other: what they hear binds the others from then on.
pub fn run<T>(
    executor: &LocalExecutor<'_>,
    first: &LocalExecutor<'_>,
    main: impl Future<Output = T>,
) -> io::Result<T> {
    let mut main = pin!(main);
    let mut cx = Context::from_waker(Waker::noop());
    let tick = || {
        let mut ran = false;
        while first.try_tick() {
            ran = true;
        }
        executor.try_tick() || ran
    };
    loop {
        let busy = (0..TASKS).all(|_| tick());
        if let Poll::Ready(outcome) = main.as_mut().poll(&mut cx) {
            return Ok(outcome);
        }
        let busy = busy || tick();
        REACTOR.with(|r| r.turn(!busy))?;
    }
}

/// A socket that this thread waits for.
pub struct Source<S> {
    socket: S,
    key: usize,
    readiness: Rc<Readiness>,
}

impl<S: AsFd> Source<S> {
    /// `socket` is set not to block.
    pub fn new(socket: S) -> io::Result<Source<S>> {
        REACTOR.with(|r| {
            let epoll = r.epoll.as_ref().map_err(|e| io::Error::from(e.kind()))?;
            let readiness = Rc::new(Readiness::default());
            let key = r.sources.borrow_mut().insert(readiness.clone());
            let source = Source {
                socket,
                key,
                readiness,
            };
            let flags = EventFlags::IN | EventFlags::OUT | EventFlags::RDHUP | EventFlags::ET;
            epoll::add(epoll, &source.socket, EventData::new_u64(key as u64), flags)?;
            Ok(source)
        })
    }

    pub fn get(&self) -> &S {
        &self.socket
    }

    /// Does what may block for reading once the socket is ready, until it does not block.
    pub async fn read<T>(&self, work: impl FnMut() -> io::Result<T>) -> io::Result<T> {
        wait(&self.readiness.read, work).await
    }

    /// All that had come was read. What comes from now on is a new event; an end told before is
    /// not.
    pub fn clear_read_readiness(&self) {
        self.readiness
            .read
            .ready
            .set(self.readiness.ended.ready.get());
    }

    pub async fn write<T>(&self, work: impl FnMut() -> io::Result<T>) -> io::Result<T> {
        wait(&self.readiness.write, work).await
    }

    /// Ready once the other side has ended its sending, whatever it sent before and was not read.
    pub async fn peer_closed(&self) {
        std::future::poll_fn(|cx| self.readiness.ended.poll(cx)).await;
    }
}

async fn wait<T>(side: &Side, mut work: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    loop {
        std::future::poll_fn(|cx| side.poll(cx)).await;
        match work() {
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => side.ready.set(false),
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            outcome => return outcome,
        }
    }
}

impl<S> Drop for Source<S> {
    fn drop(&mut self) {
        // Closing the socket takes it out of epoll.
        REACTOR.with(|r| r.sources.borrow_mut().try_remove(self.key));
    }
}

/// Ready at an instant.
pub struct Timer {
    at: Instant,
    key: Option<u64>,
}

impl Timer {
    pub fn at(at: Instant) -> Timer {
        Timer { at, key: None }
    }

    pub fn after(span: Duration) -> Timer {
        Timer::at(Instant::now() + span)
    }
}

impl Future for Timer {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<()> {
        REACTOR.with(|r| {
            let mut timers = r.timers.borrow_mut();
            let Some(key) = self.key else {
                let key = r.timed.get();
                r.timed.set(key + 1);
                timers.insert((self.at, key), cx.waker().clone());
                self.key = Some(key);
                return Poll::Pending;
            };
            match timers.get_mut(&(self.at, key)) {
                Some(waker) => {
                    waker.clone_from(cx.waker());
                    Poll::Pending
                }
                None => Poll::Ready(()),
            }
        })
    }
}

impl Drop for Timer {
    fn drop(&mut self) {
        if let Some(key) = self.key {
            REACTOR.with(|r| r.timers.borrow_mut().remove(&(self.at, key)));
        }
    }
}
