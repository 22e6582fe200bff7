//! A least-squares fit of a line to noisy observations, with exponential decay of older ones.

/// Factor on the weight of earlier observations with each new one.
const DECAY: f64 = 0.985;
/// An observation is clamped to at most this multiple of the expected value, and to at least the expected value
/// divided by it, so that one outlier does not bend the line.
const MAX_DEVIATION: f64 = 4.0;

/// The weighted sums from which the least-squares line is computed.
#[derive(Debug, Clone, Copy, Default)]
struct WeightedSums {
    weight: f64,
    x: f64,
    y: f64,
    xx: f64,
    xy: f64,
}

impl WeightedSums {
    fn add(&mut self, weight: f64, x: f64, y: f64) {
        self.weight += weight;
        self.x += weight * x;
        self.y += weight * y;
        self.xx += weight * x * x;
        self.xy += weight * x * y;
    }

    fn scaled(self, factor: f64) -> Self {
        Self {
            weight: self.weight * factor,
            x: self.x * factor,
            y: self.y * factor,
            xx: self.xx * factor,
            xy: self.xy * factor,
        }
    }

    fn plus(self, other: Self) -> Self {
        Self {
            weight: self.weight + other.weight,
            x: self.x + other.x,
            y: self.y + other.y,
            xx: self.xx + other.xx,
            xy: self.xy + other.xy,
        }
    }
}

/// The line `y = base + slope * x`; `base` and `slope` are never negative.
#[derive(Debug, Clone)]
pub(crate) struct LinearFit {
    prior: WeightedSums,
    observed: WeightedSums,
    base: f64,
    slope: f64,
}

impl LinearFit {
    /// Starts with a prior line that has the weight of `weight` observations at 0 and as many at `far_x`.
    pub(crate) fn new(base: f64, slope: f64, far_x: f64, weight: f64) -> Self {
        let mut prior = WeightedSums::default();
        prior.add(weight, 0.0, base);
        prior.add(weight, far_x, base + slope * far_x);
        Self {
            prior,
            observed: WeightedSums::default(),
            base,
            slope,
        }
    }

    /// Returns the expected value at `x`.
    pub(crate) fn predict(&self, x: f64) -> f64 {
        self.base + self.slope * x
    }

    /// Returns the increase of the value per unit of `x`.
    pub(crate) fn slope(&self) -> f64 {
        self.slope
    }

    /// Adds an observation and fits the line again.
    pub(crate) fn observe(&mut self, x: f64, y: f64) {
        let expected = self.predict(x).max(f64::MIN_POSITIVE);
        let bounded = y.clamp(expected / MAX_DEVIATION, expected * MAX_DEVIATION);
        self.observed = self.observed.scaled(DECAY);
        self.observed.add(1.0, x, bounded);
        self.solve();
    }

    /// Fits the line: a constant if the best slope is not positive, a line through the origin if the best base is
    /// negative.
    fn solve(&mut self) {
        let sums = self.prior.plus(self.observed);
        let spread = sums.weight * sums.xx - sums.x * sums.x;
        let slope = if spread > 0.0 {
            (sums.weight * sums.xy - sums.x * sums.y) / spread
        } else {
            0.0
        };
        if slope <= 0.0 {
            self.slope = 0.0;
            self.base = (sums.y / sums.weight).max(0.0);
            return;
        }
        let base = (sums.y - slope * sums.x) / sums.weight;
        if base >= 0.0 {
            self.slope = slope;
            self.base = base;
        } else {
            self.slope = sums.xy / sums.xx;
            self.base = 0.0;
        }
    }
}
