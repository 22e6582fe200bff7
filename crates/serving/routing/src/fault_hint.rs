//! Hints of other gateways that a server is faulty: it gets fewer requests until it serves a request of this gateway.
//!
//! A hint never ejects a server, because the other gateway may be wrong about it or partitioned from it. The server
//! counts as slower until a request dispatched after the hint is served, but gets one trial request every few seconds.

use crate::types::Millis;

/// Time after which a hint expires unless it is repeated.
const HINT_TTL_MS: u64 = 1_300;
/// Slowness factor of a server that other gateways report as faulty.
const HINTED_SLOWNESS: f64 = 8.0;
/// Interval after which a trial request is dispatched to the server as if there were no hint.
const TRIAL_INTERVAL_MS: u64 = 5_000;

/// Whether other gateways report one server as faulty.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) enum FaultHint {
    /// No other gateway reports a fault.
    #[default]
    None,
    /// Other gateways report a fault, and this gateway has no evidence against it.
    Suspected {
        since: Millis,
        until: Millis,
        penalized_until: Millis,
    },
    /// Other gateways report a fault, but a request of this gateway was served.
    Refuted { until: Millis },
}

impl FaultHint {
    /// Records a hint of another gateway that the server is faulty.
    pub(crate) fn record(&mut self, now: Millis) {
        let until = now + HINT_TTL_MS;
        let next = match self.current(now) {
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
        self.set(next);
    }

    /// Records that a request is dispatched to the server. A trial request starts the next trial interval.
    pub(crate) fn record_dispatch(&mut self, now: Millis) {
        if let FaultHint::Suspected {
            since,
            until,
            penalized_until,
        } = self.current(now)
        {
            if now >= penalized_until {
                self.set(FaultHint::Suspected {
                    since,
                    until,
                    penalized_until: now + TRIAL_INTERVAL_MS,
                });
            }
        }
    }

    /// Refutes the hint if a served request was dispatched after it; `dispatched_at` is the time of dispatch.
    pub(crate) fn refute(&mut self, dispatched_at: Millis, now: Millis) {
        if let FaultHint::Suspected { since, until, .. } = self.current(now) {
            if dispatched_at >= since {
                self.set(FaultHint::Refuted { until });
            }
        }
    }

    /// Slowness factor of the server due to the hint.
    pub(crate) fn slowness(self, now: Millis) -> f64 {
        match self.current(now) {
            FaultHint::Suspected {
                penalized_until, ..
            } if now < penalized_until => HINTED_SLOWNESS,
            _ => 1.0,
        }
    }

    /// The hint at `now`, which may have expired.
    fn current(self, now: Millis) -> FaultHint {
        match self {
            FaultHint::Suspected { until, .. } | FaultHint::Refuted { until } if now >= until => {
                FaultHint::None
            }
            hint => hint,
        }
    }

    fn set(&mut self, hint: FaultHint) {
        *self = hint;
    }
}

#[cfg(test)]
mod tests;
