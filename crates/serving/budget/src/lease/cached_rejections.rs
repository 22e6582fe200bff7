//! The counter's noes, kept for a while.

use super::admission::Refusal;
use crate::Millis;

/// A no that also holds for turns that need as much or more.
#[derive(Clone, Debug)]
struct Verdict {
    refusal: Refusal,
    /// The need that was refused.
    from: u64,
    /// The budget that the need was refused under.
    budget: u64,
    /// The last moment at which it holds.
    until: Millis,
}

impl Verdict {
    fn covers(&self, needed: u64, budget: u64, now: Millis) -> bool {
        needed >= self.from && budget == self.budget && now <= self.until
    }
}

/// The last final no and the last passing one.
///
/// What is left of a budget, held units included, only falls, so a `Spent` stays right; it ends all the same, as
/// a limiter whose units were given up for lost may come back with them.
#[derive(Clone, Debug, Default)]
pub(crate) struct Verdicts {
    spent: Option<Verdict>,
    put_off: Option<Verdict>,
}

impl Verdicts {
    pub(crate) fn spent(&mut self, from: u64, budget: u64, until: Millis) {
        self.spent = Some(Verdict {
            refusal: Refusal::Spent,
            from,
            budget,
            until,
        });
    }

    pub(crate) fn put_off(&mut self, refusal: Refusal, from: u64, budget: u64, until: Millis) {
        self.put_off = Some(Verdict {
            refusal,
            from,
            budget,
            until,
        });
    }

    /// Units came, granted or freed: what was put off may fit now.
    pub(crate) fn units_came(&mut self) {
        self.put_off = None;
    }

    pub(crate) fn on(&self, needed: u64, budget: u64, now: Millis) -> Option<Refusal> {
        let kept = [&self.spent, &self.put_off];
        let covering = |verdict: &&Verdict| verdict.covers(needed, budget, now);
        kept.into_iter()
            .flatten()
            .find(covering)
            .map(|verdict| verdict.refusal)
    }
}
