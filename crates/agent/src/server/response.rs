//! The final response of a request, and how it is written.

use super::admission::Refusal;
use crate::agent::Agent;
use crate::protocol::postgres;
use std::time::Duration;

/// How a request ends for its client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FinalResponse {
    /// The messages of the value, as the endpoint made them.
    Succeeded(Vec<u8>),
    /// Nothing ran, and a retry is harmless.
    Rejected {
        /// After how long to retry, where the balancer names a time.
        retry_after: Option<Duration>,
    },
    /// It may have run.
    Failed,
    /// Nothing: the client has left.
    Abandoned,
}

impl FinalResponse {
    /// Its name in the evidence log.
    pub fn name(&self) -> &'static str {
        match self {
            FinalResponse::Succeeded(_) => "Succeeded",
            FinalResponse::Rejected { .. } => "Rejected",
            FinalResponse::Failed => "Failed",
            FinalResponse::Abandoned => "Abandoned",
        }
    }
}

/// Writes and counts a final response.
pub fn write_final_response(agent: &Agent, reply: &mut Vec<u8>, response: FinalResponse) {
    let counters = &agent.counters;
    match response {
        FinalResponse::Succeeded(value) => {
            counters.requests_succeeded.increment();
            *reply = value;
        }
        FinalResponse::Rejected { retry_after } => {
            counters.requests_rejected.increment();
            postgres::write_rejected(reply, retry_after);
        }
        FinalResponse::Failed => {
            counters.requests_failed.increment();
            postgres::write_failed(reply);
        }
        FinalResponse::Abandoned => counters.requests_abandoned.increment(),
    }
}

/// Writes and counts the refusal of a statement.
pub fn write_refusal(agent: &Agent, reply: &mut Vec<u8>, refusal: &Refusal) {
    let counters = &agent.counters;
    match refusal {
        Refusal::RequestStillOpen(error) => {
            counters.requests_invalid.increment();
            postgres::write_statement_error(reply, &error.clone().into());
        }
        Refusal::OverPipelineLimit => {
            counters.requests_over_pipeline_limit.increment();
            postgres::write_rejected(reply, None);
        }
        Refusal::Terminating => {
            counters.requests_rejected.increment();
            postgres::write_rejected(reply, None);
        }
    }
}
