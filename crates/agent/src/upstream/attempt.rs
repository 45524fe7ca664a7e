//! One attempt: obtains a connection, writes the statement and reads the response.

use crate::agent::Agent;
use crate::observability::logging::EXCHANGE;
use crate::protocol::buffer::BASE_CAPACITY;
use crate::protocol::connection::Connection;
use crate::protocol::counted_bytes::CountedBytes;
use crate::protocol::postgres::{self, MessageReader, QueryOutcome, ResponseReader};
use crate::protocol::statement::{Statement, TimedStatement};
use crate::upstream::active_connection::{ActiveConnection, ReuseError};
use crate::upstream::connect::{open_connection, ConnectError};
use crate::upstream::pool::PooledConnection;
use crate::upstream::response::{read_response, ResponseError};
use crate::upstream::transfer_meter::TransferMeter;
use std::io;
use std::time::Duration;
use tulipwall::Outcome;
use tulipwall_discovery::endpoint_table::{AttemptTarget, IndexGuard};
use tulipwall_zones::ResponseFault;

/// The balancer's decision to send an attempt, and the state on which it is based.
pub struct AttemptPlan {
    /// The balancer's number for the request.
    pub request_id: u64,
    /// The index of the attempt within its request, from 0.
    pub attempt: usize,
    /// The endpoint, with the address and the build at the time of the decision.
    pub target: AttemptTarget,
    /// The revision of the rollout status at the time of the decision.
    pub rollout_revision: u64,
    /// When the attempt times out, on the agent's clock.
    pub timeout_at: Duration,
    /// Prevents the endpoint's index from being reassigned until the attempt has ended.
    pub retained_index: Option<IndexGuard>,
}

/// The outcome of an attempt, with the endpoint's value.
pub struct AttemptResponse {
    /// How the attempt ended.
    pub outcome: Outcome,
    /// The messages of the value, as the endpoint sent them; empty if there is none.
    pub value: CountedBytes,
}

impl AttemptResponse {
    /// Creates a response without a value.
    pub fn without_value(outcome: Outcome) -> AttemptResponse {
        AttemptResponse {
            outcome,
            value: CountedBytes::default(),
        }
    }
}

/// Runs one attempt to its end. `meter` records when the statement is fully written, and the bytes
/// transferred over the attempt's sockets. Dropping the future closes its connection, which cancels
/// the attempt.
pub async fn send_attempt(
    agent: &Agent,
    statement: &Statement,
    plan: AttemptPlan,
    meter: &TransferMeter,
) -> AttemptResponse {
    let mut active = match write_statement(agent, statement, &plan, meter).await {
        Ok(active) => active,
        Err(outcome) => return AttemptResponse::without_value(outcome),
    };
    meter.set_fully_written();
    log_request(agent, &plan, statement, &active.connection);
    agent.counters.attempts_written.increment();
    let mut response = ResponseReader::default();
    let end = read_response(agent, &mut active.connection, &mut response).await;
    report_load(agent, plan.target, &response);
    log_response(&end, &response, statement, &active.connection);
    let outcome = outcome(&end, &response);
    match end {
        Ok(()) => release(agent, plan.target, active, &response),
        Err(error) => {
            let begun = response.has_begun() || !active.connection.receive_buffer.is_empty();
            let interrupted = begun && outcome == Outcome::ConnectionLost;
            record_fault(agent, plan.target, meter, &error, interrupted);
        }
    }
    AttemptResponse {
        outcome,
        value: response.value,
    }
}

/// The origin of a connection.
enum ConnectionSource {
    Pool,
    New,
}

/// Writes the statement to a pooled or a new connection. Fails with the attempt's outcome if that
/// is not possible.
async fn write_statement(
    agent: &Agent,
    statement: &Statement,
    plan: &AttemptPlan,
    meter: &TransferMeter,
) -> Result<ActiveConnection, Outcome> {
    loop {
        let (pooled, source) = acquire_connection(agent, plan.target)
            .await
            .map_err(|error| error.outcome())?;
        if !is_still_allowed(agent, plan) {
            agent.return_connection(plan.target, pooled);
            return Err(Outcome::NotSent);
        }
        let time_left = plan.timeout_at.saturating_sub(agent.clock.now());
        let query = statement.with_client_timeout(time_left);
        let mut active = pooled.begin_exchange(agent.clock.now());
        meter.track(active.connection.traffic.clone());
        let written = write_query(&mut active.connection, &query).await;
        match (written, source) {
            (Ok(()), ConnectionSource::Pool) => {
                agent.counters.connections_reused.increment();
                return Ok(active);
            }
            (Ok(()), ConnectionSource::New) => {
                agent.counters.connections_opened.increment();
                return Ok(active);
            }
            // The endpoint closed the connection during the write: the statement was not fully
            // written, so it never ran, and another connection is tried.
            (Err(_), ConnectionSource::Pool) => agent.counters.connections_found_closed.increment(),
            (Err(_), ConnectionSource::New) => return Err(Outcome::ConnectFailed),
        }
    }
}

