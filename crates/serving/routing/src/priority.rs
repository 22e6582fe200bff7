//! The `Priority` header that a request carries at an engine: a lower number is scheduled first.

use crate::pool::Pool;
use crate::types::{PromptSegment, RoutingRequest};

/// The priority of an ordinary request of the most urgent route.
const DEFAULT_PRIORITY: u8 = 5;
/// Priorities of routes beyond this are not distinguished at an engine.
const MAX_ROUTE_PRIORITY: u8 = 3;
/// A continued program is ahead of a new one by this much: work already done would be lost with it.
const CONTINUATION_STEP: u8 = 2;
/// A request gets ahead by one if less than this many times what it is expected to take is left.
const URGENCY_FACTOR: f64 = 2.0;

/// Whether some engine caches a segment of the prompt that is the program's own: it has had a turn.
pub(crate) fn is_continuation(pool: &Pool, prefix: &[PromptSegment]) -> bool {
    let mut suffix = prefix
        .iter()
        .filter(|segment| !pool.prefix_statistics.is_shared(segment.id));
    suffix.any(|segment| {
        pool.endpoints
            .iter()
            .any(|endpoint| endpoint.cache.contains(segment.id))
    })
}

/// From the route's priority; a continued program ahead of a new one, and one short of time ahead of others.
pub(crate) fn engine_priority(
    request: &RoutingRequest,
    continuation: bool,
    expected_ms: f64,
) -> u8 {
    let mut priority = DEFAULT_PRIORITY + request.priority.min(MAX_ROUTE_PRIORITY);
    if continuation {
        priority -= CONTINUATION_STEP;
    }
    if (request.time_left_ms as f64) < URGENCY_FACTOR * expected_ms {
        priority -= 1;
    }
    priority
}
