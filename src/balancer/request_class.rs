//! Initial state of a request class, before its first responses.

use crate::interface::RequestClass;
use crate::model::{ClassRules, ClassState, LatencyEstimate};

/// Initial mean latency, as a share of the latency objective.
const INITIAL_MEAN_SHARE: f64 = 0.15;
/// Initial ratio of the median latency to the mean.
const INITIAL_MEDIAN_RATIO: f64 = 0.7;
/// Initial ratio of the high latency quantile to the mean.
const INITIAL_HIGH_RATIO: f64 = 2.0;
/// Number of responses that the initial estimate counts as.
const INITIAL_SAMPLES: f64 = 5.0;

/// State of a class that has had no responses yet.
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

/// Whether a class has had no responses yet.
pub(super) fn is_initial(class: &ClassState) -> bool {
    class.latency.samples <= INITIAL_SAMPLES
}
