//! Load shedding: a request is rejected at once only if every slot is taken and it would surely miss its deadline. An
//! early rejection with a retry time is then better than a late response.

use crate::types::RoutingRequest;

/// Minimum time that a client waits for the first event of a stream before it cancels the request.
const MIN_STREAM_TIMEOUT_MS: u64 = 2_000;
/// Client timeout for the first event of a stream, as a multiple of the latency target, if that is longer than
/// [`MIN_STREAM_TIMEOUT_MS`].
const STREAM_TIMEOUT_TARGETS: u64 = 4;
/// Maximum factor by which the expected time of a request of priority 0 is assumed to be overestimated.
const MAX_OVERESTIMATE: f64 = 2.0;
/// Reduction of [`MAX_OVERESTIMATE`] per priority level, so that less urgent requests are rejected first.
const OVERESTIMATE_STEP: f64 = 0.25;
/// Lower bound of the assumed overestimate, for any priority.
const MIN_OVERESTIMATE: f64 = 1.0;
/// Lower bound of the retry time.
const MIN_RETRY_AFTER_MS: u64 = 50;
/// Clients honour a retry time of at most their remaining time divided by this.
const MAX_RETRY_AFTER_DIVISOR: u64 = 3;

/// The expected service of a request on the best endpoint.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Forecast {
    /// Whether every slot of the service is taken.
    pub(crate) all_slots_taken: bool,
    /// Expected time to the response, or to the first event of a stream.
    pub(crate) expected_ms: f64,
    /// Time after which the client stops waiting for this response or event.
    pub(crate) client_timeout_ms: u64,
}

/// Time that the client of a stream waits for the first event.
pub(crate) fn stream_timeout_ms(request: &RoutingRequest) -> u64 {
    let timeout_ms = MIN_STREAM_TIMEOUT_MS.max(STREAM_TIMEOUT_TARGETS * request.target_ms);
    timeout_ms.min(request.time_left_ms)
}

/// Returns the retry time in milliseconds if the request must be rejected, `None` if it is admitted.
pub(crate) fn retry_after_if_rejected(
    request: &RoutingRequest,
    forecast: &Forecast,
) -> Option<u64> {
    if !forecast.all_slots_taken {
        return None;
    }
    let min_expected_ms = forecast.expected_ms / max_overestimate(request.priority);
    if min_expected_ms <= forecast.client_timeout_ms as f64 {
        return None;
    }
    let expected_ms = forecast.expected_ms as u64;
    let excess_ms = expected_ms - forecast.client_timeout_ms.min(expected_ms);
    let max_retry_after_ms =
        (request.time_left_ms / MAX_RETRY_AFTER_DIVISOR).max(MIN_RETRY_AFTER_MS);
    Some(excess_ms.clamp(MIN_RETRY_AFTER_MS, max_retry_after_ms))
}

/// Maximum factor by which the expected time of a request of this priority is assumed to be overestimated.
fn max_overestimate(priority: u8) -> f64 {
    (MAX_OVERESTIMATE - OVERESTIMATE_STEP * f64::from(priority)).max(MIN_OVERESTIMATE)
}

#[cfg(test)]
mod tests;
