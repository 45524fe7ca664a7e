//! Response latencies of one class: the typical latency over all zones, and the latency of the
//! local zone.

/// Gain of the moving average that yields the typical latency.
const TYPICAL_GAIN: f64 = 0.005;
/// A single latency counts as at most this many times the typical one.
const OUTLIER_FACTOR: f64 = 10.0;
/// Factor by which the best local latency grows with each response, until the local average is as
/// low again.
const BEST_GROWTH: f64 = 1.0002;
/// The local zone is saturated at latencies above this many times the best recent one, within the
/// two bounds below.
const SATURATED_OVER_BEST: f64 = 1.5;
/// Bounds of the latency at which the local zone is saturated, as fractions of the latency
/// objective. The upper bound is below 0.4, where the balancer begins to reject requests.
const SATURATED_MIN_FRACTION: f64 = 0.15;
const SATURATED_MAX_FRACTION: f64 = 0.3;
/// Saturation ends below this fraction of the latency at which it begins.
const SATURATION_HYSTERESIS: f64 = 0.7;

/// Moving averages of the response latencies of one class, in seconds.
#[derive(Clone, Debug, Default)]
pub(super) struct ClassLatency {
    /// Over all zones; `None` before the first response.
    typical: Option<f64>,
    /// In the local zone; `None` before the first local response.
    local: Option<f64>,
    /// The lowest recent local average; 0 before the first local response.
    best_local: f64,
    saturated: bool,
}

impl ClassLatency {
    /// Adds the latency of a response from any zone.
    pub(super) fn observe(&mut self, latency_s: f64) {
        let typical = self.typical.get_or_insert(latency_s);
        *typical += (latency_s.min(*typical * OUTLIER_FACTOR) - *typical) * TYPICAL_GAIN;
    }

    /// Sets the moving average of the latencies of local responses.
    pub(super) fn set_local(&mut self, average_s: f64) {
        self.local = Some(average_s);
        self.best_local = if self.best_local == 0.0 {
            average_s
        } else {
            (self.best_local * BEST_GROWTH).min(average_s)
        };
    }

    pub(super) fn typical(&self) -> Option<f64> {
        self.typical
    }

    /// The lowest recent local average; `None` before the first local response.
    pub(super) fn best_local(&self) -> Option<f64> {
        Some(self.best_local).filter(|latency_s| *latency_s > 0.0)
    }

    /// The ratio of the local average to its lowest recent value.
    pub(super) fn local_over_best(&self) -> Option<f64> {
        Some(self.local? / self.best_local()?)
    }

    /// Whether local responses are so slow that requests may cross regardless of budgets.
    pub(super) fn is_saturated(&self) -> bool {
        self.saturated
    }

    pub(super) fn update_saturation(&mut self, objective_s: f64) {
        let Some(local) = self.local else { return };
        let start_threshold = (self.best_local * SATURATED_OVER_BEST).clamp(
            objective_s * SATURATED_MIN_FRACTION,
            objective_s * SATURATED_MAX_FRACTION,
        );
        let threshold = if self.saturated {
            start_threshold * SATURATION_HYSTERESIS
        } else {
            start_threshold
        };
        self.saturated = local > threshold;
    }
}
