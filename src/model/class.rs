//! The state of one request class.

use crate::interface::{Idempotency, RequestClass};
use crate::stats::LatencyHistogram;

/// Rules of a class, taken from the settings.
#[derive(Clone, Default)]
pub(crate) struct ClassRules {
    /// Latency in seconds up to which a response earns the full priority weight.
    pub latency_objective: f64,
    /// Value of a response within the latency objective, relative to other classes.
    pub priority_weight: f64,
    /// Whether a request may be executed more than once.
    pub idempotency: Idempotency,
}

impl From<&RequestClass> for ClassRules {
    fn from(class: &RequestClass) -> ClassRules {
        ClassRules {
            latency_objective: class.latency_objective.as_secs_f64(),
            priority_weight: class.priority_weight,
            idempotency: class.idempotency,
        }
    }
}

/// Current estimates of the latencies of a class, in seconds.
#[derive(Clone, Default)]
pub(crate) struct LatencyEstimate {
    /// Number of responses that the mean is based on, up to a limit.
    pub samples: f64,
    /// Mean latency.
    pub mean: f64,
    /// Lowest recent value of the mean. Grows slowly until the mean is lower.
    pub floor: f64,
    /// Median from the time before the canary. Not updated while a canary runs.
    pub median: f64,
    /// Estimate of a high quantile.
    pub high_quantile: f64,
}

/// A sample of latencies that is censored: requests that never got a response count by their
/// waiting time only.
#[derive(Clone, Default)]
pub(crate) struct LatencySample {
    /// Latencies of the responses.
    pub histogram: LatencyHistogram,
    /// Total time spent waiting for responses that never came, in seconds.
    pub unanswered_seconds: f64,
}

/// State of one request class.
#[derive(Clone, Default)]
pub(crate) struct ClassState {
    /// Its rules.
    pub rules: ClassRules,
    /// Current latency estimates.
    pub latency: LatencyEstimate,
    /// Number of responses in the current evaluation interval.
    pub answered: f64,
    /// Responses per second.
    pub answer_rate: f64,
    /// Latencies from the time when no build was being evaluated.
    pub baseline: LatencySample,
    /// Recent latencies while a build is being evaluated.
    pub recent: LatencySample,
    /// Total time for which the requests in flight have been waiting, in seconds.
    pub in_flight_seconds: f64,
}

impl ClassState {
    /// While a build is being evaluated, decays the recent sample. Otherwise decays the baseline
    /// towards `baseline_target` responses and clears the recent sample.
    pub fn decay_latencies(
        &mut self,
        is_evaluating: bool,
        baseline_target: f64,
        baseline_min_factor: f64,
        recent_factor: f64,
    ) {
        if !is_evaluating {
            let before = self.baseline.histogram.total();
            self.baseline
                .histogram
                .decay_towards(baseline_target, baseline_min_factor);
            self.baseline.unanswered_seconds *= self.baseline.histogram.total() / before.max(1e-9);
        }
        let factor = if is_evaluating { recent_factor } else { 0.0 };
        self.recent.histogram.decay(factor);
        self.recent.unanswered_seconds *= factor;
    }

    /// Starts the evaluation of another build. If the previous build was `released`, its recent
    /// sample is added to the baseline, or replaces the baseline if it holds at least `min_samples`
    /// responses. Whether the fleet was slow or fast under the previous build is not an effect of
    /// the next one.
    pub fn freeze_baseline(&mut self, released: bool, min_samples: f64) {
        let recent = std::mem::take(&mut self.recent);
        if !released {
            return;
        }
        let baseline_factor = if recent.histogram.total() < min_samples {
            1.0
        } else {
            0.0
        };
        self.baseline
            .histogram
            .decay_and_add(baseline_factor, &recent.histogram);
        self.baseline.unanswered_seconds =
            self.baseline.unanswered_seconds * baseline_factor + recent.unanswered_seconds;
    }
}
