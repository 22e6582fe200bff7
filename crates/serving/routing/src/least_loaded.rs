//! The choice among servers without an engine: the one with the fewest requests relative to its slots and speed, with
//! preference for the gateway's zone.

use crate::endpoint::Endpoint;
use crate::pool::Pool;
use crate::types::Millis;

/// Weight of the occupancy beyond a server's slots: these requests wait or are rejected.
const QUEUE_WEIGHT: f64 = 4.0;
/// Factor on the score of servers in another zone, because traffic between zones is billed.
const CROSS_ZONE_FACTOR: f64 = 1.25;
/// Multiple of the expected response time after which a stalled server is presumed to hang.
const STALL_GRACE: f64 = 3.0;

/// Chooses the endpoint with the lowest score. The search begins at `start`, so that equal endpoints take turns.
pub(crate) fn choose(
    pool: &Pool,
    candidates: &[usize],
    start: usize,
    target_ms: u64,
    now: Millis,
) -> Option<usize> {
    let response_ms = (pool.latency_ratio.get() * target_ms as f64).max(1.0);
    let mut best: Option<(f64, usize)> = None;
    let candidate_count = candidates.len();
    for offset in 0..candidate_count {
        let index = candidates[(start + offset) % candidate_count];
        let score = score(&pool.endpoints[index], response_ms, now);
        if best.is_none_or(|(lowest, _)| score < lowest) {
            best = Some((score, index));
        }
    }
    best.map(|(_, index)| index)
}

/// Relative cost of a request on an endpoint, from its occupancy, zone, slowness and stall. Lower is better.
/// An idle endpoint of the own zone with average speed costs 1 plus the share of one slot.
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

/// Expected time of a request on an endpoint, including the wait for a slot.
pub(crate) fn expected_ms(pool: &Pool, index: usize, target_ms: u64, now: Millis) -> f64 {
    let endpoint = &pool.endpoints[index];
    let response_ms = pool.latency_ratio.get() * target_ms as f64 * endpoint.slowness(now);
    let excess = endpoint.load.in_flight(now) + 1.0 - f64::from(endpoint.slots());
    response_ms * (1.0 + excess.max(0.0) / f64::from(endpoint.slots()))
}
