//! Counts that decay together at a constant cost.

/// Value of `unit` above which all counts are rescaled. Far below the largest `f64`.
const MAX_UNIT: f64 = 1e100;

/// Counts that decay together, and their sum. A decay does not change the stored counts. Instead it
/// raises the value that later additions have.
#[derive(Clone)]
pub(crate) struct DecayingCounts {
    /// Counts in multiples of `unit`, by index.
    scaled: Vec<f64>,
    /// Stored value that currently represents a count of one.
    unit: f64,
    /// Sum of the counts in multiples of `unit`. Each addition adds a rounding error, until
    /// `rescale` computes the sum anew.
    scaled_sum: f64,
}

impl Default for DecayingCounts {
    fn default() -> DecayingCounts {
        DecayingCounts::new(0)
    }
}

impl DecayingCounts {
    /// Creates this number of counts, all zero.
    pub fn new(counts: usize) -> DecayingCounts {
        DecayingCounts {
            scaled: vec![0.0; counts],
            unit: 1.0,
            scaled_sum: 0.0,
        }
    }

    /// Adds one to a count. An index out of range has no effect.
    pub fn increment(&mut self, index: usize) {
        if let Some(count) = self.scaled.get_mut(index) {
            *count += self.unit;
            self.scaled_sum += self.unit;
        }
    }

    /// Multiplies all counts by `factor`, which must be above 0 and at most 1.
    pub fn decay(&mut self, factor: f64) {
        self.unit /= factor;
        if self.unit > MAX_UNIT {
            self.rescale();
        }
    }

    /// Returns a count, or 0 if the index is out of range.
    pub fn get(&self, index: usize) -> f64 {
        self.scaled
            .get(index)
            .map_or(0.0, |count| count / self.unit)
    }

    /// Returns the sum of all counts.
    pub fn sum(&self) -> f64 {
        self.scaled_sum / self.unit
    }

    /// Applies `change` to all counts at once, for example to renumber them.
    pub fn change_all(&mut self, change: impl FnOnce(&mut Vec<f64>)) {
        self.rescale();
        change(&mut self.scaled);
        self.scaled_sum = self.scaled.iter().sum();
    }

    /// Resets the unit to 1 and recomputes the sum. Sets counts that are too small for a normal
    /// floating-point number to zero, because arithmetic with subnormal numbers is slow.
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
