//! Load on a real agent: open loop, times counted from when a request was due.

use serde_json::{json, Value};
use std::net::SocketAddr;
use std::time::Duration;
use tulipwall_testkit::{Load, LoadReport};

/// A request that goes out later than this after it was due shows that the load itself does not
/// keep up.
const LATE_MS: f64 = 5.0;
/// Plays of a step of a search in which the load did not keep up, before its rate counts as not
/// kept.
const TRIES: usize = 4;

/// What is asked of an agent.
#[derive(Clone, Debug)]
pub struct Plan {
    pub agent: SocketAddr,
    pub classes: Vec<(String, f64, Duration, bool)>,
    pub connections: usize,
    pub seed: u64,
}

/// One step at one rate.
#[derive(Clone, Debug)]
pub struct Step {
    pub rate: f64,
    pub span: Duration,
    pub answered: LoadReport,
}

impl Step {
    /// The load did not keep up, so its figures are its own.
    pub fn limited(&self) -> bool {
        self.answered.send_delay_ms(0.99) > LATE_MS
    }

    pub fn value(&self) -> Value {
        let a = &self.answered;
        let quantiles =
            [0.5, 0.9, 0.99, 0.999].map(|q| (format!("p{}", q * 100.0), json!(a.quantile_ms(q))));
        json!({"rate": self.rate, "span_s": self.span.as_secs_f64(), "asked": a.requests, "satisfied": a.succeeded,
            "denied": a.rejected, "failed": a.failed, "unanswered": a.unanswered,
            "ms": quantiles.into_iter().collect::<serde_json::Map<_, _>>(),
            "issued_late_p99_ms": a.send_delay_ms(0.99), "load_is_the_bottleneck": self.limited()})
    }

    pub fn line(&self) -> String {
        let a = &self.answered;
        format!(
            "{:8.0}/s  satisfied {:7}  denied {:5}  failed {:5}  unanswered {:4}  p50 {:8.2} ms  p99 {:8.2} ms{}",
            self.rate,
            a.succeeded,
            a.rejected,
            a.failed,
            a.unanswered,
            a.quantile_ms(0.5),
            a.quantile_ms(0.99),
            if self.limited() { "  the load itself is late: its machine is the bottleneck" } else { "" },
        )
    }

    /// Whether the agent kept to it: the quantile, and at most a hundredth not satisfied.
    fn keeps(&self, p99_ms: f64) -> bool {
        let a = &self.answered;
        a.quantile_ms(0.99) <= p99_ms && a.succeeded as f64 >= 0.99 * a.requests as f64
    }
}

impl Plan {
    /// Plays one step.
    pub fn step(&self, rate: f64, span: Duration) -> Step {
        let load = Load {
            agent: self.agent,
            rate,
            duration: span,
            classes: self.classes.clone(),
            connections: self.connections,
            seed: self.seed ^ rate.to_bits(),
        };
        Step {
            rate,
            span,
            answered: load.run(),
        }
    }

    /// The highest rate that keeps this p99, to within a twentieth, between two rates; each step is
    /// told. One in which the load itself was late says nothing of the agent and is played again,
    /// some times at most. Nothing where not even the lowest rate is kept.
    pub fn limit(
        &self,
        from: f64,
        to: f64,
        span: Duration,
        p99_ms: f64,
        mut tell: impl FnMut(&Step),
    ) -> Option<f64> {
        let mut keeps = |rate: f64| {
            let step = || {
                let step = self.step(rate, span);
                tell(&step);
                step
            };
            let in_time = std::iter::repeat_with(step)
                .take(TRIES)
                .find(|s| !s.limited());
            in_time.is_some_and(|s| s.keeps(p99_ms))
        };
        if !keeps(from) {
            return None;
        }
        let (mut good, mut bad) = (from, None);
        // Doubling up to the first that fails, then halving what lies between.
        while bad.is_none_or(|b: f64| b / good > 1.05) {
            let next = bad.map_or((good * 2.0).min(to), |b| (good * b).sqrt());
            if keeps(next) {
                good = next;
                if bad.is_none() && next >= to {
                    break;
                }
            } else {
                bad = Some(next);
            }
        }
        Some(good)
    }
}
