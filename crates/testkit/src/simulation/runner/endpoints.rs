//! Attempts from the endpoints' side: arrival, queueing, work and replies.

use super::super::event::{AttemptRef, EndpointReply, Event};
use super::Runner;
use std::time::Duration;
use tulipwall::EndpointState;

impl Runner {
    /// Handles the arrival of an attempt at its endpoint: replies, refuses or enqueues it.
    pub(super) fn on_attempt_arrival(
        &mut self,
        attempt: AttemptRef,
        endpoint: usize,
        incarnation: u64,
    ) {
        let Some(class) = self.class_of(attempt) else {
            return;
        };
        let state = &self.endpoints[endpoint];
        if state.spec.unresponsive {
            return;
        }
        if state.spec.state == EndpointState::Gone || state.incarnation != incarnation {
            return self.reply(attempt, endpoint, EndpointReply::Refused);
        }
        self.check_slow_start(endpoint, class);
        let state = &self.endpoints[endpoint];
        if state.is_full() {
            return self.reply(attempt, endpoint, EndpointReply::Rejected);
        }
        let running = state.running();
        let waiting = state.waiting();
        self.check_repeat(attempt, class, endpoint);
        self.trace(attempt.agent, attempt.request, || {
            format!(
                "attempt arrived at endpoint {endpoint}, where {running} run and {waiting} wait"
            )
        });
        self.endpoints[endpoint].enqueue(attempt);
        self.start_waiting(endpoint);
    }

    /// Returns the class of an attempt's request; `None` once the request is complete.
    fn class_of(&self, attempt: AttemptRef) -> Option<usize> {
        let open = self.agents[attempt.agent].open.get(&attempt.request)?;
        Some(open.class)
    }

    /// Checks rule 4 for an arriving attempt.
    fn check_slow_start(&mut self, endpoint: usize, class: usize) {
        let now = self.queue.now();
        let work = self.simulation.mean_work[class].as_secs_f64();
        let state = &mut self.endpoints[endpoint];
        let capacity = state.capacity(now, &self.simulation.settings);
        let started = state.spec.started;
        let violation = state.slow_start.on_work(now, started, work, capacity);
        self.report_violations(violation);
    }

    /// Checks rule 2 for an attempt that is about to run.
    fn check_repeat(&mut self, attempt: AttemptRef, class: usize, endpoint: usize) {
        let now = self.queue.now();
        let request = self.checked_request(attempt.agent, attempt.request, class);
        let endpoints = &self.endpoints;
        let zone_of = |index: usize| endpoints[index].spec.zone;
        let violations = self.repeats.on_run(now, request, endpoint, zone_of);
        self.report_violations(violations);
    }

    /// Starts queued attempts on free cores.
    fn start_waiting(&mut self, endpoint: usize) {
        while self.endpoints[endpoint].has_free_core() {
            let Some(attempt) = self.endpoints[endpoint].dequeue() else {
                return;
            };
            // Without a class the request is complete: the attempt was cancelled while queued.
            if let Some(class) = self.class_of(attempt) {
                self.start_work(endpoint, attempt, class);
            }
        }
    }

    fn start_work(&mut self, endpoint: usize, attempt: AttemptRef, class: usize) {
        let now = self.queue.now();
        let mean = self.simulation.mean_work[class].as_secs_f64();
        let factor = self.random.work_factor(self.simulation.fixed_work_share);
        let state = &mut self.endpoints[endpoint];
        let speed = state.capacity(now, &self.simulation.settings) / state.spec.cores as f64;
        let work_time = Duration::from_secs_f64(mean * factor / speed);
        let done = Event::WorkDone {
            endpoint,
            incarnation: state.incarnation,
            slot: state.run(attempt),
        };
        self.queue.schedule(now + work_time, done);
    }

    /// Handles completed work: sends the reply and starts the next queued attempt.
    pub(super) fn on_work_done(&mut self, endpoint: usize, incarnation: u64, slot: u64) {
        let state = &mut self.endpoints[endpoint];
        if state.incarnation != incarnation {
            return;
        }
        let Some(attempt) = state.finish(slot) else {
            return;
        };
        let reply = if self.random.uniform() < state.spec.failure_rate {
            EndpointReply::Failed
        } else {
            EndpointReply::Succeeded
        };
        let from = state.spec.zone;
        let to = self.agents[attempt.agent].zone;
        if !state.spec.unresponsive && !self.network.loses(from, to, &mut self.random) {
            self.reply(attempt, endpoint, reply);
        }
        self.start_waiting(endpoint);
    }

    /// Schedules the arrival of a reply at the agent.
    fn reply(&mut self, attempt: AttemptRef, endpoint: usize, reply: EndpointReply) {
        let from = self.endpoints[endpoint].spec.zone;
        let to = self.agents[attempt.agent].zone;
        let at = self.queue.now() + self.network.delay(from, to);
        self.queue.schedule(at, Event::Reply { attempt, reply });
    }
}
