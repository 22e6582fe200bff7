//! Decides which idle connections may carry another request. Pure logic, without a clock or I/O.

use crate::classification::Idempotency;

/// How long a connection stays idle between a response and the next request. Protects against a duplicate of the
/// response some milliseconds later, which would be taken for the next response.
const COOLDOWN_MS: u64 = 10;
/// How long before the end of the stated keep-alive time a connection is no longer used: the server counts from its
/// last byte, and the next request takes time to arrive.
const KEEP_ALIVE_MARGIN_MS: u64 = 500;
/// The longest idle time of a connection, whatever keep-alive time the server states.
const MAX_IDLE_MS: u64 = 10_000;
/// The longest idle time if the server states no keep-alive time: below 1 s, the shortest time that can be stated.
const MAX_UNSTATED_IDLE_MS: u64 = 700;
/// The longest idle time before a request that is not idempotent. Protects against a connection that the server has
/// closed meanwhile: the request would count as possibly run, and could not be sent again.
const MAX_FRESH_IDLE_MS: u64 = 5_000;
/// The longest idle time before a request that is not idempotent, if the server states no keep-alive time.
const MAX_UNSTATED_FRESH_IDLE_MS: u64 = 100;

/// How long a connection has been idle, and the keep-alive time that its server stated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct IdleAge {
    pub(crate) idle_ms: u64,
    pub(crate) keep_alive_ms: Option<u64>,
}

impl IdleAge {
    /// Whether a late duplicate of the last response is no longer expected.
    pub(crate) fn has_cooled_down(self) -> bool {
        self.idle_ms >= COOLDOWN_MS
    }

    /// Whether the server may close the connection before the next request arrives.
    pub(crate) fn is_expired(self) -> bool {
        self.idle_ms >= self.max_idle_ms()
    }

    /// Whether the connection may carry a request of this idempotency.
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
