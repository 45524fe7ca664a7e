//! Counters of clients, requests, attempts and control services, logged on SIGUSR1 and at exit.

use std::cell::Cell;
use std::fmt;
use tulipwall::Outcome;

/// A counter that only increases.
#[derive(Default)]
pub struct Counter(Cell<u64>);

impl Counter {
    /// Adds one.
    pub fn increment(&self) {
        self.0.set(self.0.get() + 1);
    }

    /// The number of increments so far.
    pub fn get(&self) -> u64 {
        self.0.get()
    }
}

impl fmt::Display for Counter {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        self.get().fmt(f)
    }
}

/// The number of possible outcomes of an attempt.
const OUTCOME_COUNT: usize = 8;

/// Names of the outcomes in the line of counters, indexed by [`tulipwall_zones::outcome_index`].
const OUTCOME_NAMES: [&str; OUTCOME_COUNT] = [
    "succeeded",
    "failed",
    "rejected",
    "timed_out",
    "connect_failed",
    "connection_lost",
    "cancelled",
    "not_sent",
];

/// An agent's counters since its start.
#[derive(Default)]
pub struct Counters {
    /// Clients that were accepted.
    pub clients_accepted: Counter,
    /// Connections that either side closed between two requests.
    pub clients_closed: Counter,
    /// Clients that were rejected because the limit on sockets was reached.
    pub clients_rejected: Counter,
    /// Clients that were disconnected because a request, a message or the reading of a response
    /// took too long.
    pub clients_timed_out: Counter,
    /// Requests that were rejected because their client had pipelined too many.
    pub requests_over_pipeline_limit: Counter,
    /// Requests that were passed to the balancer.
    pub requests_taken: Counter,
    /// Statements and messages that were invalid and answered with an error.
    pub requests_invalid: Counter,
    /// Requests that were answered with a value.
    pub requests_succeeded: Counter,
    /// Requests that were rejected: a retry is safe.
    pub requests_rejected: Counter,
    /// Requests that failed and may have run.
    pub requests_failed: Counter,
    /// Requests whose client disconnected before the response.
    pub requests_abandoned: Counter,
    /// Messages of clients that were rejected because no memory was free for them.
    pub requests_without_memory: Counter,
    /// Requests for which nothing more was sent as their client had written more ahead than the
    /// agent reads.
    pub requests_read_ahead_exceeded: Counter,
    /// Requests that were refused as an earlier one with their id may have run after its client had
    /// left.
    pub requests_repeated_id: Counter,
    /// Requests that were rejected as no valid endpoint list was known, with nothing sent for them.
    pub requests_without_list: Counter,
    /// Responses of endpoints that had to wait for memory.
    pub responses_awaiting_memory: Counter,
    /// Clients that were disconnected as they held memory that others waited for.
    pub clients_closed_for_memory: Counter,
    /// Attempts that were sent on a new connection.
    pub connections_opened: Counter,
    /// Connections to endpoints for which the system had no descriptor, port or memory.
    pub connections_denied: Counter,
    /// Attempts that were sent on a pooled connection.
    pub connections_reused: Counter,
    /// Pooled connections that the endpoint had closed.
    pub connections_found_closed: Counter,
    /// Attempts that were written completely.
    pub attempts_written: Counter,
    /// Responses of endpoints that could not be parsed.
    pub responses_malformed: Counter,
    /// Connections that were closed because the endpoint sent data after a response.
    pub responses_unsolicited: Counter,
    /// Attempts that ended, by [`tulipwall_zones::outcome_index`].
    attempts_ended: [Counter; OUTCOME_COUNT],
    /// Endpoint lists that were received.
    pub lists_received: Counter,
    /// Calls to the discovery service that failed.
    pub list_failures: Counter,
    /// Calls to the discovery service that timed out.
    pub list_timeouts: Counter,
    /// Times during which no valid endpoint list was known, so that no requests were sent.
    pub list_expirations: Counter,
    /// Reports of the rollout status that were received.
    pub rollout_updates: Counter,
    /// Votes that were sent to the rollout platform.
    pub votes_sent: Counter,
    /// Connections to the rollout platform that ended.
    pub platform_disconnects: Counter,
    /// Readers of the admin endpoint that were dropped because of an error or a timeout.
    pub admin_dropped: Counter,
}

impl Counters {
    /// Counts an attempt that ended with `outcome`.
    pub fn attempt_ended(&self, outcome: Outcome) {
        self.attempts_ended[tulipwall_zones::outcome_index(outcome)].increment();
    }
}

impl fmt::Display for Counters {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let c = self;
        write!(f, "clients: taken {} ", c.clients_accepted)?;
        write!(f, "rejected {} ", c.clients_rejected)?;
        write!(f, "timed_out {} ", c.clients_timed_out)?;
        write!(f, "closed {}; ", c.clients_closed)?;

        write!(f, "requests: taken {} ", c.requests_taken)?;
        write!(f, "invalid {} ", c.requests_invalid)?;
        write!(f, "succeeded {} ", c.requests_succeeded)?;
        write!(f, "over_pipeline_limit {} ", c.requests_over_pipeline_limit)?;
        write!(f, "rejected {} ", c.requests_rejected)?;
        write!(f, "failed {} ", c.requests_failed)?;
        write!(f, "abandoned {}; ", c.requests_abandoned)?;

        write!(f, "attempts: written {}", c.attempts_written)?;
        for (name, count) in OUTCOME_NAMES.iter().zip(&c.attempts_ended) {
            write!(f, " {name} {count}")?;
        }

        write!(f, "; connections: opened {} ", c.connections_opened)?;
        write!(f, "reused {} ", c.connections_reused)?;
        write!(f, "malformed {} ", c.responses_malformed)?;
        write!(f, "unsolicited {} ", c.responses_unsolicited)?;
        write!(f, "found_closed {}; ", c.connections_found_closed)?;

        write!(f, "lists: received {} ", c.lists_received)?;
        write!(f, "failed {} ", c.list_failures)?;
        write!(f, "timed_out {} ", c.list_timeouts)?;
        write!(f, "expired {}; ", c.list_expirations)?;

        write!(f, "platform: rollout_updates {} ", c.rollout_updates)?;
        write!(f, "votes {} ", c.votes_sent)?;
        write!(f, "disconnects {}; ", c.platform_disconnects)?;

        write!(f, "admin: dropped {}; ", c.admin_dropped)?;

        write!(f, "refused: no_memory {} ", c.requests_without_memory)?;
        write!(f, "read_ahead {} ", c.requests_read_ahead_exceeded)?;
        write!(f, "repeated_id {} ", c.requests_repeated_id)?;
        write!(f, "no_list {}; ", c.requests_without_list)?;

        write!(f, "memory: awaited {} ", c.responses_awaiting_memory)?;
        write!(f, "clients_closed {}; ", c.clients_closed_for_memory)?;

        write!(f, "system: connections_denied {}", c.connections_denied)
    }
}
