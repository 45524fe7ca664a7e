//! The output of the program: a line of JSON for each call, and the counters.

use crate::batch::LineError;
use serde::Serialize;
use std::fmt;
use std::io::Write;
use std::net::SocketAddr;
use tulipwall_client::{
    AttemptSummary, Call, CallError, CallResponse, Client, ClientStats, Counters,
};

/// The call returned a value.
const EXIT_SUCCESS: u8 = 0;
/// The call was rejected, or shed by the client's own limit.
const EXIT_REJECTED: u8 = 4;
/// The call failed.
const EXIT_FAILED: u8 = 5;
/// The call's timeout has elapsed.
const EXIT_DEADLINE_EXCEEDED: u8 = 6;
/// The call, or its line of input, is invalid.
pub const EXIT_INVALID_CALL: u8 = 7;

/// A line of output. The fields are printed in the order of their declaration.
#[derive(Default, Serialize)]
struct Report {
    #[serde(skip_serializing_if = "Option::is_none")]
    agents: Option<Vec<String>>,
    answer: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    code: Option<String>,
    #[serde(rename = "come_back_ms", skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
    #[serde(rename = "line")]
    line_number: usize,
    #[serde(rename = "may_have_run", skip_serializing_if = "Option::is_none")]
    may_have_executed: Option<bool>,
    #[serde(skip_serializing_if = "Option::is_none")]
    text: Option<String>,
    #[serde(rename = "took_ms", skip_serializing_if = "Option::is_none")]
    elapsed_ms: Option<f64>,
    #[serde(rename = "tries", skip_serializing_if = "Option::is_none")]
    attempts: Option<usize>,
    #[serde(skip_serializing_if = "Option::is_none")]
    value: Option<String>,
}

impl Report {
    fn of_response(response: &CallResponse) -> Report {
        let hex = response.value.iter().map(|byte| format!("{byte:02x}"));
        Report {
            answer: "value",
            value: Some(hex.collect()),
            ..Report::default()
        }
    }

    fn of_error(error: &CallError) -> Report {
        let mut report = Report {
            answer: error.as_str(),
            text: Some(error.to_string()),
            ..Report::default()
        };
        match error {
            CallError::Rejected { retry_after, .. } => {
                report.retry_after_ms = retry_after.map(|time| time.as_millis() as u64);
            }
            CallError::Failed { code, .. } => report.code = Some(code.clone()),
            _ => {}
        }
        report
    }

    fn add_attempts(&mut self, attempts: &AttemptSummary) {
        let agents = attempts.agents.iter().map(SocketAddr::to_string);
        self.agents = Some(agents.collect());
        self.attempts = Some(attempts.agents.len());
        self.may_have_executed = Some(attempts.may_have_executed);
        self.elapsed_ms = Some(attempts.elapsed.as_micros() as f64 / 1000.0);
    }

    fn print(&self) {
        let mut out = std::io::stdout().lock();
        // A write error means that the reader of the output is gone; there is nothing to do then.
        let _ = serde_json::to_string(self)
            .map_err(std::io::Error::from)
            .and_then(|line| writeln!(out, "{line}"))
            .and_then(|()| out.flush());
    }
}

/// Makes one call and prints its result. Returns its exit code.
pub async fn call_and_print(client: &Client, call: Call, line_number: usize) -> u8 {
    let result = client.call(call).await;
    let mut report = match &result {
        Ok(response) => Report::of_response(response),
        Err(error) => Report::of_error(error),
    };
    let attempts = match &result {
        Ok(response) => Some(&response.attempts),
        Err(error) => error.attempts(),
    };
    if let Some(attempts) = attempts {
        report.add_attempts(attempts);
    }
    report.line_number = line_number;
    report.print();
    exit_code(&result)
}

/// Prints that a line of input is not a valid call. Returns its exit code.
pub fn print_line_error(error: &LineError, line_number: usize) -> u8 {
    let report = Report {
        answer: "faulty",
        text: Some(error.to_string()),
        line_number,
        ..Report::default()
    };
    report.print();
    EXIT_INVALID_CALL
}

fn exit_code(result: &Result<CallResponse, CallError>) -> u8 {
    match result {
        Ok(_) => EXIT_SUCCESS,
        Err(CallError::Rejected { .. } | CallError::Overloaded) => EXIT_REJECTED,
        Err(CallError::DeadlineExceeded { .. }) => EXIT_DEADLINE_EXCEEDED,
        Err(CallError::InvalidCall(_)) => EXIT_INVALID_CALL,
        // `CallError` is non-exhaustive; an error without an exit code of its own counts as failed.
        Err(_) => EXIT_FAILED,
    }
}

/// Prints the counters to standard error.
pub fn print_counters(stats: &ClientStats) {
    eprintln!(
        "{:?}; bound {:.0}, tokens {:.1}",
        PrintedCounters(&stats.counters),
        stats.concurrency_limit,
        stats.retry_tokens
    );
}

/// Prints the counters under their documented names (`docs/operators-client.md`).
struct PrintedCounters<'a>(&'a Counters);

impl fmt::Debug for PrintedCounters<'_> {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let counters = self.0;
        f.debug_struct("Counters")
            .field("calls", &counters.calls)
            .field("succeeded", &counters.succeeded)
            .field("rejected", &counters.rejected)
            .field("scrapped", &counters.failed)
            .field("expired", &counters.deadline_exceeded)
            .field("shed", &counters.overloaded)
            .field("faulty", &counters.invalid)
            .field("left", &counters.cancelled)
            .field("tries", &counters.attempts)
            .field("ended", &counters.attempt_failures)
            .field("given_up", &counters.given_up)
            .field("opened", &counters.connections_opened)
            .field("reused", &counters.connections_reused)
            .field("not_opened", &counters.connect_failures)
            .field("found_closed", &counters.idle_found_closed)
            .finish()
    }
}
