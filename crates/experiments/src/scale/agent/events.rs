//! Future events of an agent, in the order of their times.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;
use std::time::Duration;
use tulipwall::Outcome;

/// What happens at an agent by itself.
pub(super) enum EventKind {
    /// A request arrives.
    Arrival,
    /// An attempt ends.
    AttemptEnd {
        request: u64,
        attempt: usize,
        outcome: Outcome,
    },
    /// A request is to be routed again.
    Recheck { request: u64 },
    /// The client of a request stops waiting.
    Deadline { request: u64 },
    /// The balancer asked to be polled.
    Poll,
    /// A watch is to be started, unless another start has been scheduled since.
    StartWatch { number: u64 },
    /// A call to discovery has not been answered in time.
    CallTimeout { call: u64 },
    /// The platform may have been silent for too long.
    PlatformTimeout,
}

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

/// Events by time; those of the same time in the order they were added.
#[derive(Default)]
pub(super) struct EventQueue {
    heap: BinaryHeap<Reverse<Event>>,
    last_sequence: u64,
}

impl EventQueue {
    pub(super) fn push(&mut self, at: Duration, kind: EventKind) {
        self.last_sequence += 1;
        self.heap.push(Reverse(Event {
            at,
            sequence: self.last_sequence,
            kind,
        }));
    }

    /// Time of the next event.
    pub(super) fn next_at(&self) -> Option<Duration> {
        self.heap.peek().map(|event| event.0.at)
    }

    /// Removes the next event.
    pub(super) fn pop(&mut self) -> Option<(Duration, EventKind)> {
        let Reverse(event) = self.heap.pop()?;
        Some((event.at, event.kind))
    }
}
