//! An exponentially weighted moving average.

/// A mean in which older values decay.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Ewma {
    value: f64,
    gain: f64,
}

impl Ewma {
    /// Begins at `value`; each observation moves it by `gain` of the distance.
    pub(crate) fn new(value: f64, gain: f64) -> Self {
        Self { value, gain }
    }

    /// The mean.
    pub(crate) fn get(&self) -> f64 {
        self.value
    }

    /// Takes an observation into the mean.
    pub(crate) fn observe(&mut self, value: f64) {
        self.value += self.gain * (value - self.value);
    }
}
