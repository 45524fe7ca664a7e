//! Response latencies of one class: the usual one over all zones, and those of the local zone.

/// Gain of the moving average of usual latencies.
const USUAL_GAIN: f64 = 0.005;
/// A single latency counts at most as this many times the usual one.
const OUTLIER_FACTOR: f64 = 10.0;
/// Factor by which the best local latency rises with each response until it is met again.
const BEST_GROWTH: f64 = 1.0002;
/// Local latencies beyond this many times the best of late count as saturation ...
const SATURATED_OVER_BEST: f64 = 1.5;
/// ... but never below this fraction of the latency objective, and always above the next one: the
/// balancer begins to reject at 0.4.
const SATURATED_MIN_FRACTION: f64 = 0.15;
const SATURATED_MAX_FRACTION: f64 = 0.3;
/// Saturation ends below this fraction of the latency at which it began.
const SATURATION_HYSTERESIS: f64 = 0.7;

/// Latencies of one class, in seconds.
#[derive(Clone, Debug, Default)]
pub(super) struct ClassLatency {
    usual: Option<f64>,
    local: Option<f64>,
    /// The best local average of late; 0 before the first.
    best_local: f64,
    saturated: bool,
}

impl ClassLatency {
    /// Counts a response of any zone.
    pub(super) fn observe(&mut self, latency_s: f64) {
        let usual = self.usual.get_or_insert(latency_s);
        *usual += (latency_s.min(*usual * OUTLIER_FACTOR) - *usual) * USUAL_GAIN;
    }

    /// Sets the moving average of local responses.
    pub(super) fn set_local(&mut self, average_s: f64) {
        self.local = Some(average_s);
        self.best_local = if self.best_local == 0.0 {
            average_s
        } else {
            (self.best_local * BEST_GROWTH).min(average_s)
        };
    }

    pub(super) fn usual(&self) -> Option<f64> {
        self.usual
    }

    /// The best local average of late, where there was one.
    pub(super) fn best_local(&self) -> Option<f64> {
        Some(self.best_local).filter(|latency_s| *latency_s > 0.0)
    }

    /// Local latency against its best of late.
    pub(super) fn local_over_best(&self) -> Option<f64> {
        Some(self.local? / self.best_local()?)
    }

    /// Whether local responses are so slow that budgets must yield.
    pub(super) fn is_saturated(&self) -> bool {
        self.saturated
    }

    pub(super) fn update_saturation(&mut self, objective_s: f64) {
        let Some(local) = self.local else { return };
        let begins_at = (self.best_local * SATURATED_OVER_BEST).clamp(
            objective_s * SATURATED_MIN_FRACTION,
            objective_s * SATURATED_MAX_FRACTION,
        );
        let threshold = if self.saturated {
            begins_at * SATURATION_HYSTERESIS
        } else {
            begins_at
        };
        self.saturated = local > threshold;
    }
}
