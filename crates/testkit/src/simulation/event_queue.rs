//! The queue of what is still to happen, and the simulated clock that it drives.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;
use std::time::Duration;

/// Events by time. Events of the same time come out in the order in which they were scheduled.
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
    /// An empty queue whose clock stands at `start`.
    pub fn new(start: Duration) -> EventQueue<E> {
        EventQueue {
            now: start,
            scheduled: 0,
            heap: BinaryHeap::new(),
        }
    }

    /// The time of the event that was taken last.
    pub fn now(&self) -> Duration {
        self.now
    }

    /// Adds an event. One that is due in the past happens now.
    pub fn schedule(&mut self, time: Duration, event: E) {
        self.scheduled += 1;
        self.heap.push(Reverse(Entry {
            time: time.max(self.now),
            sequence: self.scheduled,
            event,
        }));
    }

    /// Takes the next event and sets the clock to its time; nothing once all that is left is due
    /// after `end`.
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
