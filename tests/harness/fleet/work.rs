//! Counts of the endpoints that decisions and evaluations scan, and the bounds of these counts.

/// Maximum endpoints scanned per decision and end of its attempt, on average, for any size of the
/// fleet.
pub const MAX_SCANNED_PER_DECISION: f64 = 40.0;
/// Maximum endpoints scanned per evaluation on average, regardless of what changed. Does not include
/// those scanned for medians.
pub const MAX_SCANNED_PER_EVALUATION: f64 = 40.0;
/// Maximum endpoints scanned for the medians of one evaluation: a sample of up to 512 of each peer
/// group. With one endpoint type there are two groups, the two sides of a rollout.
pub const MAX_SCANNED_FOR_MEDIANS: f64 = 2.0 * 512.0;
/// Maximum endpoints scanned per evaluation for each endpoint that answered, is in slow start or may
/// be ejected.
pub const MAX_SCANNED_PER_CHANGE: f64 = 4.0;

/// How many endpoints were scanned, and how many changes accounted for that.
#[derive(Clone, Copy, Debug, Default)]
pub struct Work {
    /// Number of calls of `route`.
    pub decisions: u64,
    /// Endpoints scanned by `on_request`, `route` and `on_attempt_end`.
    pub scanned_by_decisions: u64,
    /// Number of calls of `poll`.
    pub evaluations: u64,
    /// Endpoints scanned by `poll`.
    pub scanned_by_evaluations: u64,
    /// Changed endpoints, summed over all evaluations: those that answered since the previous
    /// evaluation, those in slow start, and those that may still be ejected for a fault.
    pub changed: u64,
}

impl Work {
    /// Mean number of endpoints scanned per decision and end of its attempt.
    pub fn per_decision(&self) -> f64 {
        self.scanned_by_decisions as f64 / self.decisions.max(1) as f64
    }

    /// Mean number of endpoints scanned per evaluation.
    pub fn per_evaluation(&self) -> f64 {
        self.scanned_by_evaluations as f64 / self.evaluations.max(1) as f64
    }

    /// Mean number of changed endpoints per evaluation.
    pub fn changed_per_evaluation(&self) -> f64 {
        self.changed as f64 / self.evaluations.max(1) as f64
    }

    /// Panics if the decisions or the evaluations of a fleet of this size scanned more endpoints
    /// than the bounds allow.
    pub fn assert_bounded(&self, endpoints: usize, what: &str) {
        let decision = self.per_decision();
        assert!(
            decision <= MAX_SCANNED_PER_DECISION,
            "{what}: {decision} endpoints scanned per decision"
        );
        let evaluation = self.per_evaluation();
        let changed = self.changed_per_evaluation();
        let medians = MAX_SCANNED_FOR_MEDIANS.min(2.0 * endpoints as f64);
        let max_scanned = MAX_SCANNED_PER_EVALUATION + medians + MAX_SCANNED_PER_CHANGE * changed;
        assert!(
            evaluation <= max_scanned,
            "{what}: {evaluation} endpoints scanned per evaluation, with {changed} changed"
        );
    }
}