/// Writes a query. A long one is written in pieces, which saves a copy.
async fn write_query(connection: &mut Connection, query: &TimedStatement<'_>) -> io::Result<()> {
    if query.length() <= BASE_CAPACITY {
        return connection.write(&postgres::query(&query.to_string())).await;
    }
    connection
        .write(&postgres::query_header(query.length()))
        .await?;
    connection.write(query.before.as_bytes()).await?;
    connection.write(query.timeout.as_bytes()).await?;
    connection.write(query.after.as_bytes()).await?;
    connection.write(&[postgres::QUERY_TERMINATOR]).await
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

/// Returns whether the attempt may still be sent. It may have waited for its connection, and the
/// decision may no longer hold.
fn is_still_allowed(agent: &Agent, plan: &AttemptPlan) -> bool {
    let balancer = &agent.balancer;
    agent.endpoints.is_current(plan.target)
        && balancer.rollout_allows(plan.target.build, plan.rollout_revision)
        && balancer.attempt_allowed(plan.request_id, plan.attempt)
}

/// Logs that the request was written.
fn log_request(agent: &Agent, plan: &AttemptPlan, statement: &Statement, connection: &Connection) {
    log::debug!(target: EXCHANGE, "connection {} to {}: request {} written",
        connection.number, agent.endpoints.name(plan.target.endpoint), statement.id());
}

/// Logs how the response ended, and whether bytes follow it.
fn log_response(
    end: &Result<(), ResponseError>,
    response: &ResponseReader,
    statement: &Statement,
    connection: &Connection,
) {
    if !log::log_enabled!(target: EXCHANGE, log::Level::Debug) {
        return;
    }
    let number = connection.number;
    let bytes_behind = connection.receive_buffer.len();
    let outcome = response.outcome;
    let id = statement.id();
    match end {
        Ok(()) => log::debug!(target: EXCHANGE,
            "connection {number}: response to {id} ended: outcome {outcome:?}, {bytes_behind} bytes behind it"),
        Err(error) => log::debug!(target: EXCHANGE,
            "connection {number}: response to {id} broke off: outcome {outcome:?}, {error}"),
    }
}

/// Passes the load that the endpoint reported to the balancer, unless the endpoint has changed
/// meanwhile.
fn report_load(agent: &Agent, target: AttemptTarget, response: &ResponseReader) {
    let Some(load) = response.reported_load else {
        return;
    };
    if agent.endpoints.is_current(target) {
        agent.balancer.on_load_report(target.endpoint, load);
    }
}

/// Returns the outcome of an attempt whose statement was fully written. An incomplete or malformed
/// response proves nothing, not even that the request never ran.
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

/// Puts a connection that is ready for another request back into the pool, and closes any other.
fn release(
    agent: &Agent,
    target: AttemptTarget,
    active: ActiveConnection,
    response: &ResponseReader,
) {
    match active.end_exchange(response, agent.clock.now()) {
        Ok(pooled) => agent.return_connection(target, pooled),
        Err(error) => {
            count_reuse_error(agent, error);
            agent.suspect_endpoint(target);
            let name = agent.endpoints.name(target.endpoint);
            log::debug!("endpoint {name}: {error}; its connection is closed");
        }
    }
}

fn count_reuse_error(agent: &Agent, error: ReuseError) {
    let counters = &agent.counters;
    match error {
        ReuseError::UnsolicitedData => counters.responses_unsolicited.increment(),
        ReuseError::IncompleteResponse | ReuseError::OpenTransaction => {
            counters.responses_malformed.increment();
        }
    }
}

/// Records the fault of a response. `interrupted` says that the connection ended after the response
/// had begun and before it was complete.
fn record_fault(
    agent: &Agent,
    target: AttemptTarget,
    meter: &TransferMeter,
    error: &ResponseError,
    interrupted: bool,
) {
    match error {
        ResponseError::Malformed(error) => {
            meter.set_fault(ResponseFault::Malformed);
            agent.counters.responses_malformed.increment();
            agent.suspect_endpoint(target);
            let name = agent.endpoints.name(target.endpoint);
            log::debug!("endpoint {name}: {error}; its connection is closed");
        }
        ResponseError::Truncated => {
            meter.set_fault(ResponseFault::Truncated);
            agent.counters.responses_malformed.increment();
        }
        ResponseError::ConnectionEnded if interrupted => {
            meter.set_fault(ResponseFault::Truncated);
        }
        ResponseError::ConnectionEnded => {}
    }
}
