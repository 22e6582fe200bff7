//! The state of one request of a coordinator to one store, and the times after which it is hedged or retried.

/// After this long without a reply another store is contacted beside it (a hedged request), in milliseconds.
pub const HEDGE_DELAY_MS: u64 = 60;
/// After this long a store that failed is contacted again, in milliseconds.
pub const RETRY_DELAY_MS: u64 = 150;

/// Where the request to one store stands; `R` is what its reply says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Attempt<R> {
    /// Nothing was sent.
    NotStarted,
    /// Sent, and not replied to.
    Pending { since_ms: u64 },
    /// Pending for longer than [`HEDGE_DELAY_MS`]; it may still be replied to.
    Slow,
    /// The store could not be reached, or rejected the request.
    Failed { at_ms: u64 },
    /// The store replied.
    Replied(R),
}

impl<R> Attempt<R> {
    /// When it becomes slow, if it is pending.
    pub(crate) fn hedge_at_ms(&self) -> Option<u64> {
        match self {
            Attempt::Pending { since_ms } => Some(since_ms + HEDGE_DELAY_MS),
            _ => None,
        }
    }

    /// When it may be retried, if it has failed.
    pub(crate) fn retry_at_ms(&self) -> Option<u64> {
        match self {
            Attempt::Failed { at_ms } => Some(at_ms + RETRY_DELAY_MS),
            _ => None,
        }
    }

    /// Whether it has failed, and long enough ago to be retried.
    pub(crate) fn may_be_retried(&self, now_ms: u64) -> bool {
        self.retry_at_ms().is_some_and(|at_ms| now_ms >= at_ms)
    }

    /// Turns a pending request into a slow one if it is late.
    pub(crate) fn mark_slow_if_late(&mut self, now_ms: u64) {
        if self.hedge_at_ms().is_some_and(|at_ms| now_ms >= at_ms) {
            *self = Attempt::Slow;
        }
    }
}
