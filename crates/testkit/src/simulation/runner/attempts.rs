//! Attempts from the agents' side: sending, accounting and completion.

use super::super::agent::SimulatedAttempt;
use super::super::event::{AttemptRef, Event};
use super::super::{CrossZoneSend, SimulatedEndpoint, ATTEMPT_BYTES};
use super::Runner;
use std::time::Duration;
use tulipwall::{
    AttemptEnd, DeduplicationScope, Idempotency, Outcome, RolloutPhase, RolloutStatus,
};
use tulipwall_zones::{
    AttemptStart, CompletedAttempt, ConnectionTraffic, Reservation, ResponseFault,
};

/// Bytes of a connection handshake in each direction.
const HANDSHAKE_BYTES: u64 = 60;

impl Runner {
    /// Sends an attempt to an endpoint.
    pub(super) fn send(
        &mut self,
        agent: usize,
        request: u64,
        endpoint: usize,
        timeout: Duration,
        recheck_at: Option<Duration>,
    ) {
        let now = self.queue.now();
        let spec = self.endpoints[endpoint].spec.clone();
        self.report.sends_by_endpoint[endpoint] += 1;
        self.trace(agent, request, || {
            let zone = spec.zone;
            let build = spec.build;
            format!("attempt sent to endpoint {endpoint} in zone {zone}, build {build}")
        });
        self.check_send(agent, request, endpoint, &spec);
        let Some(sending) = self.sending(agent, request, &spec) else {
            return;
        };
        let reservation = self.reserve(agent, &sending);
        let attempt = AttemptRef {
            agent,
            request,
            attempt: sending.previous_attempts,
        };
        self.count_send(agent, &sending, reservation.as_ref());
        let was_connected = std::mem::replace(&mut self.agents[agent].connected[endpoint], true);
        if let Some(open) = self.agents[agent].open.get_mut(&request) {
            open.attempts.push(SimulatedAttempt {
                endpoint,
                sent: now,
                ended: false,
                reservation,
            });
            open.recheck_at = recheck_at;
        }
        self.transmit(attempt, endpoint, was_connected);
        self.queue
            .schedule(now + timeout, Event::Timeout { attempt });
        if let Some(at) = recheck_at {
            let event = Event::Recheck { agent, request, at };
            self.queue.schedule(at, event);
        }
    }

    /// Checks rules 3, 5 and 1 for an attempt. Rule 4 is checked when the attempt arrives at its
    /// endpoint.
    fn check_send(
        &mut self,
        agent: usize,
        request: u64,
        endpoint: usize,
        spec: &SimulatedEndpoint,
    ) {
        let now = self.queue.now();
        let canary = self.is_canary(spec.build);
        let burst = self.simulation.settings.rollout.exposure_burst;
        let state = &mut self.agents[agent];
        let drain = state.drains.on_send(now, request, endpoint, spec.state);
        let exposure = if canary {
            state.exposure.on_canary_send(agent, burst)
        } else {
            None
        };
        let open = state.open.get(&request);
        let answered = open.and_then(|open| open.answer.on_send());
        self.report_violations([drain, exposure, answered].into_iter().flatten());
    }

    /// Whether this build is a canary according to the status that the agents have been notified
    /// of.
    fn is_canary(&self, build: u32) -> bool {
        let on_trial = |status: &RolloutStatus| {
            let pending = build == status.build && status.phase != RolloutPhase::Released;
            build > status.build || pending
        };
        self.notified_status.as_ref().is_some_and(on_trial)
    }

    /// Describes the next attempt of a request for the zones' accounting; `None` once the request
    /// is removed.
    fn sending(
        &self,
        agent: usize,
        request: u64,
        spec: &SimulatedEndpoint,
    ) -> Option<AttemptStart> {
        let open = self.agents[agent].open.get(&request)?;
        let previous_attempts = open.attempts.len();
        let scoped = matches!(
            self.simulation.settings.classes[open.class].idempotency,
            Idempotency::Keyed {
                scope: DeduplicationScope::Zone | DeduplicationScope::Cell,
                ..
            }
        );
        Some(AttemptStart {
            to: spec.zone,
            class: open.class,
            build: spec.build,
            previous_attempts,
            hedged: open.attempts.iter().any(|attempt| !attempt.ended),
            is_canary: self.is_canary(spec.build),
            pinned_to_scope: scoped
                && previous_attempts > 0
                && self.repeats.has_run(agent, request),
        })
    }

