//! Open-loop load on a real agent; latencies are measured from the time at which a request was due.

use serde_json::{json, Map, Value};
use std::net::SocketAddr;
use std::time::Duration;
use tulipwall_testkit::{Load, LoadReport};

/// If the 99th percentile of the delay between a request's due time and its sending exceeds this,
/// the load generator itself does not keep up.
const MAX_ISSUE_DELAY_MS: f64 = 5.0;
/// Number of times that a search runs a step while the load generator does not keep up; after that
/// the rate counts as not sustained.
const MAX_ATTEMPTS: usize = 4;
/// Share of the requests that must succeed for a rate to count as sustained.
const MIN_SUCCESS_SHARE: f64 = 0.99;
/// A search ends when the highest sustained rate is known within this ratio.
const SEARCH_PRECISION: f64 = 1.05;
/// Latency quantiles that reports contain.
const QUANTILES: [f64; 4] = [0.5, 0.9, 0.99, 0.999];

/// A request class of a load on an agent.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadClass {
    /// Name of the class in the agent's settings.
    pub name: String,
    /// Share of the load, relative to the other classes.
    pub weight: f64,
    /// How long clients wait for a response.
    pub deadline: Duration,
    /// Whether requests carry an idempotency key.
    pub keyed: bool,
}

/// Settings of a load on an agent.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Address of the agent.
    pub agent: SocketAddr,
    /// Request classes of the load.
    pub classes: Vec<LoadClass>,
    /// Maximum number of connections to the agent.
    pub connections: usize,
    /// Seed of the random arrival times and classes.
    pub seed: u64,
}

/// Measurements at one request rate.
#[derive(Clone, Debug)]
pub struct Step {
    /// Requests per second.
    pub rate: f64,
    /// How long the load lasted.
    pub duration: Duration,
    /// Outcomes and latencies of the requests.
    pub report: LoadReport,
}

impl Step {
    /// Returns whether the load generator did not keep up, so that the figures describe it rather
    /// than the agent.
    pub fn is_generator_late(&self) -> bool {
        self.report.send_delay_ms(0.99) > MAX_ISSUE_DELAY_MS
    }

    /// Returns the step as a JSON object.
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

    /// Formats the step as one line of text.
    pub fn summary(&self) -> String {
        let report = &self.report;
        let warning = if self.is_generator_late() {
            "  the load generator is late: its machine is the bottleneck"
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

    /// Returns whether the agent kept this p99 latency and at least [`MIN_SUCCESS_SHARE`] of the
    /// requests succeeded.
    fn sustains(&self, p99_ms: f64) -> bool {
        let report = &self.report;
        let required = MIN_SUCCESS_SHARE * report.requests as f64;
        report.quantile_ms(0.99) <= p99_ms && report.succeeded as f64 >= required
    }
}

impl Plan {
    /// Loads the agent at one rate, in requests per second, and waits for the end of the load.
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

    /// Searches for the highest rate between `from` and `to` at which the agent keeps this p99
    /// latency, to within a twentieth; each step is passed to `observe`. Returns `None` if the
    /// agent does not even sustain the lowest rate.
    ///
    /// A step in which the load generator was late says nothing about the agent and is repeated a
    /// limited number of times.
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
        // Double the rate until one is not sustained, then bisect the interval between.
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
