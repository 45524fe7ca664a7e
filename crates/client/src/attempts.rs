//! Executes a call: makes attempts until one returns a value, no further one is allowed, or the
//! deadline has passed.

use crate::acquire::{AcquireError, PooledConnection};
use crate::attempt_summary::AttemptSummary;
use crate::call::{Call, CallResponse};
use crate::deadline::with_deadline;
use crate::error::CallError;
use crate::shared::Shared;
use crate::statement::{self, AttemptHeader};
use async_io::Timer;
use std::time::{Duration, Instant};
use tulipwall::Idempotency;
use tulipwall_client_policy::response::Response;
use tulipwall_client_policy::{
    AttemptHistory, AttemptOutcome, AttemptSignal, RetryDecision, Selection,
};

/// The code of a failed call whose last attempt was rejected, but which may have run and must not
/// run again.
const CODE_UNREACHABLE: &str = "unreachable";

/// A call in progress.
pub struct CallRun<'a> {
    shared: &'a Shared,
    call: &'a Call,
    key: Option<String>,
    deadline: Instant,
    history: AttemptHistory,
    summary: AttemptSummary,
}

/// How a call that returns no value ends.
enum CallFailure {
    Rejected { retry_after: Option<Duration> },
    Failed { code: String },
    DeadlineExceeded,
    Overloaded,
}

impl CallFailure {
    const REJECTED: CallFailure = CallFailure::Rejected { retry_after: None };

    fn failed(code: &str) -> CallFailure {
        CallFailure::Failed {
            code: code.to_owned(),
        }
    }
}

/// An attempt that returned no value.
struct FailedAttempt {
    outcome: AttemptOutcome,
    /// How the call ends if it is not attempted again.
    failure: CallFailure,
}

impl FailedAttempt {
    fn new(outcome: AttemptOutcome, failure: CallFailure) -> FailedAttempt {
        FailedAttempt { outcome, failure }
    }

    fn rejected(retry_after: Option<Duration>) -> FailedAttempt {
        let outcome = AttemptOutcome::Rejected { retry_after };
        FailedAttempt::new(outcome, CallFailure::Rejected { retry_after })
    }
}

/// Why an attempt returned no value.
enum AttemptError {
    /// The call may be attempted again.
    Failed(FailedAttempt),
    /// The call ends immediately, without a signal about the agent.
    EndCall(CallFailure),
}

impl From<FailedAttempt> for AttemptError {
    fn from(failed: FailedAttempt) -> AttemptError {
        AttemptError::Failed(failed)
    }
}

/// An attempt at an agent. Dropping it reports the signal, which is `Neutral` unless another one
/// was set.
struct AttemptGuard<'a> {
    shared: &'a Shared,
    agent: usize,
    signal: AttemptSignal,
}

impl Drop for AttemptGuard<'_> {
    fn drop(&mut self) {
        let now = self.shared.now();
        let mut state = self.shared.state();
        state.agents.on_attempt_end(now, self.agent, self.signal);
        drop(state);
        self.shared.notify_released();
    }
}

impl<'a> CallRun<'a> {
    /// Executes a call that was validated and belongs to this class.
    pub async fn execute(
        shared: &'a Shared,
        call: &'a Call,
        class: usize,
        started: Instant,
    ) -> Result<CallResponse, CallError> {
        let idempotency = shared.config.classes[class].idempotency;
        let key = deduplication_key(shared, call, idempotency);
        let mut permit = shared.admit(class, key.clone())?;
        let deadline = started + call.timeout;
        let time_left = deadline.saturating_duration_since(Instant::now());
        let mut run = CallRun {
            shared,
            call,
            key,
            deadline,
            history: AttemptHistory::new(idempotency, shared.now() + time_left),
            summary: AttemptSummary::default(),
        };
        let result = run.attempt_until_done().await;
        permit.complete();
        run.summary.elapsed = started.elapsed();
        run.summary.may_have_executed = run.history.may_have_executed();
        match result {
            Ok(value) => Ok(run.into_response(class, value)),
            Err(failure) => Err(run.into_error(failure)),
        }
    }

    async fn attempt_until_done(&mut self) -> Result<Vec<u8>, CallFailure> {
        let mut last_agent = None;
        loop {
            let agent = self.select_agent(last_agent).await?;
            let mut guard = AttemptGuard {
                shared: self.shared,
                agent,
                signal: AttemptSignal::Neutral,
            };
            let failed = match self.attempt(agent).await {
                Ok(value) => {
                    guard.signal = AttemptSignal::Success;
                    self.shared.state().retries.on_success(agent);
                    return Ok(value);
                }
                Err(AttemptError::EndCall(failure)) => return Err(failure),
                Err(AttemptError::Failed(failed)) => failed,
            };
            guard.signal = agent_signal(failed.outcome);
            let decision = self.decide_retry(agent, failed.outcome);
            drop(guard);
            let retry_at = self.apply_decision(agent, failed, decision)?;
            last_agent = Some(agent);
            self.sleep_until(retry_at).await?;
        }
    }

