//! The final response of a request, and its encoding.

use super::admission::Refusal;
use crate::agent::Agent;
use crate::protocol::counted_bytes::CountedBytes;
use crate::protocol::postgres;
use std::time::Duration;

/// The response with which a request ends for its client.
#[derive(Debug, PartialEq)]
pub enum FinalResponse {
    /// The request succeeded. Holds the messages of the value as the endpoint sent them.
    Succeeded(CountedBytes),
    /// The request was not executed, and a retry is safe.
    Rejected {
        /// The time after which to retry; `None` if the balancer gives none.
        retry_after: Option<Duration>,
    },
    /// The request failed, and may have been executed.
    Failed,
    /// The client has disconnected, and no response is written.
    Abandoned,
}

impl FinalResponse {
    /// Returns the name of the response in the evidence log.
    pub fn name(&self) -> &'static str {
        match self {
            FinalResponse::Succeeded(_) => "Succeeded",
            FinalResponse::Rejected { .. } => "Rejected",
            FinalResponse::Failed => "Failed",
            FinalResponse::Abandoned => "Abandoned",
        }
    }
}

/// Writes a final response into `reply` and counts it.
pub fn write_final_response(agent: &Agent, reply: &mut CountedBytes, response: FinalResponse) {
    let counters = &agent.counters;
    match response {
        FinalResponse::Succeeded(value) => {
            counters.requests_succeeded.increment();
            *reply = value;
        }
        FinalResponse::Rejected { retry_after } => {
            counters.requests_rejected.increment();
            reply.write_with(|reply| postgres::write_rejected(reply, retry_after));
        }
        FinalResponse::Failed => {
            counters.requests_failed.increment();
            reply.write_with(postgres::write_failed);
        }
        FinalResponse::Abandoned => counters.requests_abandoned.increment(),
    }
}

/// Writes the refusal of a statement into `reply` and counts it.
pub fn write_refusal(agent: &Agent, reply: &mut CountedBytes, refusal: &Refusal) {
    let counters = &agent.counters;
    match refusal {
        Refusal::RequestStillOpen(error) => {
            counters.requests_invalid.increment();
            reply.write_with(|reply| postgres::write_statement_error(reply, &error.clone().into()));
        }
        Refusal::MayHaveRun => {
            counters.requests_repeated_id.increment();
            reply.write_with(postgres::write_failed);
        }
        Refusal::OverPipelineLimit => {
            counters.requests_over_pipeline_limit.increment();
            reply.write_with(|reply| postgres::write_rejected(reply, None));
        }
        Refusal::Terminating => {
            counters.requests_rejected.increment();
            reply.write_with(|reply| postgres::write_rejected(reply, None));
        }
    }
}
