//! The processing of one request, from its admission to its final response.
//!
//! [`super::message`] reads and admits a statement. This module resolves its names, passes it to
//! the balancer and starts the attempts that the balancer decides on (`forwarding`). What happens
//! to the attempts or the client (`events`) leads to the next decision or to the final response.

mod events;
mod forwarding;
mod in_flight;

use self::events::RequestEvent;
use self::in_flight::{FinishedAttempt, InFlightAttempts};
use super::admission::{ReceivedStatement, ResolvedRequest};
use super::response::FinalResponse;
use crate::agent::{Agent, OpenRequest};
use crate::balancer_handle::AttemptResult;
use crate::observability::logging::{CLIENT, EVIDENCE};
use crate::protocol::connection::Connection;
use crate::protocol::error::quote;
use crate::protocol::statement::Statement;
use std::ops::ControlFlow;
use std::rc::Rc;
use std::time::Duration;
use tulipwall::{Decision, Idempotency, Outcome, Request};
use tulipwall_config::stable_hash;

/// Processes a request and returns its final response. The request stays open until its last attempt
/// has ended, which may be after its client has left.
pub async fn handle_request(
    agent: &Rc<Agent>,
    client: &mut Connection,
    received: ReceivedStatement,
    open_request: OpenRequest,
) -> FinalResponse {
    // Resolved here, as the indices must be those of the settings in force when the balancer
    // accepts the request; they stay valid until it ends. If the settings changed since the
    // statement was admitted and no longer allow it, nothing has run, and a retry receives the
    // reason.
    let Ok(resolved) = ResolvedRequest::resolve(&agent.service_config(), &received.statement)
    else {
        return FinalResponse::Rejected { retry_after: None };
    };
    let (mut request, decision) =
        ActiveRequest::begin(agent.clone(), received, resolved, open_request);
    let response = request.run(client, decision).await;
    request.log_end(&response);
    request.finish();
    response
}

/// A request that the balancer has accepted.
struct ActiveRequest {
    agent: Rc<Agent>,
    statement: Rc<Statement>,
    class: usize,
    idempotency: Idempotency,
    /// Keeps the client's id open.
    open_request: OpenRequest,
    received_at: Duration,
    deadline: Duration,
    /// The balancer's number for the request.
    id: u64,
    attempts: InFlightAttempts,
    /// When to ask the balancer for another decision; `None` if it did not ask for that.
    recheck_at: Option<Duration>,
    may_have_run: bool,
    /// Whether further attempts may be sent: not once the client has written so much ahead that its
    /// leaving can't be seen.
    is_forwarding: bool,
}

impl ActiveRequest {
    /// Passes the request to the balancer and returns it with the first decision.
    fn begin(
        agent: Rc<Agent>,
        received: ReceivedStatement,
        resolved: ResolvedRequest,
        open_request: OpenRequest,
    ) -> (ActiveRequest, Decision) {
        let statement = received.statement;
        let received_at = received.received_at;
        let deadline = received_at + statement.client_timeout;
        let request = Request {
            class: resolved.class,
            tenant: resolved.tenant,
            key: Some(stable_hash(statement.object())),
            time_left: deadline.saturating_sub(agent.clock.now()),
            estimated_work: statement.estimated_work,
            is_retry: statement.is_retry,
        };
        agent
            .zone_traffic
            .on_request(agent.clock.now(), resolved.class);
        let admitted = agent.balancer.on_request(request);
        let request = ActiveRequest {
            agent,
            statement: Rc::new(statement),
            class: resolved.class,
            idempotency: resolved.idempotency,
            open_request,
            received_at,
            deadline,
            id: admitted.id,
            attempts: InFlightAttempts::default(),
            recheck_at: None,
            may_have_run: false,
            is_forwarding: true,
        };
        (request, admitted.decision)
    }

    /// Carries out the balancer's decisions until there is a final response.
    async fn run(&mut self, client: &mut Connection, first: Decision) -> FinalResponse {
        let mut decision = first;
        loop {
            match decision {
                Decision::Forward {
                    endpoint,
                    timeout,
                    recheck_at,
                } => {
                    self.start_attempt(endpoint, timeout);
                    self.recheck_at = recheck_at.or(self.recheck_at);
                }
                Decision::Defer { until } => self.recheck_at = Some(until),
                Decision::Reject { retry_after } => {
                    self.count_rejection();
                    return FinalResponse::Rejected { retry_after };
                }
                Decision::Fail => return FinalResponse::Failed,
                Decision::Cancel { attempt } => {
                    decision = self.cancel(attempt, false);
                    continue;
                }
                Decision::Await => {}
            }
            let event = self.next_event(client).await;
            decision = match self.on_event(event) {
                ControlFlow::Continue(decision) => decision,
                ControlFlow::Break(response) => return response,
            };
        }
    }