    /// Accounts an attempt with the agent's zones and applies their cross-zone policy.
    fn reserve(&mut self, agent: usize, sending: &AttemptStart) -> Option<Reservation> {
        let now = self.queue.now();
        let state = &mut self.agents[agent];
        let balancer = &state.balancer;
        let reservation = state
            .zones
            .as_mut()
            .map(|zones| zones.on_attempt(now, *sending, |zone| balancer.zone_counts(now, zone)));
        state.apply_cross_zone_policy();
        reservation
    }

    fn count_send(
        &mut self,
        agent: usize,
        sending: &AttemptStart,
        reservation: Option<&Reservation>,
    ) {
        let second = self.second();
        if sending.to == self.agents[agent].zone {
            self.report.second(agent, second).local_sends += 1;
            return;
        }
        self.report.second(agent, second).remote_sends += 1;
        let send = CrossZoneSend {
            at: self.elapsed(),
            class: sending.class,
            over_budget: reservation.and_then(|reservation| reservation.over_budget),
        };
        self.report.cross_zone_sends[agent].push(send);
    }

    /// Schedules the arrival of an attempt at its endpoint unless the link loses it. A new
    /// connection adds one round trip.
    fn transmit(&mut self, attempt: AttemptRef, endpoint: usize, was_connected: bool) {
        let now = self.queue.now();
        let from = self.agents[attempt.agent].zone;
        let to = self.endpoints[endpoint].spec.zone;
        let handshake = if was_connected {
            Duration::ZERO
        } else {
            self.network.round_trip(from, to)
        };
        if !self.network.loses(from, to, &mut self.random) {
            let arrival = Event::AttemptArrival {
                attempt,
                endpoint,
                incarnation: self.endpoints[endpoint].incarnation,
            };
            let at = now + handshake + self.network.delay(from, to);
            self.queue.schedule(at, arrival);
        }
        if !was_connected {
            self.account_connection(attempt.agent, endpoint, handshake);
        }
    }

    fn account_connection(&mut self, agent: usize, endpoint: usize, took: Duration) {
        let spec = &self.endpoints[endpoint].spec;
        let opening = ConnectionTraffic {
            to: spec.zone,
            build: spec.build,
            bytes_sent: HANDSHAKE_BYTES,
            bytes_received: HANDSHAKE_BYTES,
            handshake: Some(took),
        };
        if let Some(zones) = &mut self.agents[agent].zones {
            zones.on_connection(self.queue.now(), &opening);
        }
    }

    /// Ends an attempt unless it has already ended.
    pub(super) fn end_if_in_flight(&mut self, attempt: AttemptRef, outcome: Outcome) {
        if self.agents[attempt.agent].is_in_flight(attempt.request, attempt.attempt) {
            self.end(attempt, outcome);
        }
    }

    fn end(&mut self, attempt: AttemptRef, outcome: Outcome) {
        let now = self.queue.now();
        let AttemptRef {
            agent,
            request,
            attempt: index,
        } = attempt;
        let state = &mut self.agents[agent];
        let Some(ended) = state.end_attempt(now, request, index, outcome) else {
            return;
        };
        let latency = ended.latency;
        if let (Some(zones), Some(reservation)) = (&mut state.zones, &ended.reservation) {
            zones.on_attempt_end(now, reservation, &accounted_end(outcome, latency));
        }
        let answered = state.open[&request].answer.is_answered();
        let first_success = outcome == Outcome::Succeeded && !answered;
        let end = AttemptEnd {
            outcome,
            latency,
            request_closed: answered || first_success,
            reported_load: None,
        };
        let decision = state.balancer.on_attempt_end(now, request, index, end);
        self.trace(agent, request, || {
            format!("attempt {index} ended: {outcome:?} after {latency:?}")
        });
        if first_success {
            self.record_success(agent, request);
            self.answer(agent, request);
        }
        self.apply_decision(agent, request, decision);
        self.agents[agent].remove_if_complete(request);
    }
}

/// Describes the end of an attempt for the zones' accounting.
fn accounted_end(outcome: Outcome, latency: Duration) -> CompletedAttempt {
    let written = outcome != Outcome::ConnectFailed && outcome != Outcome::NotSent;
    let replied = matches!(outcome, Outcome::Succeeded | Outcome::Failed);
    let (request_bytes, reply_bytes) = ATTEMPT_BYTES;
    CompletedAttempt {
        outcome,
        fault: ResponseFault::None,
        fully_written: written,
        bytes_sent: if written { request_bytes } else { 0 },
        bytes_received: if replied { reply_bytes } else { 0 },
        latency,
    }
}
