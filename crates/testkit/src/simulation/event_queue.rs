//! The queue of scheduled events, and the simulated clock that it advances.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;
use std::time::Duration;

/// A queue of events ordered by time. Events with the same time are returned in the order in which
/// they were scheduled.
pub struct EventQueue<E> {
    now: Duration,
    scheduled: u64,
    heap: BinaryHeap<Reverse<Entry<E>>>,
}

struct Entry<E> {
    time: Duration,
    sequence: u64,
    event: E,
}

impl<E> Entry<E> {
    fn rank(&self) -> (Duration, u64) {
        (self.time, self.sequence)
    }
}

impl<E> PartialEq for Entry<E> {
    fn eq(&self, other: &Self) -> bool {
        self.rank() == other.rank()
    }
}

impl<E> Eq for Entry<E> {}

impl<E> PartialOrd for Entry<E> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Entry<E> {
    fn cmp(&self, other: &Self) -> Ordering {
        self.rank().cmp(&other.rank())
    }
}

impl<E> EventQueue<E> {
    /// Creates an empty queue whose clock is set to `start`.
    pub fn new(start: Duration) -> EventQueue<E> {
        EventQueue {
            now: start,
            scheduled: 0,
            heap: BinaryHeap::new(),
        }
    }

    /// Returns the simulated time, which is the time of the last event that was taken.
    pub fn now(&self) -> Duration {
        self.now
    }

    /// Schedules an event. An event with a time in the past is scheduled for now.
    pub fn schedule(&mut self, time: Duration, event: E) {
        self.scheduled += 1;
        self.heap.push(Reverse(Entry {
            time: time.max(self.now),
            sequence: self.scheduled,
            event,
        }));
    }

    /// Takes the next event and sets the clock to its time; `None` if no event is due by `end`.
    pub fn pop_until(&mut self, end: Duration) -> Option<E> {
        let next = self.heap.peek()?;
        if next.0.time > end {
            return None;
        }
        let Reverse(entry) = self.heap.pop()?;
        self.now = entry.time;
        Some(entry.event)
    }
}
