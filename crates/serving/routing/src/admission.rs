//! Load shedding: a request is rejected at once only if every slot is taken and it surely can't be done in time. Then
//! an early rejection with a time to retry is better than an answer that comes too late.

use crate::types::RoutingRequest;

/// A client cancels a stream after this time without a first event at the least.
const MIN_STREAM_TIMEOUT_MS: u64 = 2_000;
/// Or after this many times its latency target, if that is longer.
const STREAM_TIMEOUT_TARGETS: u64 = 4;
/// An estimate is trusted to be at most this many times too high, for the most urgent requests.
const MAX_OVERESTIMATE: f64 = 2.0;
/// By how much this factor shrinks with each priority: less urgent requests are rejected first.
const OVERESTIMATE_STEP: f64 = 0.25;
/// The factor never falls below this.
const MIN_OVERESTIMATE: f64 = 1.0;
/// The shortest time after which a client may retry.
const MIN_RETRY_AFTER_MS: u64 = 50;
/// Clients honour a time up to their remaining time divided by this.
const MAX_RETRY_AFTER_DIVISOR: u64 = 3;

/// What a request has to expect on the best endpoint.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Forecast {
    /// Whether every slot of the service is taken.
    pub(crate) all_slots_taken: bool,
    /// When the answer, or its first event, is expected.
    pub(crate) expected_ms: f64,
    /// When the client stops waiting for that.
    pub(crate) client_timeout_ms: u64,
}

/// How long the client of a stream waits for its first event.
pub(crate) fn stream_timeout_ms(request: &RoutingRequest) -> u64 {
    let timeout_ms = MIN_STREAM_TIMEOUT_MS.max(STREAM_TIMEOUT_TARGETS * request.target_ms);
    timeout_ms.min(request.time_left_ms)
}

/// When to retry, in milliseconds, if the request must be rejected; nothing if it is admitted.
pub(crate) fn retry_after_if_rejected(
    request: &RoutingRequest,
    forecast: &Forecast,
) -> Option<u64> {
    if !forecast.all_slots_taken {
        return None;
    }
    let least_expected_ms = forecast.expected_ms / overestimate(request.priority);
    if least_expected_ms <= forecast.client_timeout_ms as f64 {
        return None;
    }
    let expected_ms = forecast.expected_ms as u64;
    let excess_ms = expected_ms - forecast.client_timeout_ms.min(expected_ms);
    let max_retry_after_ms =
        (request.time_left_ms / MAX_RETRY_AFTER_DIVISOR).max(MIN_RETRY_AFTER_MS);
    Some(excess_ms.clamp(MIN_RETRY_AFTER_MS, max_retry_after_ms))
}

fn overestimate(priority: u8) -> f64 {
    (MAX_OVERESTIMATE - OVERESTIMATE_STEP * f64::from(priority)).max(MIN_OVERESTIMATE)
}

#[cfg(test)]
mod tests;
