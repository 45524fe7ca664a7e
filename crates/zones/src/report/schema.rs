//! The serialized lines of a report. The field names on the wire are those of version 1.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The version of the report format; readers reject all others.
pub const VERSION: u32 = 1;

/// One line of a report, tagged by its kind.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
#[serde(tag = "kind", rename_all = "lowercase")]
pub enum ReportLine {
    /// The first line.
    Head(ReportHeader),
    /// Counts of one class and build on one link.
    Link(LinkLine),
    /// The latency histogram of one class on one link.
    Delay(DelayLine),
    /// Traffic of one class on one link over time.
    Series(SeriesLine),
    /// The last line: the report is complete.
    End,
}

/// The header of a report: properties and totals of the whole account.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct ReportHeader {
    /// The version of the report format, [`VERSION`].
    pub version: u32,
    /// The name of the agent.
    pub agent: String,
    /// The name of the zone that the agent runs in.
    pub zone: String,
    /// Unix time of the report, in seconds.
    pub at_s: f64,
    /// The time since the start of the account, in seconds.
    #[serde(rename = "since_s")]
    pub uptime_s: f64,
    /// Requests received, by class name.
    #[serde(rename = "taken")]
    pub requests: BTreeMap<String, u64>,
    /// The budgets, in the order of the configuration.
    pub budgets: Vec<BudgetLine>,
    /// The weight of an endpoint of a remote zone relative to a local one, by zone name.
    #[serde(rename = "draws")]
    pub weights: BTreeMap<String, f64>,
    /// The number of times that traffic to a remote zone began to rise, by zone name.
    #[serde(rename = "turns")]
    pub direction_changes: BTreeMap<String, u64>,
}

/// The state of one budget in one agent.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct BudgetLine {
    /// The name of the budget, as configured.
    pub name: String,
    /// The zone that it covers; `None` for all other zones.
    pub to: Option<String>,
    /// The class that it covers; `None` for all classes.
    #[serde(rename = "lane")]
    pub class: Option<String>,
    /// The unit of its limit, see [`crate::Limit::unit`].
    pub unit: String,
    /// The length of its window, in seconds.
    pub window_s: f64,
    /// The limit for all agents together; a limit in shares is relative to the requests received.
    pub limit: f64,
    /// The amount that this agent may spend in the window that ends now.
    #[serde(rename = "part")]
    pub agent_limit: f64,
    /// The amount that this agent has spent in that window, plus what its attempts in flight hold.
    pub used: f64,
    /// The amount that this agent has spent since its start.
    pub total: f64,
    /// Attempts over this budget since the start, by reason.
    #[serde(rename = "over")]
    pub over_budget: BTreeMap<String, u64>,
}

/// Counts of one class and build on one link.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct LinkLine {
    /// The name of the agent's zone.
    pub from: String,
    /// The name of the zone of the endpoints.
    pub to: String,
    /// The name of the class; `(connections)` or `(gone)` for the indices beyond the classes.
    #[serde(rename = "lane")]
    pub class: String,
    /// The build; 0 for the sum of all removed builds.
    pub build: u32,
    /// Attempts that the balancer decided to send.
    pub decided: u64,
    /// Attempts written completely.
    #[serde(rename = "deliveries")]
    pub attempts: u64,
    /// Completed attempts, by the label of their outcome.
    #[serde(rename = "ended")]
    pub outcomes: BTreeMap<String, u64>,
    /// Attempts that provably never ran.
    pub never_ran: u64,
    /// Responses that could not be parsed.
    #[serde(rename = "spoilt")]
    pub malformed: u64,
    /// Responses that ended early.
    #[serde(rename = "half")]
    pub truncated: u64,
    /// Attempts sent while another of the same request was in flight.
    #[serde(rename = "second_copies")]
    pub hedges: u64,
    /// Attempts sent after all earlier ones of the same request had ended.
    #[serde(rename = "further")]
    pub retries: u64,
    /// Attempts over a budget, by reason.
    #[serde(rename = "over")]
    pub over_budget: BTreeMap<String, u64>,
    /// Connections that became ready for requests.
    #[serde(rename = "opened")]
    pub connections_opened: u64,
    /// Bytes written to endpoints.
    #[serde(rename = "bytes_out")]
    pub bytes_sent: u64,
    /// Bytes read from endpoints.
    #[serde(rename = "bytes_in")]
    pub bytes_received: u64,
    /// The average latency that crossing added to a successful response, in milliseconds.
    #[serde(rename = "added_ms")]
    pub added_latency_ms: f64,
    /// The number of responses averaged in `added_latency_ms`.
    #[serde(rename = "compared")]
    pub compared_responses: u64,
    /// Cost at the price of the link.
    pub cost: f64,
}

