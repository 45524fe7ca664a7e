//! Moving averages.

/// An exponentially weighted moving average that starts as a plain mean.
///
/// With `n` samples so far, a sample `x` moves the value by `(x - value) * max(gain, 1 / n)`.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Ewma {
    /// The average.
    pub value: f64,
    /// Samples seen; a larger start value makes the initial value count as so many samples.
    pub samples: f64,
}

impl Ewma {
    /// Takes in one sample.
    pub fn update(&mut self, sample: f64, gain: f64) {
        self.samples += 1.0;
        self.value += (sample - self.value) * gain.max(1.0 / self.samples);
    }
}
