//! Hints of other gateways that a server is faulty: it gets fewer requests until one of our own is served there.
//!
//! A hint never ejects a server, whoever gives it: the server counts as slower but for one request every few seconds,
//! and no longer once a request that was dispatched after the hint is served. Against one gateway that is wrong about
//! a server, or partitioned from it.

use crate::types::Millis;

/// A hint that is not repeated expires after this time.
const HINT_TTL_MS: u64 = 1_300;
/// How many times slower a server counts that other gateways find faulty.
const HINTED_SLOWNESS: f64 = 8.0;
/// After this time without a request the next one is dispatched there as if there were no hint.
const TRIAL_INTERVAL_MS: u64 = 5_000;

/// What other gateways report of one server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) enum FaultHint {
    /// Nothing.
    #[default]
    None,
    /// It is faulty.
    Suspected {
        since: Millis,
        until: Millis,
        penalized_until: Millis,
    },
    /// It is faulty, while our own request was served.
    Refuted { until: Millis },
}

impl FaultHint {
    /// Other gateways find the server faulty.
    pub(crate) fn record(&mut self, now: Millis) {
        let until = now + HINT_TTL_MS;
        let next = match self.at(now) {
            FaultHint::None => FaultHint::Suspected {
                since: now,
                until,
                penalized_until: now + TRIAL_INTERVAL_MS,
            },
            FaultHint::Suspected {
                since,
                penalized_until,
                ..
            } => FaultHint::Suspected {
                since,
                until,
                penalized_until,
            },
            FaultHint::Refuted { .. } => FaultHint::Refuted { until },
        };
        self.enter(next);
    }

    /// A request of our own is dispatched there.
    pub(crate) fn record_dispatch(&mut self, now: Millis) {
        if let FaultHint::Suspected {
            since,
            until,
            penalized_until,
        } = self.at(now)
        {
            if now >= penalized_until {
                self.enter(FaultHint::Suspected {
                    since,
                    until,
                    penalized_until: now + TRIAL_INTERVAL_MS,
                });
            }
        }
    }

    /// A request of our own that was dispatched at `dispatched_at` was served.
    pub(crate) fn refute(&mut self, dispatched_at: Millis, now: Millis) {
        if let FaultHint::Suspected { since, until, .. } = self.at(now) {
            if dispatched_at >= since {
                self.enter(FaultHint::Refuted { until });
            }
        }
    }

    /// How many times slower the server counts.
    pub(crate) fn slowness(self, now: Millis) -> f64 {
        match self.at(now) {
            FaultHint::Suspected {
                penalized_until, ..
            } if now < penalized_until => HINTED_SLOWNESS,
            _ => 1.0,
        }
    }

    /// The hint as of now.
    fn at(self, now: Millis) -> FaultHint {
        match self {
            FaultHint::Suspected { until, .. } | FaultHint::Refuted { until } if now >= until => {
                FaultHint::None
            }
            hint => hint,
        }
    }

    /// The one function that changes the hint.
    fn enter(&mut self, hint: FaultHint) {
        *self = hint;
    }
}

#[cfg(test)]
mod tests;
