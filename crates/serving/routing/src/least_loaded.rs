//! The choice among servers without an engine: the one with the fewest requests for its slots and speed, in the own
//! zone while that is about as good.

use crate::endpoint::Endpoint;
use crate::pool::Pool;
use crate::types::Millis;

/// What each request beyond a server's slots counts for: it waits, or is rejected.
const QUEUE_WEIGHT: f64 = 4.0;
/// A server of another zone is chosen only if it is so many times better: bytes between zones are priced.
const CROSS_ZONE_FACTOR: f64 = 1.25;
/// A server that has been stalled for more than this many times an expected response may hang.
const STALL_GRACE: f64 = 3.0;

/// Chooses the endpoint with the least score; `start` is where the search begins, so that equal ones take turns.
pub(crate) fn choose(
    pool: &Pool,
    candidates: &[usize],
    start: usize,
    target_ms: u64,
    now: Millis,
) -> Option<usize> {
    let response_ms = (pool.latency_ratio.get() * target_ms as f64).max(1.0);
    let mut best: Option<(f64, usize)> = None;
    let count = candidates.len();
    for offset in 0..count {
        let index = candidates[(start + offset) % count];
        let score = score(&pool.endpoints[index], response_ms, now);
        if best.is_none_or(|(least, _)| score < least) {
            best = Some((score, index));
        }
    }
    best.map(|(_, index)| index)
}

/// What a request would take there, 1 for an idle server like the mean in the own zone.
fn score(endpoint: &Endpoint, response_ms: f64, now: Millis) -> f64 {
    let occupancy = (endpoint.load.smoothed_in_flight(now) + 1.0) / endpoint.offered_slots(now);
    let excess = (occupancy - 1.0).max(0.0);
    let zone = if endpoint.is_local {
        1.0
    } else {
        CROSS_ZONE_FACTOR
    };
    let stalled = endpoint.load.stalled_ms(now) as f64 / response_ms;
    let overdue = (stalled - STALL_GRACE).max(0.0);
    zone * endpoint.slowness(now) * (1.0 + occupancy + QUEUE_WEIGHT * excess) + overdue
}

/// How long a request is expected to take on an endpoint.
pub(crate) fn expected_ms(pool: &Pool, index: usize, target_ms: u64, now: Millis) -> f64 {
    let endpoint = &pool.endpoints[index];
    let response_ms = pool.latency_ratio.get() * target_ms as f64 * endpoint.slowness(now);
    let excess = endpoint.load.in_flight(now) + 1.0 - f64::from(endpoint.slots());
    response_ms * (1.0 + excess.max(0.0) / f64::from(endpoint.slots()))
}
