//! Exponentially weighted moving averages.

/// An exponentially weighted moving average that starts as a plain mean.
///
/// With `n` samples so far, a sample `x` moves the value by `(x - value) * max(gain, 1 / n)`.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Ewma {
    /// The average.
    pub value: f64,
    /// Number of samples so far. A larger initial number gives the initial value the weight of that
    /// many samples.
    pub samples: f64,
}

impl Ewma {
    /// Updates the average with one sample.
    pub fn update(&mut self, sample: f64, gain: f64) {
        self.samples += 1.0;
        self.value += (sample - self.value) * gain.max(1.0 / self.samples);
    }
}
