//! Which connections that rest may carry a further request. No clock, no I/O.

/// A connection rests for so long between an answer and the next request. Guards against a second copy of the
/// answer, some milliseconds late: it would stand in the place of the next one.
const LEAST_REST_MS: u64 = 10;
/// A stated idle time is used up to so much before its end: the server counts from its last byte, and the next
/// request takes its way.
const STATED_MARGIN_MS: u64 = 500;
/// The longest that a connection rests, whatever the server states.
const MOST_REST_MS: u64 = 10_000;
/// The longest that one rests whose server states no time: it is below the second that could be stated.
const UNSTATED_REST_MS: u64 = 700;
/// The longest that one may have rested for a request that can't be repeated. Guards against a connection that
/// the server has given up meanwhile: the request might have run, and could go nowhere else.
const MOST_FRESH_MS: u64 = 5_000;
/// The same where the server states no time.
const UNSTATED_FRESH_MS: u64 = 100;

/// How long a connection has rested, and how long its server lets it, where that was stated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Rest {
    pub(crate) rested_ms: u64,
    pub(crate) stated_ms: Option<u64>,
}

impl Rest {
    /// Whether no late copy of its last answer is to be expected any more.
    pub(crate) fn is_over(self) -> bool {
        self.rested_ms >= LEAST_REST_MS
    }

    /// Whether the server may give it up before the next request arrives.
    pub(crate) fn is_too_long(self) -> bool {
        self.rested_ms >= self.most_ms()
    }

    /// Whether it may carry a request that can be repeated, or else one that can't.
    pub(crate) fn is_safe_for(self, idempotent: bool) -> bool {
        let bound_ms = if idempotent {
            self.most_ms()
        } else {
            self.fresh_ms()
        };
        self.rested_ms < bound_ms
    }

    fn most_ms(self) -> u64 {
        let stated_ms = self
            .stated_ms
            .map(|stated_ms| stated_ms.saturating_sub(STATED_MARGIN_MS));
        stated_ms.unwrap_or(UNSTATED_REST_MS).min(MOST_REST_MS)
    }

    fn fresh_ms(self) -> u64 {
        let bound_ms = if self.stated_ms.is_some() {
            MOST_FRESH_MS
        } else {
            UNSTATED_FRESH_MS
        };
        self.most_ms().min(bound_ms)
    }
}

#[cfg(test)]
mod tests;
