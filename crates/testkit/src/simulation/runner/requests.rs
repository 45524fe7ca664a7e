//! Requests at the agents: arrivals, decisions, answers and retries.

use super::super::agent::OpenRequest;
use super::super::checks::{AnswerCheck, CheckedRequest, ANSWER_SLACK};
use super::super::client::{retry_at, ClientRequest, TryFailure};
use super::super::event::{AttemptRef, Event};
use super::super::{ClientBehavior, START};
use super::Runner;
use std::time::Duration;
use tulipwall::{Decision, Outcome, Request};
use tulipwall_client_policy::AttemptHistory;

/// Number of keys that requests draw from.
const KEYS: u64 = 100_000;
/// Total time of a request over all its tries, in multiples of the time for one try.
const RETRY_TIME_FACTOR: u32 = 2;
/// Delay of the last recheck after the latest permitted time of an answer.
const AFTER_SLACK: Duration = Duration::from_millis(1);

impl Runner {
    pub(super) fn schedule_arrival(&mut self, agent: usize) {
        let agents = &self.simulation.agents;
        let shares: f64 = agents.iter().map(|spec| spec.load_share).sum();
        let rate = self.simulation.request_rate * agents[agent].load_share / shares.max(1e-9);
        let at = self.queue.now() + self.random.arrival_gap(rate);
        if at < START + self.simulation.duration {
            self.queue.schedule(at, Event::Arrival { agent });
        }
    }

    /// Handles a new request of a client.
    pub(super) fn on_arrival(&mut self, agent: usize) {
        let weights = self.simulation.classes.iter().map(|class| class.0);
        let class = self.random.weighted_index(weights);
        let key = Some(self.random.below(KEYS));
        let now = self.queue.now();
        let time_left = self.simulation.classes[class].1;
        let total_time = if self.simulation.client_behavior == ClientBehavior::NoRetries {
            time_left
        } else {
            time_left * RETRY_TIME_FACTOR
        };
        let idempotency = self.simulation.settings.classes[class].idempotency;
        let second = self.second();
        self.report.second(agent, second).first_tries += 1;
        let request = ClientRequest {
            class,
            first_sent: now,
            key,
            tries: AttemptHistory::new(idempotency, now + total_time),
        };
        self.receive(agent, request);
    }

    /// Handles a request that an agent receives, be it a first try or a retry.
    pub(super) fn receive(&mut self, agent: usize, mut client: ClientRequest) {
        let now = self.queue.now();
        let class = client.class;
        let time_left = self.simulation.classes[class].1;
        let deadline = now + time_left;
        client.tries.on_attempt_start(now);
        let balancer_request = Request {
            class,
            tenant: None,
            key: client.key,
            time_left,
            estimated_work: None,
            is_retry: false,
        };
        let state = &mut self.agents[agent];
        let request = state.next_request_id();
        let open = OpenRequest {
            class,
            received: now,
            attempts: Vec::new(),
            answer: AnswerCheck::new(request, class, deadline),
            recheck_at: None,
            client,
        };
        state.open.insert(request, open);
        state.exposure.on_request();
        if let Some(zones) = &mut state.zones {
            zones.on_request(now, class);
        }
        state.balancer.on_request(now, request, balancer_request);
        let decision = state.balancer.route(now, request);
        self.count_request(agent);
        // A request that the balancer defers forever is decided on again once it is late, so that
        // the checker of rule 1 reports it.
        let at = deadline + ANSWER_SLACK + AFTER_SLACK;
        let last_recheck = Event::Recheck {
            agent,
            request,
            at: Duration::MAX,
        };
        self.queue.schedule(at, last_recheck);
        self.apply_decision(agent, request, decision);
    }

    fn count_request(&mut self, agent: usize) {
        let second = self.second();
        self.report.requests += 1;
        self.report.second(agent, second).requests_received += 1;
    }

    /// Returns the current second of the simulation.
    pub(super) fn second(&self) -> usize {
        self.elapsed().as_secs() as usize
    }

