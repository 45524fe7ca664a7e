//! A simulated endpoint: a queue in front of some cores.

use super::checks::SlowStartCheck;
use super::event::AttemptRef;
use super::SimulatedEndpoint;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;
use tulipwall::{EndpointEntry, Settings};

/// Lower limit on the duration of a slow start, in seconds. Prevents a division by zero.
const MIN_SLOW_START_SECONDS: f64 = 1e-3;
/// Number of cells that endpoints are distributed over.
const CELLS: u64 = 3;

/// The run-time state of one endpoint.
pub(super) struct EndpointRuntime {
    pub spec: SimulatedEndpoint,
    pub slow_start: SlowStartCheck,
    /// Number of crashes so far. Attempts sent to an earlier incarnation are refused.
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

    /// Returns the endpoint's entry in the endpoint list.
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

    /// Returns the capacity in core-seconds of mean work per second, which is reduced in slow
    /// start.
    pub fn capacity(&self, now: Duration, settings: &Settings) -> f64 {
        self.spec.cores as f64 * self.capacity_share(now, settings) / self.spec.work_factor
    }

    /// Returns the share of full capacity that is available during slow start; 1 after it.
    fn capacity_share(&self, now: Duration, settings: &Settings) -> f64 {
        let Some(started) = self.spec.started else {
            return 1.0;
        };
        let slow_start = settings.slow_start_duration.as_secs_f64();
        let age =
            now.saturating_sub(started).as_secs_f64() / slow_start.max(MIN_SLOW_START_SECONDS);
        settings.slow_start_share + (1.0 - settings.slow_start_share) * age.min(1.0)
    }

    /// Returns the number of running attempts.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the number of queued attempts.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Whether a core is free to run another attempt.
    pub fn has_free_core(&self) -> bool {
        self.running.len() < self.spec.cores
    }

    /// Whether all cores are busy and the queue is full.
    pub fn is_full(&self) -> bool {
        !self.has_free_core() && self.waiting.len() >= self.spec.queue_limit
    }

    /// Appends an attempt to the queue.
    pub fn enqueue(&mut self, attempt: AttemptRef) {
        self.waiting.push_back(attempt);
    }

    /// Removes the attempt at the head of the queue.
    pub fn dequeue(&mut self) -> Option<AttemptRef> {
        self.waiting.pop_front()
    }

    /// Runs an attempt on a core and returns its slot.
    pub fn run(&mut self, attempt: AttemptRef) -> u64 {
        let slot = self.next_slot;
        self.next_slot += 1;
        self.running.insert(slot, attempt);
        slot
    }

    /// Frees the core of a slot and returns its attempt; `None` if the slot is not in use.
    pub fn finish(&mut self, slot: u64) -> Option<AttemptRef> {
        self.running.remove(&slot)
    }

    /// Begins a new incarnation and returns the running and queued attempts of the previous one.
    pub fn crash(&mut self) -> Vec<AttemptRef> {
        self.incarnation += 1;
        let running = std::mem::take(&mut self.running).into_values();
        let waiting = std::mem::take(&mut self.waiting);
        running.chain(waiting).collect()
    }
}
