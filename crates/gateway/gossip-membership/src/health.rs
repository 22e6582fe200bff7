//! Local health: how far this process trusts its own judgement of others (Lifeguard's local health multiplier).

/// Each stall lowers the health by this much.
const STALL_PENALTY: f64 = 2.0;
/// Lowest health.
const MAX_PENALTY: f64 = 8.0;
/// The penalty is halved after so many probe intervals.
const PROBES_PER_HALVING: f64 = 10.0;
/// Below this the penalty is over.
const MIN_PENALTY: f64 = 0.25;

/// Health of this process: a penalty from 0 to [`MAX_PENALTY`] that halves with time.
pub struct LocalHealth {
    penalty: f64,
    changed_at: f64,
}

impl LocalHealth {
    /// Full health.
    pub fn new(now: f64) -> LocalHealth {
        LocalHealth {
            penalty: 0.0,
            changed_at: now,
        }
    }

    /// How many times slower timers run that judge others.
    pub fn multiplier(&self) -> f64 {
        1.0 + self.penalty
    }

    /// This process was stalled.
    pub fn stalled(&mut self, now: f64) {
        self.penalty = (self.penalty + STALL_PENALTY).min(MAX_PENALTY);
        self.changed_at = now;
    }

    /// Time has passed.
    pub fn recover(&mut self, probe_interval: f64, now: f64) {
        if self.penalty > 0.0 && now > self.changed_at + probe_interval * PROBES_PER_HALVING {
            self.changed_at = now;
            self.penalty = if self.penalty < MIN_PENALTY {
                0.0
            } else {
                self.penalty / 2.0
            };
        }
    }
}
