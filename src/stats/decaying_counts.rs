//! Many counts that decay together.

/// Units of a count beyond which all counts are scaled anew, far from the largest number.
const MAX_UNIT: f64 = 1e100;

/// Counts that decay together, and their sum. A decay raises what later additions count for, in
/// place of a walk over all counts.
#[derive(Clone)]
pub(crate) struct DecayingCounts {
    /// By index: the count in units.
    scaled: Vec<f64>,
    /// What an addition of one counts for now.
    unit: f64,
    /// Sum of the counts in units. Each addition errs by the rounding of the sum, until it is
    /// summed up anew.
    scaled_sum: f64,
}

impl Default for DecayingCounts {
    fn default() -> DecayingCounts {
        DecayingCounts::new(0)
    }
}

impl DecayingCounts {
    /// So many counts of zero.
    pub fn new(counts: usize) -> DecayingCounts {
        DecayingCounts {
            scaled: vec![0.0; counts],
            unit: 1.0,
            scaled_sum: 0.0,
        }
    }

    /// Adds one to a count. One beyond the end changes nothing.
    pub fn increment(&mut self, index: usize) {
        if let Some(count) = self.scaled.get_mut(index) {
            *count += self.unit;
            self.scaled_sum += self.unit;
        }
    }

    /// Multiplies all counts by `factor`, above 0 and at most 1.
    pub fn decay(&mut self, factor: f64) {
        self.unit /= factor;
        if self.unit > MAX_UNIT {
            self.rescale();
        }
    }

    /// A count, 0 beyond the end.
    pub fn get(&self, index: usize) -> f64 {
        self.scaled
            .get(index)
            .map_or(0.0, |count| count / self.unit)
    }

    /// Sum of all counts.
    pub fn sum(&self) -> f64 {
        self.scaled_sum / self.unit
    }

    /// Changes the counts as a whole, as where their indices move.
    pub fn change_all(&mut self, change: impl FnOnce(&mut Vec<f64>)) {
        self.rescale();
        change(&mut self.scaled);
        self.scaled_sum = self.scaled.iter().sum();
    }

    /// Counts in whole requests again, and sums them up. What is too small for a normal number is
    /// dropped, as arithmetic on such is slow.
    fn rescale(&mut self) {
        for count in &mut self.scaled {
            *count /= self.unit;
            if !count.is_normal() {
                *count = 0.0;
            }
        }
        self.unit = 1.0;
        self.scaled_sum = self.scaled.iter().sum();
    }
}
