//! Which statements become requests, and under which indices.

use crate::agent::Agent;
use crate::balancer_handle::OpenRequestGuard;
use crate::protocol::error::StatementError;
use crate::protocol::statement::Statement;
use crate::protocol::ProtocolError;
use std::time::Duration;
use tulipwall::Idempotency;
use tulipwall_config::ServiceConfig;

/// A statement that came in whole.
pub struct ReceivedStatement {
    /// The statement.
    pub statement: Statement,
    /// When it was whole, on the agent's clock.
    pub received_at: Duration,
    /// Whether its client has too many requests behind it.
    pub over_pipeline_limit: bool,
}

/// Why a statement does not become a request. Nothing of it was taken.
#[derive(Debug, thiserror::Error)]
pub enum Refusal {
    /// Another request is open under its id.
    #[error(transparent)]
    RequestStillOpen(StatementError),
    /// Too many requests wait behind it on its connection.
    #[error("more requests are pipelined than may wait on a connection")]
    OverPipelineLimit,
    /// Its time outlasts the program's: another agent may serve it.
    #[error("the agent ends before the request's deadline")]
    Terminating,
}

/// The indices of a statement's names under one configuration, and the properties of its class.
pub struct ResolvedRequest {
    /// The index of its request class.
    pub class: usize,
    /// The index of its tenant, where the settings know it.
    pub tenant: Option<usize>,
    /// Whether it may be sent again.
    pub idempotency: Idempotency,
}

impl ResolvedRequest {
    /// Looks a statement's names up.
    pub fn resolve(
        config: &ServiceConfig,
        statement: &Statement,
    ) -> Result<ResolvedRequest, StatementError> {
        let class = resolve_class(config, statement)?;
        let tenant = match &statement.tenant {
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

/// The statement of a query, if it can be a request under these settings.
pub fn parse_statement(config: &ServiceConfig, text: &str) -> Result<Statement, ProtocolError> {
    let statement = Statement::parse(text)?;
    resolve_class(config, &statement)?;
    Ok(statement)
}

/// The class of a statement under these settings.
fn resolve_class(config: &ServiceConfig, statement: &Statement) -> Result<usize, StatementError> {
    let Some(class) = config.class_index(&statement.class) else {
        return Err(StatementError::UnknownClass(statement.class.clone()));
    };
    if config.is_keyed(class) && !statement.has_deduplication_key {
        return Err(StatementError::MissingField("k"));
    }
    Ok(class)
}

/// Opens a request, which stays open for as long as the guard lives.
pub fn admit<'a>(
    agent: &'a Agent,
    received: &ReceivedStatement,
) -> Result<OpenRequestGuard<'a>, Refusal> {
    let Some(guard) = agent.balancer.open_request(&received.statement.id) else {
        return Err(Refusal::RequestStillOpen(StatementError::RequestStillOpen));
    };
    if received.over_pipeline_limit {
        return Err(Refusal::OverPipelineLimit);
    }
    let deadline = received.received_at + received.statement.client_timeout;
    if agent.lifecycle.ends_before(deadline) {
        return Err(Refusal::Terminating);
    }
    Ok(guard)
}