impl LinkLine {
    /// The number of attempts over a budget, for any reason.
    pub fn over_budget_total(&self) -> u64 {
        self.over_budget.values().sum()
    }
}

/// Latencies of successful responses of one class on one link, over all builds.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct DelayLine {
    /// The name of the agent's zone.
    pub from: String,
    /// The name of the zone of the endpoints.
    pub to: String,
    /// The name of the class; `(connections)` or `(gone)` for the indices beyond the classes.
    #[serde(rename = "lane")]
    pub class: String,
    /// The non-empty buckets of the histogram, in ascending order of latency.
    #[serde(rename = "delays_us")]
    pub latencies: Vec<LatencyBucket>,
}

/// One bucket of a latency histogram, serialized as `[micros, count]`.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq)]
#[serde(from = "(u64, u64)", into = "(u64, u64)")]
pub struct LatencyBucket {
    /// The upper bound of the bucket, in microseconds.
    pub micros: u64,
    /// The number of responses in the bucket.
    pub count: u64,
}

impl From<(u64, u64)> for LatencyBucket {
    fn from((micros, count): (u64, u64)) -> LatencyBucket {
        LatencyBucket { micros, count }
    }
}

impl From<LatencyBucket> for (u64, u64) {
    fn from(bucket: LatencyBucket) -> (u64, u64) {
        (bucket.micros, bucket.count)
    }
}

/// Traffic of one class on one link over time.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct SeriesLine {
    /// The name of the agent's zone.
    pub from: String,
    /// The name of the zone of the endpoints.
    pub to: String,
    /// The name of the class; `(connections)` or `(gone)` for the indices beyond the classes.
    #[serde(rename = "lane")]
    pub class: String,
    /// The build; `None` in series over all builds.
    pub build: Option<u32>,
    /// The width of the bins, in seconds.
    pub width_s: f64,
    /// The non-empty bins, oldest first.
    pub bins: Vec<SeriesBin>,
}

/// The serialized form of a [`SeriesBin`]: its fields in order of declaration.
type SerializedBin = (f64, u64, u64, u64, u64, f64);

/// One bin of a time series, serialized as an array of its fields.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize, PartialEq)]
#[serde(from = "SerializedBin", into = "SerializedBin")]
pub struct SeriesBin {
    /// The Unix time at which the bin starts, in seconds.
    pub start_s: f64,
    /// Attempts written completely.
    pub attempts: u64,
    /// Attempts over a budget.
    pub over_budget: u64,
    /// Bytes written to endpoints.
    pub bytes_sent: u64,
    /// Bytes read from endpoints.
    pub bytes_received: u64,
    /// Cost at the price of the link.
    pub cost: f64,
}

impl From<SerializedBin> for SeriesBin {
    fn from(fields: SerializedBin) -> SeriesBin {
        let (start_s, attempts, over_budget, bytes_sent, bytes_received, cost) = fields;
        SeriesBin {
            start_s,
            attempts,
            over_budget,
            bytes_sent,
            bytes_received,
            cost,
        }
    }
}

impl From<SeriesBin> for SerializedBin {
    fn from(bin: SeriesBin) -> SerializedBin {
        (
            bin.start_s,
            bin.attempts,
            bin.over_budget,
            bin.bytes_sent,
            bin.bytes_received,
            bin.cost,
        )
    }
}