    /// Waits until an agent is available for the next attempt. If that is past the deadline, the
    /// call ends immediately.
    async fn select_agent(&self, excluded: Option<usize>) -> Result<usize, CallFailure> {
        let shared = self.shared;
        loop {
            // The listener is registered before the state is checked, so that a release in between
            // is not missed.
            let released = shared.released.listen();
            let now = shared.now();
            let available_at = match shared.state().select_agent(now, excluded) {
                Selection::Agent(agent) => return Ok(agent),
                Selection::NotBefore(time) => time,
            };
            if shared.instant(available_at) >= self.deadline {
                return Err(CallFailure::Rejected {
                    retry_after: Some(available_at.saturating_sub(now)),
                });
            }
            with_deadline(shared.instant(available_at), released).await;
            if Instant::now() >= self.deadline {
                return Err(CallFailure::DeadlineExceeded);
            }
        }
    }

    /// Makes one attempt at this agent.
    async fn attempt(&mut self, agent: usize) -> Result<Vec<u8>, AttemptError> {
        let acquired = with_deadline(
            self.deadline,
            self.shared.acquire_connection(agent, self.deadline),
        )
        .await;
        // The deduplication window may have ended while the call waited for a connection.
        if let Err(reason) = self.history.check_repeatable(self.shared.now()) {
            self.log_attempt_end(agent, "window", reason.as_str());
            let failure = CallFailure::failed(reason.as_str());
            return Err(AttemptError::EndCall(failure));
        }
        self.record_attempt_start(agent);
        match acquired {
            Some(Ok(connection)) => Ok(self.exchange(connection).await?),
            Some(Err(error)) => Err(self.on_no_connection(error)),
            None => Err(AttemptError::EndCall(CallFailure::DeadlineExceeded)),
        }
    }

    fn record_attempt_start(&mut self, agent: usize) {
        self.history.on_attempt_start(self.shared.now());
        let address = self.shared.config.agents[agent];
        self.summary.agents.push(address);
        self.shared.state().counters.attempts += 1;
    }

    /// Converts the failure to acquire a connection. The attempt never ran.
    fn on_no_connection(&self, error: AcquireError) -> AttemptError {
        let is_first_attempt = self.history.attempts == 1 && !self.history.may_have_executed();
        let failed = match error {
            AcquireError::NoneFree if is_first_attempt => {
                return AttemptError::EndCall(CallFailure::Overloaded);
            }
            AcquireError::Refused(Response::Rejected { retry_after }) => {
                FailedAttempt::rejected(retry_after)
            }
            AcquireError::Refused(Response::Draining) => {
                interpret_outcome(AttemptOutcome::Draining)
            }
            AcquireError::Refused(_) | AcquireError::Unreachable | AcquireError::NoneFree => {
                interpret_outcome(AttemptOutcome::NotSent)
            }
        };
        AttemptError::Failed(failed)
    }

    /// Sends the request and reads the response. A connection that can be used again is returned to
    /// the pool.
    async fn exchange(&self, mut pooled: PooledConnection<'_>) -> Result<Vec<u8>, FailedAttempt> {
        let statement = self.render_statement();
        let max_value_bytes = self.shared.config.max_value_bytes;
        let mut written = false;
        let exchange = pooled
            .connection
            .exchange(&statement, max_value_bytes, &mut written);
        match with_deadline(self.deadline, exchange).await {
            Some(Ok(response)) => {
                if response != Response::Draining {
                    self.shared.put_back(pooled);
                }
                interpret_response(response)
            }
            Some(Err(error)) => Err(interpret_outcome(error.into())),
            None => {
                // A request whose last byte was not written never ran, but the deadline of the call
                // has passed in either case.
                let outcome = if written {
                    AttemptOutcome::TimedOut
                } else {
                    AttemptOutcome::NotSent
                };
                Err(FailedAttempt::new(outcome, CallFailure::DeadlineExceeded))
            }
        }
    }

    fn render_statement(&self) -> String {
        let time_left = self.deadline.saturating_duration_since(Instant::now());
        let header = AttemptHeader {
            id: &self.shared.new_id(),
            deduplication_key: self.key.as_deref(),
            time_left,
            marked_as_retry: self.shared.config.marks_retries && self.history.attempts > 1,
        };
        statement::render(self.call, &header)
    }

    /// Records how an attempt at this agent ended, and decides whether to retry.
    fn decide_retry(&mut self, agent: usize, outcome: AttemptOutcome) -> RetryDecision {
        let now = self.shared.now();
        let mut state = self.shared.state();
        state.on_attempt_failure(now, agent, outcome);
        state.retries.decide(now, &mut self.history, agent, outcome)
    }

