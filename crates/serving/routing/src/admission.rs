//! When a request is turned away at once: only if every place is taken and it surely can't be done in time.
//! Then an early refusal with a time to come back is worth more than an answer that comes too late.

use crate::types::Ask;

/// A client gives a stream up after this silence at the least.
const STREAM_SILENCE_MS: u64 = 2_000;
/// Or after this many times its objective, if that is longer.
const STREAM_SILENCE_TARGETS: u64 = 4;
/// An estimate is trusted to be at most this many times too high, for the most urgent requests.
const DOUBT: f64 = 2.0;
/// By how much this doubt shrinks with each rank: less urgent requests go first.
const DOUBT_STEP: f64 = 0.25;
/// The doubt never goes below this.
const LEAST_DOUBT: f64 = 1.0;
/// The shortest time that a client is told to wait.
const SHORTEST_RETRY_MS: u64 = 50;
/// Clients honour a time up to this part of what they have left.
const LONGEST_RETRY_PART: u64 = 3;

/// How things look for a request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Outlook {
    /// Whether every place of the service is taken.
    pub(crate) all_places_taken: bool,
    /// When the answer, or its first event, is expected on the best server.
    pub(crate) expected_ms: f64,
    /// When the client stops waiting for that.
    pub(crate) patience_ms: u64,
}

/// How long the client of a stream waits for its first event.
pub(crate) fn stream_patience_ms(ask: &Ask) -> u64 {
    let silence_ms = STREAM_SILENCE_MS.max(STREAM_SILENCE_TARGETS * ask.target_ms);
    silence_ms.min(ask.time_left_ms)
}

/// When to come back, if the request must be turned away.
pub(crate) fn refusal(ask: &Ask, outlook: &Outlook) -> Option<u64> {
    if !outlook.all_places_taken {
        return None;
    }
    let at_best_ms = outlook.expected_ms / doubt(ask.priority);
    if at_best_ms <= outlook.patience_ms as f64 {
        return None;
    }
    let relief_ms =
        outlook.expected_ms as u64 - outlook.patience_ms.min(outlook.expected_ms as u64);
    let longest_ms = (ask.time_left_ms / LONGEST_RETRY_PART).max(SHORTEST_RETRY_MS);
    Some(relief_ms.clamp(SHORTEST_RETRY_MS, longest_ms))
}

fn doubt(priority: u8) -> f64 {
    (DOUBT - DOUBT_STEP * f64::from(priority)).max(LEAST_DOUBT)
}

#[cfg(test)]
mod tests;
