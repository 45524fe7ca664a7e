//! Load on a real agent: open loop, with latencies counted from when a request was due.

use serde_json::{json, Map, Value};
use std::net::SocketAddr;
use std::time::Duration;
use tulipwall_testkit::{Load, LoadReport};

/// A request that is sent later than this after it was due shows that the load generator itself
/// does not keep up.
const MAX_ISSUE_DELAY_MS: f64 = 5.0;
/// How often a step of a search is played in which the load generator did not keep up, before its
/// rate counts as not kept.
const MAX_ATTEMPTS: usize = 4;
/// Share of the requests that have to succeed for a rate to count as kept.
const MIN_SUCCESS_SHARE: f64 = 0.99;
/// A search ends when the highest rate is known within this ratio.
const SEARCH_PRECISION: f64 = 1.05;
/// Quantiles of the latency in reports.
const QUANTILES: [f64; 4] = [0.5, 0.9, 0.99, 0.999];

/// A request class of a load.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadClass {
    /// Name in the agent's settings.
    pub name: String,
    /// Share of the load, relative to the other classes.
    pub weight: f64,
    /// How long clients wait.
    pub deadline: Duration,
    /// Whether requests carry an idempotency key.
    pub keyed: bool,
}

/// How an agent is loaded.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Address of the agent.
    pub agent: SocketAddr,
    /// Request classes of the load.
    pub classes: Vec<LoadClass>,
    /// Most connections to the agent.
    pub connections: usize,
    /// Seed of arrival times and classes.
    pub seed: u64,
}

/// What was measured at one rate.
#[derive(Clone, Debug)]
pub struct Step {
    /// Requests a second.
    pub rate: f64,
    /// How long the load lasted.
    pub duration: Duration,
    /// Outcomes and latencies of the requests.
    pub report: LoadReport,
}

impl Step {
    /// Whether the load generator did not keep up, so that the figures are its own.
    pub fn is_generator_late(&self) -> bool {
        self.report.send_delay_ms(0.99) > MAX_ISSUE_DELAY_MS
    }

    /// The step as JSON.
    pub fn to_json(&self) -> Value {
        let report = &self.report;
        let quantiles: Map<String, Value> = QUANTILES
            .iter()
            .map(|q| (format!("p{}", q * 100.0), json!(report.quantile_ms(*q))))
            .collect();
        json!({
            "rate": self.rate,
            "span_s": self.duration.as_secs_f64(),
            "asked": report.requests,
            "satisfied": report.succeeded,
            "denied": report.rejected,
            "failed": report.failed,
            "unanswered": report.unanswered,
            "ms": quantiles,
            "issued_late_p99_ms": report.send_delay_ms(0.99),
            "load_is_the_bottleneck": self.is_generator_late(),
        })
    }

    /// The step as one line of text.
    pub fn summary(&self) -> String {
        let report = &self.report;
        let warning = if self.is_generator_late() {
            "  the load itself is late: its machine is the bottleneck"
        } else {
            ""
        };
        format!(
            "{:8.0}/s  satisfied {:7}  denied {:5}  failed {:5}  unanswered {:4}  p50 {:8.2} ms  p99 {:8.2} ms{warning}",
            self.rate,
            report.succeeded,
            report.rejected,
            report.failed,
            report.unanswered,
            report.quantile_ms(0.5),
            report.quantile_ms(0.99),
        )
    }

    /// Whether the agent kept this p99, and nearly all requests succeeded.
    fn sustains(&self, p99_ms: f64) -> bool {
        let report = &self.report;
        let required = MIN_SUCCESS_SHARE * report.requests as f64;
        report.quantile_ms(0.99) <= p99_ms && report.succeeded as f64 >= required
    }
}

impl Plan {
    /// Loads the agent at one rate.
    pub fn step(&self, rate: f64, duration: Duration) -> Step {
        let classes = self
            .classes
            .iter()
            .map(|c| (c.name.clone(), c.weight, c.deadline, c.keyed))
            .collect();
        let load = Load {
            agent: self.agent,
            rate,
            duration,
            classes,
            connections: self.connections,
            seed: self.seed ^ rate.to_bits(),
        };
        Step {
            rate,
            duration,
            report: load.run(),
        }
    }

    /// Searches the highest rate between `from` and `to` that keeps this p99, to within a
    /// twentieth; each step is passed to `observe`. None where not even the lowest rate is kept.
    ///
    /// A step in which the load generator was late says nothing of the agent and is played again,
    /// some times at most.
    pub fn highest_rate(
        &self,
        from: f64,
        to: f64,
        duration: Duration,
        p99_ms: f64,
        mut observe: impl FnMut(&Step),
    ) -> Option<f64> {
        let mut sustains = |rate: f64| {
            let step = || {
                let step = self.step(rate, duration);
                observe(&step);
                step
            };
            let in_time = std::iter::repeat_with(step)
                .take(MAX_ATTEMPTS)
                .find(|step| !step.is_generator_late());
            in_time.is_some_and(|step| step.sustains(p99_ms))
        };
        if !sustains(from) {
            return None;
        }
        let mut sustained = from;
        let mut unsustained: Option<f64> = None;
        // Doubling up to the first rate that is not kept, then bisecting what lies between.
        while unsustained.is_none_or(|rate| rate / sustained > SEARCH_PRECISION) {
            let next = match unsustained {
                Some(rate) => (rate * sustained).sqrt(),
                None => (sustained * 2.0).min(to),
            };
            if !sustains(next) {
                unsustained = Some(next);
                continue;
            }
            sustained = next;
            if unsustained.is_none() && next >= to {
                break;
            }
        }
        Some(sustained)
    }
}
