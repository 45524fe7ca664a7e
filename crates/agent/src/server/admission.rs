//! Admission of statements: the checks that turn a statement into a request, and the lookup of the
//! names it uses.

use crate::agent::{Agent, OpenError, OpenRequest};
use crate::protocol::error::{quote, StatementError};
use crate::protocol::statement::Statement;
use crate::protocol::ProtocolError;
use std::time::Duration;
use tulipwall::Idempotency;
use tulipwall_config::ServiceConfig;

/// A statement that was received completely.
pub struct ReceivedStatement {
    /// The parsed statement with the attributes of its request.
    pub statement: Statement,
    /// When its last byte arrived, on the agent's clock.
    pub received_at: Duration,
    /// Whether too many further requests wait behind it on the client's connection.
    pub over_pipeline_limit: bool,
}

/// The reason for which a statement does not become a request. Nothing is executed for it.
#[derive(Debug, thiserror::Error)]
pub enum Refusal {
    /// Another request with the same id is still open.
    #[error(transparent)]
    RequestStillOpen(StatementError),
    /// A request with the same id may have run before its client left, and must not run twice.
    #[error("a request with this id may have run")]
    MayHaveRun,
    /// Too many requests wait behind it on its connection.
    #[error("too many pipelined requests on this connection")]
    OverPipelineLimit,
    /// The agent terminates before the request's deadline. Another agent may serve the request.
    #[error("the agent terminates before the request's deadline")]
    Terminating,
}

/// The indices of the names in a statement under one configuration, and the properties of its
/// class.
pub struct ResolvedRequest {
    /// The index of the request class.
    pub class: usize,
    /// The index of the tenant; `None` if the statement names none or the settings do not know it.
    pub tenant: Option<usize>,
    /// Whether the request may be sent again.
    pub idempotency: Idempotency,
}

impl ResolvedRequest {
    /// Looks up the class and the tenant of a statement.
    pub fn resolve(
        config: &ServiceConfig,
        statement: &Statement,
    ) -> Result<ResolvedRequest, StatementError> {
        let class = resolve_class(config, statement)?;
        let tenant = match statement.tenant() {
            Some(name) => config.tenant_index(name),
            None => None,
        };
        Ok(ResolvedRequest {
            class,
            tenant,
            idempotency: config.settings.classes[class].idempotency,
        })
    }
}

/// Parses the text of a query, and checks that its statement can be a request under this
/// configuration.
pub fn parse_statement(config: &ServiceConfig, text: &str) -> Result<Statement, ProtocolError> {
    let statement = Statement::parse(text)?;
    resolve_class(config, &statement)?;
    Ok(statement)
}

/// Returns the index of a statement's class. Fails if the class is unknown, or if it is keyed and
/// the statement carries no deduplication key.
fn resolve_class(config: &ServiceConfig, statement: &Statement) -> Result<usize, StatementError> {
    let Some(class) = config.class_index(statement.class()) else {
        return Err(StatementError::UnknownClass(quote(statement.class())));
    };
    if config.is_keyed(class) && !statement.has_deduplication_key {
        return Err(StatementError::MissingField("k"));
    }
    Ok(class)
}

/// Opens a request of a client's connection, given its number. The request stays open until the
/// returned value is dropped.
pub fn admit(
    agent: &Agent,
    received: &ReceivedStatement,
    client: u64,
) -> Result<OpenRequest, Refusal> {
    let id = received.statement.id();
    let opened = agent.open_requests.open(id, client, agent.clock.now());
    let request = opened.map_err(|error| match error {
        OpenError::StillOpen => Refusal::RequestStillOpen(StatementError::RequestStillOpen),
        OpenError::MayHaveRun => Refusal::MayHaveRun,
    })?;
    if received.over_pipeline_limit {
        return Err(Refusal::OverPipelineLimit);
    }
    let deadline = received.received_at + received.statement.client_timeout;
    if agent.lifecycle.ends_before(deadline) {
        return Err(Refusal::Terminating);
    }
    Ok(request)
}
