//! Decaying counts of outcomes.

/// How many attempts ended how. Counts decay, so they are not whole numbers.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct OutcomeCounts {
    /// Attempts that succeeded.
    pub succeeded: f64,
    /// Attempts answered with an error.
    pub failed: f64,
    /// Successes that a client reported as wrong; each stands for those that nobody reported.
    pub reported: f64,
    /// Attempts that were never answered.
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

    /// These counts multiplied by `factor`.
    pub fn scaled(self, factor: f64) -> OutcomeCounts {
        self.scaled_plus(factor, &OutcomeCounts::default())
    }

    /// These counts less those of `other`, none below zero.
    pub fn minus(&self, other: &OutcomeCounts) -> OutcomeCounts {
        OutcomeCounts {
            succeeded: (self.succeeded - other.succeeded).max(0.0),
            failed: (self.failed - other.failed).max(0.0),
            reported: (self.reported - other.reported).max(0.0),
            lost: (self.lost - other.lost).max(0.0),
        }
    }

    /// These counts multiplied by `factor`, with those of `other` added.
    pub fn scaled_plus(mut self, factor: f64, other: &OutcomeCounts) -> OutcomeCounts {
        self.decay_and_add(factor, other);
        self
    }

    /// Sum over several counts.
    pub fn sum(counts: &[OutcomeCounts]) -> OutcomeCounts {
        let mut sum = OutcomeCounts::default();
        for count in counts {
            sum.decay_and_add(1.0, count);
        }
        sum
    }

    /// Attempts that failed or were lost.
    pub fn failed_or_lost(&self) -> f64 {
        self.failed + self.lost
    }

    /// Whether anything went wrong, by the answers or by the clients' reports.
    pub fn has_failures(&self) -> bool {
        self.failed_or_lost() + self.reported > 0.0
    }

    /// All attempts.
    pub fn total(&self) -> f64 {
        self.succeeded + self.failed + self.lost
    }
}
