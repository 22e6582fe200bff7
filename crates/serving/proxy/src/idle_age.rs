//! Which idle connections may carry another request. No clock, no I/O.

use crate::classification::Idempotency;

/// A connection stays idle for so long between a response and the next request. Protects against a duplicate of the
/// response, some milliseconds late: it would be taken for the next one.
const COOLDOWN_MS: u64 = 10;
/// A connection is used up to so much before the end of its stated keep-alive time: the server counts from its last
/// byte, and the next request takes time to arrive.
const KEEP_ALIVE_MARGIN_MS: u64 = 500;
/// The longest that a connection stays idle, whatever the server states.
const MAX_IDLE_MS: u64 = 10_000;
/// The longest that one stays idle whose server states no keep-alive time: it is below the second that could be stated.
const MAX_UNSTATED_IDLE_MS: u64 = 700;
/// The longest that one may have been idle for a request that is not idempotent. Protects against a connection that
/// the server has given up meanwhile: the request might have run, and could go nowhere else.
const MAX_FRESH_IDLE_MS: u64 = 5_000;
/// The same where the server states no keep-alive time.
const MAX_UNSTATED_FRESH_IDLE_MS: u64 = 100;

/// How long a connection has been idle, and for how long its server keeps it, where that was stated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct IdleAge {
    pub(crate) idle_ms: u64,
    pub(crate) keep_alive_ms: Option<u64>,
}

impl IdleAge {
    /// Whether no late duplicate of its last response is to be expected any more.
    pub(crate) fn has_cooled_down(self) -> bool {
        self.idle_ms >= COOLDOWN_MS
    }

    /// Whether the server may close it before the next request arrives.
    pub(crate) fn is_expired(self) -> bool {
        self.idle_ms >= self.max_idle_ms()
    }

    /// Whether it may carry a request of this kind.
    pub(crate) fn is_safe_for(self, idempotency: Idempotency) -> bool {
        let max_idle_ms = match idempotency {
            Idempotency::Idempotent => self.max_idle_ms(),
            Idempotency::NotIdempotent => self.max_fresh_idle_ms(),
        };
        self.idle_ms < max_idle_ms
    }

    fn max_idle_ms(self) -> u64 {
        let usable_ms = self
            .keep_alive_ms
            .map(|stated_ms| stated_ms.saturating_sub(KEEP_ALIVE_MARGIN_MS));
        usable_ms.unwrap_or(MAX_UNSTATED_IDLE_MS).min(MAX_IDLE_MS)
    }

    fn max_fresh_idle_ms(self) -> u64 {
        let bound_ms = if self.keep_alive_ms.is_some() {
            MAX_FRESH_IDLE_MS
        } else {
            MAX_UNSTATED_FRESH_IDLE_MS
        };
        self.max_idle_ms().min(bound_ms)
    }
}

#[cfg(test)]
mod tests;
