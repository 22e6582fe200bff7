//! An exponentially weighted moving average.

/// A mean in which the weight of an observation decays with each later one.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Ewma {
    value: f64,
    gain: f64,
}

impl Ewma {
    /// Starts at `value`; each observation moves the mean by `gain` times its distance from the observation.
    pub(crate) fn new(value: f64, gain: f64) -> Self {
        Self { value, gain }
    }

    /// Returns the current mean.
    pub(crate) fn get(&self) -> f64 {
        self.value
    }

    /// Adds an observation to the mean.
    pub(crate) fn observe(&mut self, value: f64) {
        self.value += self.gain * (value - self.value);
    }
}
