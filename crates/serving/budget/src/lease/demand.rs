//! The rate at which a program uses units through this limiter.

use crate::Millis;

/// A refill covers the expected demand of this period.
const HORIZON_MS: u64 = 10_000;
/// Minimum period over which the rate is computed, since a program's first moments give no meaningful rate.
const MIN_SPAN_MS: u64 = 1_000;

/// Units that a program used through this limiter, and the time since which they are counted.
#[derive(Clone, Debug)]
pub(crate) struct Demand {
    used: u64,
    since: Millis,
}

impl Demand {
    /// A program that has used no units.
    pub(crate) fn new(now: Millis) -> Self {
        Self {
            used: 0,
            since: now,
        }
    }

    /// Counts used units.
    pub(crate) fn add(&mut self, units: u64) {
        self.used = self.used.saturating_add(units);
    }

    /// Units to request in a refill: max(1, observed rate x horizon).
    pub(crate) fn refill_size(&self, now: Millis) -> u64 {
        let span = now.saturating_sub(self.since).max(MIN_SPAN_MS);
        (self.used.saturating_mul(HORIZON_MS) / span).max(1)
    }
}
