//! What is remembered of one request class.

use crate::interface::{Idempotency, RequestClass};
use crate::stats::LatencyHistogram;

/// Rules of a class, from the settings.
#[derive(Clone, Default)]
pub(crate) struct ClassRules {
    /// Seconds within which an answer earns its full weight.
    pub latency_objective: f64,
    /// What an answer in time is worth against other classes'.
    pub priority_weight: f64,
    /// Whether a request may run more than once.
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

/// Latencies of a class in seconds, as they are now.
#[derive(Clone, Default)]
pub(crate) struct LatencyEstimate {
    /// Answers that the mean is known from, up to a limit.
    pub samples: f64,
    /// Mean latency.
    pub mean: f64,
    /// The lowest mean of late.
    pub floor: f64,
    /// Median before the canary.
    pub median: f64,
    /// A high quantile.
    pub high_quantile: f64,
}

/// A sample of latencies that is cut short by requests which were never answered.
#[derive(Clone, Default)]
pub(crate) struct LatencySample {
    /// Latencies of the answers.
    pub histogram: LatencyHistogram,
    /// Seconds waited for answers that never came.
    pub unanswered_seconds: f64,
}

/// What is known of one class.
#[derive(Clone, Default)]
pub(crate) struct ClassState {
    /// Its rules.
    pub rules: ClassRules,
    /// Its latencies now.
    pub latency: LatencyEstimate,
    /// Answers in this evaluation interval.
    pub answered: f64,
    /// Answers a second.
    pub answer_rate: f64,
    /// Latencies while no build was being evaluated.
    pub baseline: LatencySample,
    /// Latencies of late, while one is.
    pub recent: LatencySample,
    /// Seconds for which the requests in flight have been waiting.
    pub in_flight_seconds: f64,
}

impl ClassState {
    /// Decays the recent sample, or the baseline towards `baseline_target` answers where no build
    /// is being evaluated.
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

    /// Begins the evaluation of another build. Where the build before it was `released`, the recent
    /// sample joins the baseline, and replaces it once it holds `enough` answers: what the fleet
    /// bore under that build, slow or not, is nothing that the next one does.
    pub fn freeze_baseline(&mut self, released: bool, enough: f64) {
        let recent = std::mem::take(&mut self.recent);
        if !released {
            return;
        }
        let kept = if recent.histogram.total() < enough {
            1.0
        } else {
            0.0
        };
        self.baseline
            .histogram
            .decay_and_add(kept, &recent.histogram);
        self.baseline.unanswered_seconds =
            self.baseline.unanswered_seconds * kept + recent.unanswered_seconds;
    }
}
