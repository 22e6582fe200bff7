//! A cache of the counter's rejections, so that similar turns are rejected without a request.

use super::admission::Rejection;
use crate::Millis;

/// A rejection that also applies to other turns that need at least as many units.
#[derive(Clone, Debug)]
struct CachedRejection {
    rejection: Rejection,
    /// The smallest number of needed units to which the rejection applies.
    min_needed: u64,
    /// The budget of the rejected request; the rejection applies only to turns with the same budget.
    budget: u64,
    /// The last moment at which the rejection applies.
    expires_at: Millis,
}

impl CachedRejection {
    fn applies_to(&self, needed: u64, budget: u64, now: Millis) -> bool {
        needed >= self.min_needed && budget == self.budget && now <= self.expires_at
    }
}

/// The last `Spent` rejection and the last temporary rejection.
///
/// The unused part of a budget, including leased units, only decreases, so `Spent` normally stays valid. It still
/// expires, because a limiter whose units were counted as spent may return them.
#[derive(Clone, Debug, Default)]
pub(crate) struct CachedRejections {
    spent: Option<CachedRejection>,
    temporary: Option<CachedRejection>,
}

impl CachedRejections {
    /// Caches that the budget is spent for turns that need at least `min_needed` units.
    pub(crate) fn cache_spent(&mut self, min_needed: u64, budget: u64, expires_at: Millis) {
        self.spent = Some(CachedRejection {
            rejection: Rejection::Spent,
            min_needed,
            budget,
            expires_at,
        });
    }

    /// Caches a temporary rejection of turns that need at least `min_needed` units.
    pub(crate) fn cache_temporary(
        &mut self,
        rejection: Rejection,
        min_needed: u64,
        budget: u64,
        expires_at: Millis,
    ) {
        self.temporary = Some(CachedRejection {
            rejection,
            min_needed,
            budget,
            expires_at,
        });
    }

    /// Clears the temporary rejection, because granted or freed units may now cover the turn.
    pub(crate) fn clear_temporary(&mut self) {
        self.temporary = None;
    }

    /// The cached rejection that applies to a turn, if any.
    pub(crate) fn find(&self, needed: u64, budget: u64, now: Millis) -> Option<Rejection> {
        [&self.spent, &self.temporary]
            .into_iter()
            .flatten()
            .find(|cached| cached.applies_to(needed, budget, now))
            .map(|cached| cached.rejection)
    }
}
