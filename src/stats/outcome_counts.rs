//! Decaying counts of outcomes.

/// Numbers of attempts by outcome. The counts decay, so they are not integers.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct OutcomeCounts {
    /// Attempts that succeeded.
    pub succeeded: f64,
    /// Attempts to which the endpoint responded with an error.
    pub failed: f64,
    /// Successful attempts that a client reported as wrong, scaled up for errors that nobody
    /// reported.
    pub reported: f64,
    /// Attempts that never got a response.
    pub lost: f64,
}

impl OutcomeCounts {
    /// Multiplies all counts by `factor`.
    pub fn decay(&mut self, factor: f64) {
        self.decay_and_add(factor, &OutcomeCounts::default());
    }

    /// Multiplies all counts by `factor`, then adds those of `other`.
    pub fn decay_and_add(&mut self, factor: f64, other: &OutcomeCounts) {
        self.succeeded = self.succeeded * factor + other.succeeded;
        self.failed = self.failed * factor + other.failed;
        self.reported = self.reported * factor + other.reported;
        self.lost = self.lost * factor + other.lost;
    }

    /// Returns these counts multiplied by `factor`.
    pub fn scaled(self, factor: f64) -> OutcomeCounts {
        self.scaled_plus(factor, &OutcomeCounts::default())
    }

    /// Returns these counts minus those of `other`, but at least zero each.
    pub fn minus(&self, other: &OutcomeCounts) -> OutcomeCounts {
        OutcomeCounts {
            succeeded: (self.succeeded - other.succeeded).max(0.0),
            failed: (self.failed - other.failed).max(0.0),
            reported: (self.reported - other.reported).max(0.0),
            lost: (self.lost - other.lost).max(0.0),
        }
    }

    /// Returns these counts multiplied by `factor`, plus those of `other`.
    pub fn scaled_plus(mut self, factor: f64, other: &OutcomeCounts) -> OutcomeCounts {
        self.decay_and_add(factor, other);
        self
    }

    /// Returns the sum of several counts.
    pub fn sum(counts: &[OutcomeCounts]) -> OutcomeCounts {
        let mut sum = OutcomeCounts::default();
        for count in counts {
            sum.decay_and_add(1.0, count);
        }
        sum
    }

    /// Returns the number of attempts that failed or were lost.
    pub fn failed_or_lost(&self) -> f64 {
        self.failed + self.lost
    }

    /// Returns whether there are failed or lost attempts or client-reported errors.
    pub fn has_failures(&self) -> bool {
        self.failed_or_lost() + self.reported > 0.0
    }

    /// Returns the number of all attempts.
    pub fn total(&self) -> f64 {
        self.succeeded + self.failed + self.lost
    }
}
