//! The state of a coordinator's request to one store, and the delays before the request is hedged or retried.

/// Time without a reply after which another store is contacted as well (a hedged request), in milliseconds.
pub const HEDGE_DELAY_MS: u64 = 60;
/// Delay before a failed store is contacted again, in milliseconds.
pub const RETRY_DELAY_MS: u64 = 150;

/// State of the request to one store; `R` is the content of the reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Attempt<R> {
    /// No request was sent.
    NotStarted,
    /// The request was sent and has no reply yet.
    Pending { since_ms: u64 },
    /// No reply within [`HEDGE_DELAY_MS`]; a reply may still arrive.
    Slow,
    /// The store could not be reached, or rejected the request.
    Failed { at_ms: u64 },
    /// The store replied.
    Replied(R),
}

impl<R> Attempt<R> {
    /// When a pending request becomes slow; `None` in any other state.
    pub(crate) fn hedge_at_ms(&self) -> Option<u64> {
        match self {
            Attempt::Pending { since_ms } => Some(since_ms + HEDGE_DELAY_MS),
            _ => None,
        }
    }

    /// When a failed request may be retried; `None` in any other state.
    pub(crate) fn retry_at_ms(&self) -> Option<u64> {
        match self {
            Attempt::Failed { at_ms } => Some(at_ms + RETRY_DELAY_MS),
            _ => None,
        }
    }

    /// Whether the request failed at least [`RETRY_DELAY_MS`] ago.
    pub(crate) fn may_be_retried(&self, now_ms: u64) -> bool {
        self.retry_at_ms().is_some_and(|at_ms| now_ms >= at_ms)
    }

    /// Marks a pending request as slow once [`HEDGE_DELAY_MS`] have passed.
    pub(crate) fn mark_slow_if_late(&mut self, now_ms: u64) {
        if self.hedge_at_ms().is_some_and(|at_ms| now_ms >= at_ms) {
            *self = Attempt::Slow;
        }
    }
}
