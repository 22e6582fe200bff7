//! Local health multiplier of Lifeguard: after a stall, this process waits longer before it judges other members.

/// Increase of the penalty for each stall.
const STALL_PENALTY: f64 = 2.0;
/// Maximum penalty.
const MAX_PENALTY: f64 = 8.0;
/// Number of probe intervals after which the penalty is halved.
const PROBES_PER_HALVING: f64 = 10.0;
/// A penalty below this is reset to 0 instead of being halved.
const MIN_PENALTY: f64 = 0.25;

/// Health of this process: a penalty from 0 (healthy) to [`MAX_PENALTY`], which is halved over time.
pub struct LocalHealth {
    penalty: f64,
    changed_at: f64,
}

impl LocalHealth {
    /// Starts without a penalty.
    pub fn new(now: f64) -> LocalHealth {
        LocalHealth {
            penalty: 0.0,
            changed_at: now,
        }
    }

    /// Factor by which timers that judge other members are prolonged.
    pub fn multiplier(&self) -> f64 {
        1.0 + self.penalty
    }

    /// Increases the penalty after a stall of this process.
    pub fn record_stall(&mut self, now: f64) {
        self.penalty = (self.penalty + STALL_PENALTY).min(MAX_PENALTY);
        self.changed_at = now;
    }

    /// Halves the penalty once [`PROBES_PER_HALVING`] probe intervals have passed since it changed.
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
