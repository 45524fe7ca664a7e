//! Handling of a client's messages after the startup.

use super::admission::{admit, parse_statement, ReceivedStatement};
use super::limits::MAX_PIPELINED_REQUESTS;
use super::request::handle_request;
use super::response::{write_final_response, write_refusal, FinalResponse};
use super::startup::Step;
use crate::agent::Agent;
use crate::lifecycle::phase::Phase;
use crate::observability::logging::CLIENT;
use crate::protocol::connection::Connection;
use crate::protocol::counted_bytes::CountedBytes;
use crate::protocol::error::{quote, PostgresError};
use crate::protocol::postgres;
use crate::protocol::statement::Statement;
use crate::protocol::ProtocolError;
use std::rc::Rc;

/// The type byte of a simple query.
pub const QUERY_TAG: u8 = b'Q';
/// The type byte of the message that ends a connection.
const TERMINATE_TAG: u8 = b'X';
/// Commands that change the session's state. The agent confirms them without effect, as it keeps no
/// session state for a client.
const SESSION_COMMANDS: [&str; 3] = ["SET", "RESET", "DISCARD"];

/// The kinds of queries that the agent distinguishes.
enum Query {
    Empty,
    SessionCommand(&'static str),
    Request(Result<Statement, ProtocolError>),
}

impl Query {
    fn parse(agent: &Agent, text: &str) -> Query {
        let word = text.split_whitespace().next().unwrap_or_default();
        if word.is_empty() || word == ";" {
            return Query::Empty;
        }
        let command = SESSION_COMMANDS
            .into_iter()
            .find(|command| word.eq_ignore_ascii_case(command));
        match command {
            Some(command) => Query::SessionCommand(command),
            None => Query::Request(parse_statement(&agent.service_config(), text)),
        }
    }
}

/// Handles the next complete message in the receive buffer. For a request this lasts until its
/// final response.
pub async fn handle_message(
    agent: &Rc<Agent>,
    client: &mut Connection,
    reply: &mut CountedBytes,
) -> Result<Step, ProtocolError> {
    let Some(message) = postgres::parse_message(client.receive_buffer.unread())? else {
        return Ok(Step::NeedMore);
    };
    let length = message.length;
    let query = match message.tag {
        QUERY_TAG => Query::parse(agent, postgres::parse_query_text(message.body)?),
        TERMINATE_TAG => return Ok(Step::Close),
        other => return Err(PostgresError::UnsupportedMessage(other).into()),
    };
    let over_pipeline_limit = is_over_pipeline_limit(client);
    let received_at = match client.consume(length) {
        Some(at) => agent.clock.reading_at(at),
        None => agent.clock.now(),
    };
    match query {
        Query::Empty => {
            // The load balancer in front of the agent takes this response as a sign of readiness.
            agent.lifecycle.wait_for(Phase::Serving).await;
            reply.write_with(postgres::write_empty_query);
        }
        Query::SessionCommand(command) => {
            reply.write_with(|reply| postgres::write_command_complete(reply, command));
        }
        Query::Request(Ok(statement)) => {
            let received = ReceivedStatement {
                statement,
                received_at,
                over_pipeline_limit,
            };
            if let Step::Close = respond(agent, client, received, reply).await {
                return Ok(Step::Close);
            }
        }
        Query::Request(Err(error)) => {
            agent.counters.requests_invalid.increment();
            reply.write_with(|reply| postgres::write_statement_error(reply, &error));
        }
    }
    reply.write_with(postgres::write_ready);
    Ok(Step::Reply)
}

/// Returns whether too many requests wait behind the first one on this connection.
fn is_over_pipeline_limit(client: &Connection) -> bool {
    match &client.arrivals {
        Some(arrivals) => arrivals.complete_messages() > MAX_PIPELINED_REQUESTS,
        None => false,
    }
}

/// Admits a request, processes it, and writes its final response or its refusal into `reply`.
async fn respond(
    agent: &Rc<Agent>,
    client: &mut Connection,
    received: ReceivedStatement,
    reply: &mut CountedBytes,
) -> Step {
    let open_request = match admit(agent, &received, client.number) {
        Ok(request) => request,
        Err(refusal) => {
            let id = quote(received.statement.id());
            log::debug!(target: CLIENT, "connection {}: request {id} refused: {refusal}", client.number);
            write_refusal(agent, reply, &refusal);
            return Step::Reply;
        }
    };
    let response = handle_request(agent, client, received, open_request).await;
    let client_left = response == FinalResponse::Abandoned;
    write_final_response(agent, reply, response);
    if client_left {
        Step::Close
    } else {
        Step::Reply
    }
}
