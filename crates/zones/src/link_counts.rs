//! Counters of the attempts of one class and build on one link.

use crate::events::{CompletedAttempt, ConnectionTraffic, ResponseFault};
use crate::reason::OverBudgetReason;
use tulipwall::Outcome;

/// All outcomes, each at its [`outcome_index`].
pub(crate) const OUTCOMES: [Outcome; 8] = [
    Outcome::Succeeded,
    Outcome::Failed,
    Outcome::Rejected,
    Outcome::TimedOut,
    Outcome::ConnectFailed,
    Outcome::ConnectionLost,
    Outcome::Cancelled,
    Outcome::NotSent,
];

/// Outcomes of attempts that provably never ran.
const NEVER_RAN: [Outcome; 3] = [Outcome::Rejected, Outcome::ConnectFailed, Outcome::NotSent];

/// The index at which [`LinkCounts::outcomes`] counts an outcome.
pub fn outcome_index(outcome: Outcome) -> usize {
    match outcome {
        Outcome::Succeeded => 0,
        Outcome::Failed => 1,
        Outcome::Rejected => 2,
        Outcome::TimedOut => 3,
        Outcome::ConnectFailed => 4,
        Outcome::ConnectionLost => 5,
        Outcome::Cancelled => 6,
        Outcome::NotSent => 7,
    }
}

/// Counters of one class and build on one link since the agent's start.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkCounts {
    /// Attempts that the balancer decided to send.
    pub decided: u64,
    /// Attempts written completely: these may have run and are charged to the budgets.
    pub written: u64,
    /// Completed attempts by outcome, indexed by [`outcome_index`].
    pub outcomes: [u64; 8],
    /// Attempts that lost their connection because the response could not be parsed.
    pub malformed: u64,
    /// Attempts that lost their connection in the middle of the response.
    pub truncated: u64,
    /// Attempts sent while another of the same request was in flight.
    pub hedges: u64,
    /// Attempts sent after all earlier ones of the same request had ended.
    pub retries: u64,
    /// Attempts over a budget, indexed by [`OverBudgetReason`].
    pub over_budget: [u64; OverBudgetReason::COUNT],
    /// Connections that became ready for requests.
    pub connections_opened: u64,
    /// Bytes written to endpoints.
    pub bytes_sent: u64,
    /// Bytes read from endpoints.
    pub bytes_received: u64,
    /// The sum of the latencies that crossing added to successful responses, compared with local
    /// ones of the class, in seconds; negative if the remote zone was faster.
    pub added_latency_s: f64,
    /// The number of responses summed in `added_latency_s`.
    pub compared_responses: u64,
    /// Cost at the price of the link.
    pub cost: f64,
}

impl LinkCounts {
    /// The number of attempts over a budget, for any reason.
    pub fn over_budget_total(&self) -> u64 {
        self.over_budget.iter().sum()
    }

    /// The number of attempts that provably never ran.
    pub fn never_ran(&self) -> u64 {
        NEVER_RAN
            .into_iter()
            .map(|outcome| self.outcomes[outcome_index(outcome)])
            .sum()
    }

    /// Adds the counters of another row.
    pub fn add(&mut self, other: &LinkCounts) {
        self.decided += other.decided;
        self.written += other.written;
        add_each(&mut self.outcomes, &other.outcomes);
        self.malformed += other.malformed;
        self.truncated += other.truncated;
        self.hedges += other.hedges;
        self.retries += other.retries;
        add_each(&mut self.over_budget, &other.over_budget);
        self.connections_opened += other.connections_opened;
        self.bytes_sent += other.bytes_sent;
        self.bytes_received += other.bytes_received;
        self.added_latency_s += other.added_latency_s;
        self.compared_responses += other.compared_responses;
        self.cost += other.cost;
    }

    pub(crate) fn record_start(&mut self, previous_attempts: usize, hedged: bool) {
        self.decided += 1;
        self.hedges += u64::from(hedged);
        self.retries += u64::from(previous_attempts > 0 && !hedged);
    }

    pub(crate) fn record_end(
        &mut self,
        end: &CompletedAttempt,
        over_budget: Option<OverBudgetReason>,
        cost: f64,
    ) {
        self.outcomes[outcome_index(end.outcome)] += 1;
        self.written += u64::from(end.fully_written);
        self.malformed += u64::from(end.fault == ResponseFault::Malformed);
        self.truncated += u64::from(end.fault == ResponseFault::Truncated);
        if let Some(reason) = over_budget {
            self.over_budget[reason as usize] += 1;
        }
        self.bytes_sent += end.bytes_sent;
        self.bytes_received += end.bytes_received;
        self.cost += cost;
    }

    pub(crate) fn record_added_latency(&mut self, seconds: f64) {
        self.added_latency_s += seconds;
        self.compared_responses += 1;
    }

    pub(crate) fn record_connection(&mut self, connection: &ConnectionTraffic, cost: f64) {
        self.connections_opened += u64::from(connection.handshake.is_some());
        self.bytes_sent += connection.bytes_sent;
        self.bytes_received += connection.bytes_received;
        self.cost += cost;
    }
}

fn add_each<const N: usize>(sums: &mut [u64; N], counts: &[u64; N]) {
    for (sum, count) in sums.iter_mut().zip(counts) {
        *sum += count;
    }
}
