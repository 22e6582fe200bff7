//! What a trial's answers say of quotas and ceilings. It knows the history and the trial, nothing of the
//! machines: a bucket for each customer, filled at its rate, that no limiter sees.

use crate::history::Line;
use crate::trial::{Kind, Quota, Trial};
use serde::Serialize;

/// Units over all customers; the overshoots are of the worst.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Seen {
    pub sent: u64,
    pub refused: u64,
    /// Let in beyond the quota, and refused with half of the burst or more unused.
    pub beyond: u64,
    pub with_room: u64,
    /// Over rate and burst over any time, and what docs/shared-state.md allows.
    pub overshoot: f64,
    pub bound: f64,
    pub over_ceiling: f64,
    /// Seconds from the end of the last fault until nineteen in twenty of what the quotas hold is let in.
    pub healed_after_s: Option<f64>,
    /// Of what the quotas hold, let in after the last fault and `settle`; none if nothing is left to see.
    pub served: Option<f64>,
}

/// The time that a counter's name covers.
const NAME: f64 = 30.0;
/// Units that the order of two answers may make of a ceiling kept exactly.
pub const JITTER: f64 = 2.0;

/// The bound of docs/shared-state.md for one customer: what stands once for each name that the trial's time
/// touches, and once more for each time that limiters pass from one of the three ways to another, which is
/// at the beginning and the end of a fault; each is at most a burst, or one unit for each limiter where that
/// is more.
pub fn bound(trial: &Trial, quota: &Quota) -> f64 {
    let gateways = quota.spread.min(trial.fleet.limiters) as f64;
    let passes = trial
        .faults
        .iter()
        .filter(|f| f.kind != Kind::Clock)
        .count() as f64
        * 2.0;
    let names = (trial.seconds / NAME).ceil() + 1.0;
    // Where the counter can't take all, those whose calls fail let in their share beside the others. Most
    // tries over a quota make two calls, as what was refused is taken back.
    let scarce = quota.counter < 2.0 * quota.rate * quota.customers as f64 * quota.times;
    let beside = if scarce {
        quota.rate * trial.seconds
    } else {
        0.0
    };
    quota.burst.max(gateways) * (names + passes) + beside
}

/// Units of what the quotas hold from which on their share served says something: draws of the load vary.
const ENOUGH: f64 = 150.0;

/// A customer's quota as no limiter sees it: what is left of it, and how much more was let in over any time.
#[derive(Clone)]
pub struct Bucket {
    tokens: f64,
    level: f64,
    hard: f64,
    at: f64,
}

impl Bucket {
    pub fn new(quota: &Quota) -> Self {
        Bucket {
            tokens: quota.burst,
            level: 0.0,
            hard: 0.0,
            at: 0.0,
        }
    }

    /// Brings it up to a time.
    pub fn fill(&mut self, quota: &Quota, t: f64) {
        let since = (t - self.at).max(0.0);
        self.tokens = (self.tokens + quota.rate * since).min(quota.burst);
        self.level = (self.level - quota.rate * since).max(0.0);
        self.hard = (self.hard - quota.hard_rate * since).max(0.0);
        self.at = t;
    }

    /// One was let in; says whether it was beyond the quota, which takes nothing from it.
    pub fn take(&mut self) -> bool {
        self.level += 1.0;
        self.hard += 1.0;
        let beyond = self.tokens < 1.0;
        self.tokens -= if beyond { 0.0 } else { 1.0 };
        beyond
    }

    /// How far the rate and the burst are passed now.
    pub fn over(&self, quota: &Quota) -> f64 {
        self.level - quota.burst
    }

    /// Half of the burst or more is unused.
    pub fn has_room(&self, quota: &Quota) -> bool {
        self.tokens >= (quota.burst / 2.0).max(1.0)
    }
}

pub fn judge(trial: &Trial, quota: &Quota, lines: &[Line]) -> Seen {
    let mut seen = Seen {
        bound: bound(trial, quota),
        ..Seen::default()
    };
    let mut buckets = vec![Bucket::new(quota); quota.customers];
    let calm = trial.calm_from();
    let mut let_in: Vec<f64> = Vec::new();
    for line in lines {
        let Line::Answer {
            t,
            status,
            customer,
            ..
        } = line
        else {
            continue;
        };
        let Some(b) = buckets.get_mut(*customer as usize) else {
            continue;
        };
        b.fill(quota, *t);
        match status {
            200 => {
                seen.sent += 1;
                seen.beyond += u64::from(b.take());
                seen.overshoot = seen.overshoot.max(b.over(quota));
                if quota.hard_rate > 0.0 {
                    seen.over_ceiling = seen.over_ceiling.max(b.hard - quota.hard_burst);
                }
                let_in.push(*t);
            }
            429 => {
                seen.refused += 1;
                seen.with_room += u64::from(b.has_room(quota));
            }
            _ => {}
        }
    }
    // Spans of two seconds, half a second apart.
    let hold = quota.rate * quota.customers as f64 * quota.times.min(1.0);
    let share = |from: f64, to: f64| {
        let n = let_in.iter().filter(|t| **t >= from && **t < to).count();
        n as f64 / (hold * (to - from))
    };
    let ends = trial.seconds - 0.5;
    let starts = (0..)
        .map(|n| calm + 0.5 * f64::from(n))
        .take_while(|s| s + 2.0 <= ends);
    seen.healed_after_s = starts
        .clone()
        .find(|s| share(*s, s + 2.0) >= 0.95)
        .map(|s| s - calm);
    let settled = calm + trial.settle;
    // Where a customer comes in at one limiter nearly alone, or the counter is scarce, less is served in any case.
    let plain = !quota.thin && quota.counter > 2.0 * hold * quota.times;
    let enough = plain && hold * (ends - settled) > ENOUGH;
    seen.served = (ends > settled + 2.0 && enough).then(|| share(settled, ends));
    seen
}

#[cfg(test)]
mod tests;
