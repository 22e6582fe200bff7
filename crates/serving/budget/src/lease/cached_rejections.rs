//! The counter's rejections, cached for a while.

use super::admission::Rejection;
use crate::Millis;

/// A rejection that also applies to turns that need as much or more.
#[derive(Clone, Debug)]
struct CachedRejection {
    rejection: Rejection,
    /// The smallest need to which it applies.
    min_needed: u64,
    /// The budget under which the need was rejected.
    budget: u64,
    /// The last moment at which it applies.
    expires_at: Millis,
}

impl CachedRejection {
    fn applies_to(&self, needed: u64, budget: u64, now: Millis) -> bool {
        needed >= self.min_needed && budget == self.budget && now <= self.expires_at
    }
}

/// The last final rejection and the last temporary one.
///
/// What is left of a budget, leased units included, only falls, so `Spent` stays right; it expires all the same, as a
/// limiter whose units were written off may return them.
#[derive(Clone, Debug, Default)]
pub(crate) struct CachedRejections {
    spent: Option<CachedRejection>,
    temporary: Option<CachedRejection>,
}

impl CachedRejections {
    /// The budget is spent for needs from `min_needed` up.
    pub(crate) fn cache_spent(&mut self, min_needed: u64, budget: u64, expires_at: Millis) {
        self.spent = Some(CachedRejection {
            rejection: Rejection::Spent,
            min_needed,
            budget,
            expires_at,
        });
    }

    /// Needs from `min_needed` up do not fit now.
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

    /// Units were granted or freed: what was rejected temporarily may fit now.
    pub(crate) fn clear_temporary(&mut self) {
        self.temporary = None;
    }

    /// The rejection that applies to a turn, if there is one.
    pub(crate) fn find(&self, needed: u64, budget: u64, now: Millis) -> Option<Rejection> {
        [&self.spent, &self.temporary]
            .into_iter()
            .flatten()
            .find(|cached| cached.applies_to(needed, budget, now))
            .map(|cached| cached.rejection)
    }
}