    /// Returns the time of the next attempt, or how the call ends.
    fn apply_decision(
        &mut self,
        agent: usize,
        failed: FailedAttempt,
        decision: RetryDecision,
    ) -> Result<Duration, CallFailure> {
        let outcome = failed.outcome.as_str();
        if failed.outcome == AttemptOutcome::TimedOut {
            return Err(CallFailure::DeadlineExceeded);
        }
        match decision {
            RetryDecision::RetryAt(time) => {
                self.log_attempt_end(agent, outcome, "again");
                self.summary.failures.push(outcome);
                Ok(time)
            }
            RetryDecision::GiveUp(reason) => {
                self.log_attempt_end(agent, outcome, reason.as_str());
                self.shared.state().counters.record_give_up(reason);
                Err(failed.failure)
            }
        }
    }

    async fn sleep_until(&self, time: Duration) -> Result<(), CallFailure> {
        let timer = Timer::at(self.shared.instant(time));
        match with_deadline(self.deadline, timer).await {
            Some(_) => Ok(()),
            None => Err(CallFailure::DeadlineExceeded),
        }
    }

    fn log_attempt_end(&self, agent: usize, outcome: &str, next: &str) {
        let class = self.call.class.as_str();
        log::debug!(class, agent:% = self.shared.config.agents[agent], outcome, next;
            "attempt of class {class} ended: {outcome}; {next}");
    }

    fn into_response(self, class: usize, value: Vec<u8>) -> CallResponse {
        let now = self.shared.now();
        let mut state = self.shared.state();
        state.on_call_success(
            now,
            class,
            self.history.attempts,
            self.summary.elapsed,
            self.shared.config.classes[class].latency_objective,
        );
        CallResponse {
            value,
            attempts: self.summary,
        }
    }

    fn into_error(self, failure: CallFailure) -> CallError {
        let attempts = self.summary;
        let safe_to_retry =
            !attempts.may_have_executed || self.history.idempotency == Idempotency::Idempotent;
        match failure {
            // Callers may repeat a rejected call. A call that may have run and must not run again
            // is therefore reported as failed, whatever its last attempt returned.
            CallFailure::Rejected { .. } if !safe_to_retry => CallError::Failed {
                code: CODE_UNREACHABLE.to_owned(),
                attempts,
            },
            CallFailure::Rejected { retry_after } => CallError::Rejected {
                retry_after,
                attempts,
            },
            CallFailure::Failed { code } => CallError::Failed { code, attempts },
            CallFailure::DeadlineExceeded => CallError::DeadlineExceeded { attempts },
            CallFailure::Overloaded => CallError::Overloaded,
        }
    }
}

/// Returns the key of a deduplicated call: the one that the caller set, or else a new one. `None`
/// if the class is not deduplicated.
fn deduplication_key(shared: &Shared, call: &Call, idempotency: Idempotency) -> Option<String> {
    match idempotency {
        Idempotency::Keyed { .. } => Some(call.key.clone().unwrap_or_else(|| shared.new_id())),
        Idempotency::Idempotent | Idempotency::NonIdempotent => None,
    }
}

/// Maps the outcome of an attempt to a signal about the health of its agent.
fn agent_signal(outcome: AttemptOutcome) -> AttemptSignal {
    match outcome {
        AttemptOutcome::Rejected { .. } | AttemptOutcome::Failed => AttemptSignal::Success,
        AttemptOutcome::Draining | AttemptOutcome::StaleConnection => AttemptSignal::Neutral,
        AttemptOutcome::NotSent
        | AttemptOutcome::ConnectionLost
        | AttemptOutcome::MalformedResponse
        | AttemptOutcome::TimedOut => AttemptSignal::Failure,
    }
}

fn interpret_response(response: Response) -> Result<Vec<u8>, FailedAttempt> {
    match response {
        Response::Value(value) => Ok(value),
        Response::Rejected { retry_after } => Err(FailedAttempt::rejected(retry_after)),
        Response::Draining => Err(interpret_outcome(AttemptOutcome::Draining)),
        Response::Error { code, .. } => Err(FailedAttempt::new(
            AttemptOutcome::Failed,
            CallFailure::Failed { code },
        )),
        Response::Ready => Err(interpret_outcome(AttemptOutcome::MalformedResponse)),
    }
}

/// Creates a failed attempt from its outcome, with the failure of the call if it is not attempted
/// again.
fn interpret_outcome(outcome: AttemptOutcome) -> FailedAttempt {
    let failure = match outcome {
        AttemptOutcome::Draining | AttemptOutcome::NotSent => CallFailure::REJECTED,
        _ => CallFailure::failed(outcome.as_str()),
    };
    FailedAttempt::new(outcome, failure)
}
