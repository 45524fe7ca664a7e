//! The queue of an agent's scheduled events, ordered by time.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;
use std::time::Duration;
use tulipwall::Outcome;

/// An event that an agent schedules for itself, as opposed to an input from outside.
pub(super) enum EventKind {
    /// A request arrives.
    Arrival,
    /// An attempt ends.
    AttemptEnd {
        request: u64,
        attempt: usize,
        outcome: Outcome,
    },
    /// The balancer asked to route a request again at this time.
    Recheck { request: u64 },
    /// The deadline of a request is reached; its client stops waiting.
    Deadline { request: u64 },
    /// The balancer asked to be polled at this time.
    Poll,
    /// A watch of discovery is due to start, unless another start has been scheduled since.
    StartWatch { number: u64 },
    /// A call to discovery reaches its timeout.
    CallTimeout { call: u64 },
    /// Check whether the platform has been silent for longer than the timeout.
    PlatformTimeout,
}

/// An event with its time and the tie-breaking order of its insertion.
struct Event {
    at: Duration,
    sequence: u64,
    kind: EventKind,
}

impl PartialEq for Event {
    fn eq(&self, other: &Event) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Event {}

impl PartialOrd for Event {
    fn partial_cmp(&self, other: &Event) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Event {
    fn cmp(&self, other: &Event) -> Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}

/// A priority queue of events by time. Events with equal times come out in the order in which they
/// were added, which keeps the simulation deterministic.
#[derive(Default)]
pub(super) struct EventQueue {
    heap: BinaryHeap<Reverse<Event>>,
    last_sequence: u64,
}

impl EventQueue {
    /// Schedules an event.
    pub(super) fn push(&mut self, at: Duration, kind: EventKind) {
        self.last_sequence += 1;
        self.heap.push(Reverse(Event {
            at,
            sequence: self.last_sequence,
            kind,
        }));
    }

    /// Returns the time of the next event, or `None` when the queue is empty.
    pub(super) fn next_at(&self) -> Option<Duration> {
        self.heap.peek().map(|event| event.0.at)
    }

    /// Removes and returns the next event with its time, or `None` when the queue is empty.
    pub(super) fn pop(&mut self) -> Option<(Duration, EventKind)> {
        let Reverse(event) = self.heap.pop()?;
        Some((event.at, event.kind))
    }
}
