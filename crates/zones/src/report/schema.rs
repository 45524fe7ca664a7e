//! The lines of a report as they are serialized. The names on the wire are those of version 1.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The version of the lines; a reader accepts no other.
pub const VERSION: u32 = 1;

/// One line of a report.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
#[serde(tag = "kind", rename_all = "lowercase")]
pub enum ReportLine {
    /// The first line.
    Head(ReportHeader),
    /// Counts of one class and build on one link.
    Link(LinkLine),
    /// Latencies of one class on one link.
    Delay(DelayLine),
    /// Traffic over time.
    Series(SeriesLine),
    /// The last line: the report is complete.
    End,
}

/// What holds for the whole account.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct ReportHeader {
    /// The version of the lines, [`VERSION`].
    pub version: u32,
    /// The agent's name.
    pub agent: String,
    /// The zone it runs in.
    pub zone: String,
    /// Unix time of the report, in seconds.
    pub at_s: f64,
    /// How long the account has run, in seconds.
    #[serde(rename = "since_s")]
    pub uptime_s: f64,
    /// Requests received, by class.
    #[serde(rename = "taken")]
    pub requests: BTreeMap<String, u64>,
    /// The budgets, in the order of the configuration.
    pub budgets: Vec<BudgetLine>,
    /// The weight of an endpoint of a remote zone against a local one, by zone.
    #[serde(rename = "draws")]
    pub weights: BTreeMap<String, f64>,
    /// How often traffic to a remote zone changed its direction to rising, by zone.
    #[serde(rename = "turns")]
    pub direction_changes: BTreeMap<String, u64>,
}

/// One budget of one agent.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct BudgetLine {
    /// The budget's name.
    pub name: String,
    /// The zone that it covers; absent for all.
    pub to: Option<String>,
    /// The class that it covers; absent for all.
    #[serde(rename = "lane")]
    pub class: Option<String>,
    /// The unit of its limit.
    pub unit: String,
    /// Length of its window, in seconds.
    pub window_s: f64,
    /// The limit over all agents; a share is of the requests received.
    pub limit: f64,
    /// What this agent may spend in the window that ends now.
    #[serde(rename = "part")]
    pub agent_limit: f64,
    /// What this agent has spent and holds in that window.
    pub used: f64,
    /// What this agent has spent since its start.
    pub total: f64,
    /// Attempts over it since the start, by reason.
    #[serde(rename = "over")]
    pub over_budget: BTreeMap<String, u64>,
}

/// Counts of one class and build on one link.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct LinkLine {
    /// The agent's zone.
    pub from: String,
    /// The zone of the endpoints.
    pub to: String,
    /// The class.
    #[serde(rename = "lane")]
    pub class: String,
    /// The build; 0 for all builds that were removed.
    pub build: u32,
    /// Attempts decided on.
    pub decided: u64,
    /// Attempts written completely.
    #[serde(rename = "deliveries")]
    pub attempts: u64,
    /// How attempts ended.
    #[serde(rename = "ended")]
    pub outcomes: BTreeMap<String, u64>,
    /// Attempts that provably never ran.
    pub never_ran: u64,
    /// Responses that could not be parsed.
    #[serde(rename = "spoilt")]
    pub malformed: u64,
    /// Responses that stopped short of their end.
    #[serde(rename = "half")]
    pub truncated: u64,
    /// Hedged requests.
    #[serde(rename = "second_copies")]
    pub hedges: u64,
    /// Retries.
    #[serde(rename = "further")]
    pub retries: u64,
    /// Attempts over a budget, by reason.
    #[serde(rename = "over")]
    pub over_budget: BTreeMap<String, u64>,
    /// Connections opened.
    #[serde(rename = "opened")]
    pub connections_opened: u64,
    /// Bytes written.
    #[serde(rename = "bytes_out")]
    pub bytes_sent: u64,
    /// Bytes read.
    #[serde(rename = "bytes_in")]
    pub bytes_received: u64,
    /// What crossing added to a successful response on average, in milliseconds.
    #[serde(rename = "added_ms")]
    pub added_latency_ms: f64,
    /// How many responses that is the average of.
    #[serde(rename = "compared")]
    pub compared_responses: u64,
    /// Cost by the link's price.
    pub cost: f64,
}

impl LinkLine {
    /// Attempts over a budget, for any reason.
    pub fn over_budget_total(&self) -> u64 {
        self.over_budget.values().sum()
    }
}

/// Latencies of successful responses of one class on one link, over all builds.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct DelayLine {
    /// The agent's zone.
    pub from: String,
    /// The zone of the endpoints.
    pub to: String,
    /// The class.
    #[serde(rename = "lane")]
    pub class: String,
    /// How many responses took how long, in ascending order.
    #[serde(rename = "delays_us")]
    pub latencies: Vec<LatencyBucket>,
}

/// One bucket of a latency histogram, serialized as `[micros, count]`.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq)]
#[serde(from = "(u64, u64)", into = "(u64, u64)")]
pub struct LatencyBucket {
    /// Latency in microseconds: the upper bound of the bucket.
    pub micros: u64,
    /// Responses with that latency.
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
    /// The agent's zone.
    pub from: String,
    /// The zone of the endpoints.
    pub to: String,
    /// The class.
    #[serde(rename = "lane")]
    pub class: String,
    /// The build; absent in series over all builds.
    pub build: Option<u32>,
    /// Width of the bins, in seconds.
    pub width_s: f64,
    /// The non-empty bins, oldest first.
    pub bins: Vec<SeriesBin>,
}

/// The form in which a [`SeriesBin`] is serialized: its fields in their order.
type SerializedBin = (f64, u64, u64, u64, u64, f64);

/// One bin of a series, serialized as an array of its fields.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize, PartialEq)]
#[serde(from = "SerializedBin", into = "SerializedBin")]
pub struct SeriesBin {
    /// Unix time of its beginning, in seconds.
    pub start_s: f64,
    /// Attempts written completely.
    pub attempts: u64,
    /// Attempts over a budget.
    pub over_budget: u64,
    /// Bytes written.
    pub bytes_sent: u64,
    /// Bytes read.
    pub bytes_received: u64,
    /// Cost by the link's price.
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