    /// Reports an event to the balancer. Returns its next decision, or the final response.
    fn on_event(&mut self, event: RequestEvent) -> ControlFlow<FinalResponse, Decision> {
        match event {
            RequestEvent::AttemptEnded(ended) if ended.response.outcome == Outcome::Succeeded => {
                self.close_attempt(&ended);
                ControlFlow::Break(FinalResponse::Succeeded(ended.response.value))
            }
            RequestEvent::AttemptEnded(ended) => {
                self.may_have_run |= !ended.response.outcome.never_ran();
                if self.is_forwarding {
                    return ControlFlow::Continue(self.report(&ended, false));
                }
                self.close_attempt(&ended);
                self.await_attempts_in_flight()
            }
            RequestEvent::RecheckDue if !self.is_forwarding => {
                ControlFlow::Continue(Decision::Await)
            }
            RequestEvent::RecheckDue => ControlFlow::Continue(self.agent.balancer.route(self.id)),
            RequestEvent::ReadAheadExceeded => {
                self.stop_forwarding();
                self.await_attempts_in_flight()
            }
            RequestEvent::ClientLeft => {
                self.agent.balancer.close_request(self.id);
                ControlFlow::Break(FinalResponse::Abandoned)
            }
            // A safeguard in case the balancer's own timeouts fail: the client gets a response by
            // the deadline in any case.
            RequestEvent::DeadlinePassed => {
                self.agent.balancer.close_request(self.id);
                ControlFlow::Break(FinalResponse::Failed)
            }
        }
    }

    /// Lets nothing more be sent for the request: attempts that are not fully written end here, the
    /// others run to their end.
    fn stop_forwarding(&mut self) {
        let counters = &self.agent.counters;
        counters.requests_read_ahead_exceeded.increment();
        log::debug!(target: CLIENT, "request {}: nothing more is sent, as its client has written too much ahead",
            quote(self.statement.id()));
        self.is_forwarding = false;
        self.agent.balancer.close_request(self.id);
        self.end_unwritten_attempts();
    }

    /// Waits for the attempts in flight, or ends the request if there is none.
    fn await_attempts_in_flight(&self) -> ControlFlow<FinalResponse, Decision> {
        if self.attempts.any_in_flight() {
            ControlFlow::Continue(Decision::Await)
        } else if self.may_have_run {
            ControlFlow::Break(FinalResponse::Failed)
        } else {
            ControlFlow::Break(FinalResponse::Rejected { retry_after: None })
        }
    }

    fn end_unwritten_attempts(&mut self) {
        for attempt in self.attempts.not_fully_written() {
            let ended = self.attempts.finish(&self.agent, attempt, Outcome::NotSent);
            if let Some(ended) = ended {
                self.report(&ended, true);
            }
        }
    }

    /// Reports the end of an attempt to the balancer. `request_closed` says that the request
    /// already has its final response.
    fn report(&self, ended: &FinishedAttempt, request_closed: bool) -> Decision {
        let result = AttemptResult {
            attempt: ended.attempt,
            decided_at: ended.decided_at,
            outcome: ended.response.outcome,
            request_closed,
        };
        self.agent.balancer.on_attempt_end(self.id, result)
    }

    /// Reports the end of an attempt of a request that needs no further attempts.
    fn close_attempt(&mut self, ended: &FinishedAttempt) {
        self.may_have_run |= !ended.response.outcome.never_ran();
        if let Decision::Cancel { attempt } = self.report(ended, true) {
            self.cancel(attempt, true);
        }
    }

    /// Cancels an attempt by closing its connection, before anything else is sent for its request.
    /// Returns the balancer's next decision.
    fn cancel(&mut self, attempt: usize, request_closed: bool) -> Decision {
        match self
            .attempts
            .finish(&self.agent, attempt, Outcome::Cancelled)
        {
            Some(cancelled) => self.report(&cancelled, request_closed),
            None => Decision::Await,
        }
    }

    /// Counts a rejection if the reason is that no valid endpoint list is known.
    fn count_rejection(&self) {
        let now = self.agent.clock.now();
        let list_expired = self.agent.list_lease.expired(now).is_some();
        if list_expired && self.attempts.count() == 0 {
            self.agent.counters.requests_without_list.increment();
        }
    }

    fn log_end(&self, response: &FinalResponse) {
        let clock = &self.agent.clock;
        let now = clock.now();
        let latency = now.saturating_sub(self.received_at);
        let work = self.statement.estimated_work.unwrap_or_default();
        log::debug!(target: EVIDENCE, "{} request class {} {} {} us work {} us",
            clock.to_unix_ms(now), self.class, response.name(), latency.as_micros(), work.as_micros());
        log::debug!(target: CLIENT, "request {} ends: {} after {} us and {} attempts",
            quote(self.statement.id()), response.name(), latency.as_micros(), self.attempts.count());
    }

    /// Stops sending for the request. Attempts that are not fully written end here; the others are
    /// not cancelled but run to their end in a task that reports them to the balancer.
    fn finish(mut self) {
        self.end_unwritten_attempts();
        if self.attempts.any_in_flight() {
            let agent = self.agent.clone();
            agent.executors.tasks.spawn(self.drain()).detach();
        } else {
            self.remember_id();
        }
    }

    /// Remembers the id of a request that may have run and must not run twice.
    fn remember_id(&self) {
        if self.may_have_run && self.idempotency != Idempotency::Idempotent {
            self.open_request.remember(self.agent.clock.now());
        }
    }

    /// Waits for the remaining attempts of a request that has its final response.
    async fn drain(mut self) {
        while let Some(timeout_at) = self.attempts.next_timeout() {
            if let Some(ended) = self.next_ended_attempt(timeout_at).await {
                self.close_attempt(&ended);
            }
        }
        self.remember_id();
    }
}