    /// Carries out a decision of the balancer.
    pub(super) fn apply_decision(&mut self, agent: usize, request: u64, decision: Decision) {
        self.report.fold_decision(agent, request, &decision);
        self.trace(agent, request, || format!("decision: {decision:?}"));
        match decision {
            Decision::Forward {
                endpoint,
                timeout,
                recheck_at,
            } => self.send(agent, request, endpoint, timeout, recheck_at),
            Decision::Defer { until } => self.recheck_at(agent, request, until),
            Decision::Reject { .. } => self.reject(agent, request),
            Decision::Fail => self.fail(agent, request),
            Decision::Cancel { attempt } => {
                let attempt = AttemptRef {
                    agent,
                    request,
                    attempt,
                };
                self.end_if_in_flight(attempt, Outcome::Cancelled);
            }
            Decision::Await => {}
        }
        let now = self.queue.now();
        let state = &self.agents[agent];
        let open = state.open.get(&request);
        let late = open.and_then(|open| open.answer.on_decision(now, state.stalled_until));
        self.report_violations(late);
    }

    fn reject(&mut self, agent: usize, request: u64) {
        let checked_request =
            self.checked_request(agent, request, self.agents[agent].open[&request].class);
        let violation = self.repeats.on_reject(checked_request);
        self.report_violations(violation);
        self.report.rejected += 1;
        self.retry(agent, request, TryFailure::Rejected);
        self.answer(agent, request);
    }

    fn fail(&mut self, agent: usize, request: u64) {
        self.report.failed += 1;
        self.retry(agent, request, TryFailure::Failed);
        self.answer(agent, request);
    }

    /// Describes a request for the checker of rule 2.
    pub(super) fn checked_request(
        &self,
        agent: usize,
        request: u64,
        class: usize,
    ) -> CheckedRequest {
        CheckedRequest {
            agent,
            request,
            class,
            idempotency: self.simulation.settings.classes[class].idempotency,
        }
    }

    fn recheck_at(&mut self, agent: usize, request: u64, at: Duration) {
        if let Some(open) = self.agents[agent].open.get_mut(&request) {
            open.recheck_at = Some(at);
            let event = Event::Recheck { agent, request, at };
            self.queue.schedule(at, event);
        }
    }

    /// Asks the balancer for a new decision, unless the request is answered or was rescheduled to
    /// another time.
    pub(super) fn on_recheck(&mut self, agent: usize, request: u64, at: Duration) {
        let state = &mut self.agents[agent];
        let due = state
            .open
            .get(&request)
            .is_some_and(|open| !open.answer.is_answered() && open.recheck_at == Some(at));
        if due {
            let decision = state.balancer.route(self.queue.now(), request);
            self.apply_decision(agent, request, decision);
        }
    }

    /// Schedules a client's retry of a rejected or failed request, unless the client gives up.
    fn retry(&mut self, agent: usize, request: u64, failure: TryFailure) {
        let now = self.queue.now();
        let state = &mut self.agents[agent];
        let Some(open) = state.open.get(&request) else {
            return;
        };
        let mut client = open.client.clone();
        let at = retry_at(
            &self.simulation.client_behavior,
            &mut state.retries,
            now,
            &mut client,
            failure,
            self.simulation.settings.retry_after,
        );
        if let Some(at) = at {
            let slot = self.retries.insert(client);
            self.queue.schedule(at, Event::Retry { agent, slot });
        }
    }

    /// Records and checks the answer to a request.
    pub(super) fn answer(&mut self, agent: usize, request: u64) {
        let now = self.queue.now();
        let state = &mut self.agents[agent];
        let Some(open) = state.open.get_mut(&request) else {
            return;
        };
        let violations = open.answer.on_answer(now, state.stalled_until);
        state.remove_if_complete(request);
        self.report_violations(violations);
    }

    /// Records the success of a request and its latency.
    pub(super) fn record_success(&mut self, agent: usize, request: u64) {
        let now = self.queue.now();
        let second = self.second();
        let state = &mut self.agents[agent];
        let Some(open) = state.open.get(&request) else {
            return;
        };
        let objective = self.simulation.settings.classes[open.class].latency_objective;
        let latency = now.saturating_sub(open.received);
        self.report.succeeded += 1;
        self.report.within_objective += u64::from(latency <= objective);
        if now.saturating_sub(open.client.first_sent) <= objective {
            self.report.second(agent, second).within_objective += 1;
        }
        let received_in = (open.received - START).as_secs() as usize;
        self.report.record_latency(received_in, latency);
        state.retries.on_success(0);
    }
}
