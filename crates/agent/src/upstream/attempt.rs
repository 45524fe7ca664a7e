//! One attempt: a connection, the statement written, the response read.

use crate::agent::Agent;
use crate::protocol::postgres::{self, QueryOutcome, ResponseReader};
use crate::protocol::statement::Statement;
use crate::upstream::connect::{open_connection, ConnectError};
use crate::upstream::pool::PooledConnection;
use crate::upstream::response::{read_response, ResponseError};
use crate::upstream::transfer_meter::TransferMeter;
use std::time::Duration;
use tulipwall::Outcome;
use tulipwall_discovery::endpoint_table::{AttemptTarget, IndexGuard};
use tulipwall_zones::ResponseFault;

/// What was decided, and what it was decided on.
pub struct AttemptPlan {
    /// The balancer's number of its request.
    pub request_id: u64,
    /// Which of that request's attempts it is.
    pub attempt: usize,
    /// Where it goes.
    pub target: AttemptTarget,
    /// The revision of the rollout status that it was decided on.
    pub rollout_revision: u64,
    /// When it is given up, on the agent's clock.
    pub timeout_at: Duration,
    /// Keeps the endpoint's index until the attempt is over.
    pub retained_index: Option<IndexGuard>,
}

/// How an attempt ended.
pub struct AttemptResponse {
    /// How it ended.
    pub outcome: Outcome,
    /// The messages of the value, where there is one.
    pub value: Vec<u8>,
}

impl AttemptResponse {
    /// An end that brought no value.
    pub fn without_value(outcome: Outcome) -> AttemptResponse {
        AttemptResponse {
            outcome,
            value: Vec::new(),
        }
    }
}

/// Runs one attempt to its end. `meter` tells once all of it went out, and what went over its
/// sockets. Dropping the future closes its connection, which cancels the attempt.
pub async fn send_attempt(
    agent: &Agent,
    statement: &Statement,
    plan: AttemptPlan,
    meter: &TransferMeter,
) -> AttemptResponse {
    let mut pooled = match write_statement(agent, statement, &plan, meter).await {
        Ok(pooled) => pooled,
        Err(outcome) => return AttemptResponse::without_value(outcome),
    };
    meter.set_fully_written();
    agent.counters.attempts_written.increment();
    let mut response = ResponseReader::default();
    let end = read_response(agent, &mut pooled.connection, &mut response).await;
    report_load(agent, plan.target, &response);
    let outcome = outcome(&end, &response);
    match end {
        Ok(()) => release(agent, plan.target, pooled),
        Err(error) => {
            let begun = response.has_begun() || !pooled.connection.receive_buffer.is_empty();
            let lost_within = begun && outcome == Outcome::ConnectionLost;
            record_fault(agent, plan.target, meter, &error, lost_within);
        }
    }
    AttemptResponse {
        outcome,
        value: response.value,
    }
}

/// Where a connection comes from.
enum ConnectionSource {
    Pool,
    New,
}

/// Writes the statement on a connection, idle or new; the outcome where that can't be.
async fn write_statement(
    agent: &Agent,
    statement: &Statement,
    plan: &AttemptPlan,
    meter: &TransferMeter,
) -> Result<PooledConnection, Outcome> {
    loop {
        let (mut pooled, source) = acquire_connection(agent, plan.target)
            .await
            .map_err(|error| error.outcome())?;
        meter.follow(pooled.connection.traffic.clone());
        if !is_still_allowed(agent, plan) {
            agent.return_connection(plan.target, pooled);
            return Err(Outcome::NotSent);
        }
        let time_left = plan.timeout_at.saturating_sub(agent.clock.now());
        let query = postgres::query(&statement.with_client_timeout(time_left));
        pooled.on_request(agent.clock.now());
        let written = pooled.connection.write(&query).await;
        match (written, source) {
            (Ok(()), ConnectionSource::Pool) => {
                agent.counters.connections_reused.increment();
                return Ok(pooled);
            }
            (Ok(()), ConnectionSource::New) => {
                agent.counters.connections_opened.increment();
                return Ok(pooled);
            }
            // The endpoint closed it as the request went out: not all of it was written, so it
            // never ran.
            (Err(_), ConnectionSource::Pool) => agent.counters.connections_found_closed.increment(),
            (Err(_), ConnectionSource::New) => return Err(Outcome::ConnectFailed),
        }
    }
}

async fn acquire_connection(
    agent: &Agent,
    target: AttemptTarget,
) -> Result<(PooledConnection, ConnectionSource), ConnectError> {
    if let Some(pooled) = agent.pool.take(target.endpoint) {
        return Ok((pooled, ConnectionSource::Pool));
    }
    let pooled = open_connection(agent, target).await?;
    Ok((pooled, ConnectionSource::New))
}

/// An attempt may have waited for its connection: nothing goes out that would be decided otherwise
/// by now.
fn is_still_allowed(agent: &Agent, plan: &AttemptPlan) -> bool {
    let balancer = &agent.balancer;
    agent.endpoints.is_current(plan.target)
        && balancer.rollout_allows(plan.target.build, plan.rollout_revision)
        && balancer.attempt_allowed(plan.request_id, plan.attempt)
}

/// Passes the load on that the endpoint reported, while the endpoint is the same.
fn report_load(agent: &Agent, target: AttemptTarget, response: &ResponseReader) {
    let Some(load) = response.reported_load else {
        return;
    };
    if agent.endpoints.is_current(target) {
        agent.balancer.on_load_report(target.endpoint, load);
    }
}

/// A response that is not whole proves nothing, not even that the request never ran.
fn outcome(end: &Result<(), ResponseError>, response: &ResponseReader) -> Outcome {
    if let Err(ResponseError::Malformed(_) | ResponseError::Truncated) = end {
        return Outcome::ConnectionLost;
    }
    match response.outcome {
        None => Outcome::ConnectionLost,
        Some(QueryOutcome::Value) => Outcome::Succeeded,
        Some(QueryOutcome::Failed) => Outcome::Failed,
        Some(QueryOutcome::Rejected) => Outcome::Rejected,
    }
}

/// Keeps a connection that is ready for the next query. What comes behind a response belongs to
/// nobody, and would be taken for the next request's: such a connection is closed.
fn release(agent: &Agent, target: AttemptTarget, mut pooled: PooledConnection) {
    if pooled.connection.receive_buffer.is_empty() {
        pooled.on_response(agent.clock.now());
        agent.return_connection(target, pooled);
    } else {
        agent.counters.responses_unsolicited.increment();
    }
}

/// Notes what was wrong with a response; `lost_within` if the connection ended before it was whole.
fn record_fault(
    agent: &Agent,
    target: AttemptTarget,
    meter: &TransferMeter,
    error: &ResponseError,
    lost_within: bool,
) {
    match error {
        ResponseError::Malformed(error) => {
            meter.set_fault(ResponseFault::Malformed);
            agent.counters.responses_malformed.increment();
            let name = agent.endpoints.name(target.endpoint);
            log::debug!("endpoint {name}: {error}; its connection is closed");
        }
        ResponseError::Truncated => {
            meter.set_fault(ResponseFault::Truncated);
            agent.counters.responses_malformed.increment();
        }
        ResponseError::ConnectionEnded if lost_within => {
            meter.set_fault(ResponseFault::Truncated);
        }
        ResponseError::ConnectionEnded => {}
    }
}
