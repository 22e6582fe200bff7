//! Least squares of noisy observations, older ones decaying.

/// Ratio of its weight that an observation keeps with each later one.
const DECAY: f64 = 0.985;
/// An observation is taken as at most this many times the expected value, and at least its inverse, so that one
/// outlier does not bend the line.
const MAX_DEVIATION: f64 = 4.0;

/// Weighted sums for least squares.
#[derive(Debug, Clone, Copy, Default)]
struct Sums {
    weight: f64,
    x: f64,
    y: f64,
    xx: f64,
    xy: f64,
}

impl Sums {
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

/// `y = base + slope * x`, neither ever negative.
#[derive(Debug, Clone)]
pub(crate) struct LinearFit {
    prior: Sums,
    observed: Sums,
    base: f64,
    slope: f64,
}

impl LinearFit {
    /// Begins with a prior that counts as `weight` observations at 0 and as many at `far`.
    pub(crate) fn new(base: f64, slope: f64, far: f64, weight: f64) -> Self {
        let mut prior = Sums::default();
        prior.add(weight, 0.0, base);
        prior.add(weight, far, base + slope * far);
        Self {
            prior,
            observed: Sums::default(),
            base,
            slope,
        }
    }

    /// The value expected at `x`.
    pub(crate) fn at(&self, x: f64) -> f64 {
        self.base + self.slope * x
    }

    /// By how much the value grows with each unit of `x`.
    pub(crate) fn slope(&self) -> f64 {
        self.slope
    }

    /// Takes an observation into the fit.
    pub(crate) fn observe(&mut self, x: f64, y: f64) {
        let expected = self.at(x).max(f64::MIN_POSITIVE);
        let bounded = y.clamp(expected / MAX_DEVIATION, expected * MAX_DEVIATION);
        self.observed = self.observed.scaled(DECAY);
        self.observed.add(1.0, x, bounded);
        self.solve();
    }

    /// A line through the origin where the best one would have a negative base, a constant where a negative slope.
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
