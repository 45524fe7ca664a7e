//! A simulated endpoint: a queue in front of some cores.

use super::checks::SlowStartCheck;
use super::event::AttemptRef;
use super::SimulatedEndpoint;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;
use tulipwall::{EndpointEntry, Settings};

/// The shortest slow start that is reckoned with, in seconds.
const MIN_SLOW_START_SECONDS: f64 = 1e-3;
/// Endpoints are spread over so many cells.
const CELLS: u64 = 3;

/// The state of one endpoint.
pub(super) struct EndpointRuntime {
    pub spec: SimulatedEndpoint,
    pub slow_start: SlowStartCheck,
    /// Counts its restarts: what was meant for an earlier one is refused.
    pub incarnation: u64,
    running: BTreeMap<u64, AttemptRef>, // by slot
    waiting: VecDeque<AttemptRef>,
    next_slot: u64,
}

impl EndpointRuntime {
    pub fn new(index: usize, spec: SimulatedEndpoint, settings: &Settings) -> EndpointRuntime {
        EndpointRuntime {
            spec,
            slow_start: SlowStartCheck::new(
                index,
                settings.overload_window,
                settings.slow_start_duration,
            ),
            incarnation: 0,
            running: BTreeMap::new(),
            waiting: VecDeque::new(),
            next_slot: 0,
        }
    }

    /// Its entry in the list of discovery.
    pub fn entry(&self, index: usize) -> EndpointEntry {
        EndpointEntry {
            endpoint: index,
            zone: self.spec.zone,
            cell: index as u64 % CELLS,
            identity: index as u64,
            endpoint_type: 0,
            build: self.spec.build,
            state: self.spec.state,
            started: self.spec.started,
        }
    }

    /// Core-seconds of the usual work that it does in a second, fewer in slow start.
    pub fn capacity(&self, now: Duration, settings: &Settings) -> f64 {
        self.spec.cores as f64 * self.warmth(now, settings) / self.spec.work_factor
    }

    /// The share of its capacity that it has by now.
    fn warmth(&self, now: Duration, settings: &Settings) -> f64 {
        let Some(started) = self.spec.started else {
            return 1.0;
        };
        let slow_start = settings.slow_start_duration.as_secs_f64();
        let age =
            now.saturating_sub(started).as_secs_f64() / slow_start.max(MIN_SLOW_START_SECONDS);
        settings.slow_start_share + (1.0 - settings.slow_start_share) * age.min(1.0)
    }

    /// How many attempts run.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// How many attempts wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Whether it can run another attempt.
    pub fn has_free_core(&self) -> bool {
        self.running.len() < self.spec.cores
    }

    /// Whether it has neither a free core nor a free place in its queue.
    pub fn is_full(&self) -> bool {
        !self.has_free_core() && self.waiting.len() >= self.spec.queue_limit
    }

    /// Puts an attempt at the end of the queue.
    pub fn enqueue(&mut self, attempt: AttemptRef) {
        self.waiting.push_back(attempt);
    }

    /// Takes the attempt that has waited longest.
    pub fn dequeue(&mut self) -> Option<AttemptRef> {
        self.waiting.pop_front()
    }

    /// Puts an attempt on a core and returns its slot.
    pub fn run(&mut self, attempt: AttemptRef) -> u64 {
        let slot = self.next_slot;
        self.next_slot += 1;
        self.running.insert(slot, attempt);
        slot
    }

    /// Takes the attempt of a slot off its core.
    pub fn finish(&mut self, slot: u64) -> Option<AttemptRef> {
        self.running.remove(&slot)
    }

    /// Begins a new incarnation and returns what the one before had in hand.
    pub fn crash(&mut self) -> Vec<AttemptRef> {
        self.incarnation += 1;
        let running = std::mem::take(&mut self.running).into_values();
        let waiting = std::mem::take(&mut self.waiting);
        running.chain(waiting).collect()
    }
}
