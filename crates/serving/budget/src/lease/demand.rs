//! How fast a program uses units through this limiter.

use crate::Millis;

/// A refill covers the demand of this long to come.
const HORIZON_MS: u64 = 10_000;
/// Demand is measured over this long at least: against a rate read out of a program's first moments.
const MIN_SPAN_MS: u64 = 1_000;

/// Units used since the program's first turn here.
#[derive(Clone, Debug)]
pub(crate) struct Demand {
    used: u64,
    since: Millis,
}

impl Demand {
    pub(crate) fn new(now: Millis) -> Self {
        Self {
            used: 0,
            since: now,
        }
    }

    pub(crate) fn add(&mut self, units: u64) {
        self.used = self.used.saturating_add(units);
    }

    /// The size of a refill: max(1, observed rate x horizon).
    pub(crate) fn refill(&self, now: Millis) -> u64 {
        let span = now.saturating_sub(self.since).max(MIN_SPAN_MS);
        (self.used.saturating_mul(HORIZON_MS) / span).max(1)
    }
}
