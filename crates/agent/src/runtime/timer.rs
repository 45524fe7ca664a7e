//! The timers of the event loop's thread, ordered by the time at which they are due.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};

thread_local! {
    static TIMERS: TimerQueue = TimerQueue::default();
}

/// When a timer is due, and a sequence number that makes keys with equal times distinct.
type TimerKey = (Instant, u64);

#[derive(Default)]
struct TimerQueue {
    wakers: RefCell<BTreeMap<TimerKey, Waker>>,
    next_number: Cell<u64>,
}

impl TimerQueue {
    fn insert(&self, due: Instant, waker: Waker) -> u64 {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        self.wakers.borrow_mut().insert((due, number), waker);
        number
    }

    /// Removes the first timer if it is due by `now`.
    fn pop_due(&self, now: Instant) -> Option<Waker> {
        let mut wakers = self.wakers.borrow_mut();
        let first = wakers.first_entry()?;
        let (due, _) = *first.key();
        (due <= now).then(|| first.remove())
    }
}

/// When the first timer is due; `None` if there are no timers.
pub(super) fn next_due() -> Option<Instant> {
    TIMERS.with(|timers| {
        let wakers = timers.wakers.borrow();
        wakers.first_key_value().map(|((due, _), _)| *due)
    })
}

/// Wakes the tasks of all timers that are due by `now`, the earliest first.
pub(super) fn fire_due(now: Instant) {
    TIMERS.with(|timers| {
        while let Some(waker) = timers.pop_due(now) {
            waker.wake();
        }
    });
}

/// A future that is ready at a given instant.
pub struct Timer {
    due: Instant,
    /// The sequence number under which the timer is queued; `None` until it is first polled.
    number: Option<u64>,
}

impl Timer {
    /// Creates a timer that is ready at `due`.
    pub fn at(due: Instant) -> Timer {
        Timer { due, number: None }
    }

    /// Creates a timer that is ready when `duration` has passed, counted from now.
    pub fn after(duration: Duration) -> Timer {
        Timer::at(Instant::now() + duration)
    }
}

impl Future for Timer {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context) -> Poll<()> {
        TIMERS.with(|timers| {
            let Some(number) = self.number else {
                self.number = Some(timers.insert(self.due, context.waker().clone()));
                return Poll::Pending;
            };
            match timers.wakers.borrow_mut().get_mut(&(self.due, number)) {
                Some(waker) => {
                    waker.clone_from(context.waker());
                    Poll::Pending
                }
                // The timer has fired.
                None => Poll::Ready(()),
            }
        })
    }
}

impl Drop for Timer {
    fn drop(&mut self) {
        if let Some(number) = self.number {
            TIMERS.with(|timers| timers.wakers.borrow_mut().remove(&(self.due, number)));
        }
    }
}
