//! The `Priority` header of requests to engines; an engine schedules lower numbers first.

use crate::pool::Pool;
use crate::types::{PromptSegment, RoutingRequest};

/// Priority of a request that is new and not urgent, on a route of priority 0.
const DEFAULT_PRIORITY: u8 = 5;
/// Route priorities above this value are treated alike.
const MAX_ROUTE_PRIORITY: u8 = 3;
/// Reduction of the priority number for a program with an earlier turn, whose completed work would otherwise be lost.
const CONTINUATION_BONUS: u8 = 2;
/// The priority number is reduced by one if the time left is less than this multiple of the expected time.
const URGENCY_FACTOR: f64 = 2.0;

/// Whether the program has had an earlier turn: some engine caches a prompt segment that only this program uses.
pub(crate) fn is_continuation(pool: &Pool, prefix: &[PromptSegment]) -> bool {
    let mut unshared = prefix
        .iter()
        .filter(|segment| !pool.prefix_statistics.is_shared(segment.id));
    unshared.any(|segment| {
        pool.endpoints
            .iter()
            .any(|endpoint| endpoint.cache.contains(segment.id))
    })
}

/// Computes the priority from the route's priority, whether the program continues, and how urgent the request is.
pub(crate) fn engine_priority(
    request: &RoutingRequest,
    continuation: bool,
    expected_ms: f64,
) -> u8 {
    let mut priority = DEFAULT_PRIORITY + request.priority.min(MAX_ROUTE_PRIORITY);
    if continuation {
        priority -= CONTINUATION_BONUS;
    }
    if (request.time_left_ms as f64) < URGENCY_FACTOR * expected_ms {
        priority -= 1;
    }
    priority
}
