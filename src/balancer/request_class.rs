//! What is assumed of a request class before its first answers.

use crate::interface::RequestClass;
use crate::model::{ClassRules, ClassState, LatencyEstimate};

/// Part of the latency objective that an answer is taken to need before any has come.
const INITIAL_MEAN_SHARE: f64 = 0.15;
/// Median latency against the mean, before any answer.
const INITIAL_MEDIAN_RATIO: f64 = 0.7;
/// High quantile of the latency against the mean, before any answer.
const INITIAL_HIGH_RATIO: f64 = 2.0;
/// Answers that the first guess is worth.
const INITIAL_SAMPLES: f64 = 5.0;

/// A class of which nothing was answered yet.
pub(super) fn initial(class: &RequestClass) -> ClassState {
    let rules = ClassRules::from(class);
    let mean = rules.latency_objective * INITIAL_MEAN_SHARE;
    ClassState {
        rules,
        latency: LatencyEstimate {
            samples: INITIAL_SAMPLES,
            mean,
            floor: mean,
            median: mean * INITIAL_MEDIAN_RATIO,
            high_quantile: mean * INITIAL_HIGH_RATIO,
        },
        ..ClassState::default()
    }
}

/// Whether nothing was answered yet.
pub(super) fn is_initial(class: &ClassState) -> bool {
    class.latency.samples <= INITIAL_SAMPLES
}
