//! The choice among servers without an engine: the one with the fewest requests for its places and speed, in
//! the own zone while that is about as good.

use crate::member::Member;
use crate::pool::Pool;
use crate::types::{Ask, Millis};

/// What each request beyond a server's places counts for: it waits, or is turned away.
const QUEUE_WEIGHT: f64 = 4.0;
/// A server of another zone is taken only if it is so many times better: bytes between zones are priced.
const OTHER_ZONE_FACTOR: f64 = 1.25;

/// What a server that fails every request counts for beside an idle one: the request is sent again.
const FAILED_WEIGHT: f64 = 3.0;
/// The same for a request that can't be repeated: its failure is its program's.
const FAILED_UNREPEATABLE_WEIGHT: f64 = 30.0;
/// A server that has been quiet for more than this many times an expected answer may hang.
const QUIET_GRACE: f64 = 3.0;

/// Chooses the server with the least score; `start` is where the search begins, so that equal ones take turns.
pub(crate) fn choose(
    pool: &Pool,
    candidates: &[usize],
    start: usize,
    ask: &Ask,
    now: Millis,
) -> Option<usize> {
    let answer_ms = (pool.target_share.get() * ask.target_ms as f64).max(1.0);
    let mean_failed_share = pool.mean_failed_share(ask.idempotent, now);
    let failed_weight = if ask.idempotent { FAILED_WEIGHT } else { FAILED_UNREPEATABLE_WEIGHT };
    let mut best: Option<(f64, usize)> = None;
    let count = candidates.len();
    for offset in 0..count {
        let index = candidates[(start + offset) % count];
        let member = &pool.members[index];
        let failed_share = (member.failed_share(ask.idempotent, now) - mean_failed_share).max(0.0);
        let score = score(member, answer_ms, now) + failed_weight * failed_share;
        if best.is_none_or(|(least, _)| score < least) {
            best = Some((score, index));
        }
    }
    best.map(|(_, index)| index)
}

/// What a request would take there, 1 for an idle server like the mean in the own zone.
fn score(member: &Member, answer_ms: f64, now: Millis) -> f64 {
    let occupancy = (member.load.usual_in_flight(now) + 1.0) / member.places(now);
    let beyond = (occupancy - 1.0).max(0.0);
    let zone = if member.is_local { 1.0 } else { OTHER_ZONE_FACTOR };
    let quiet = member.quiet_ms(now) as f64 / answer_ms;
    let overdue = (quiet - QUIET_GRACE).max(0.0);
    zone * member.slowness(now) * (1.0 + occupancy + QUEUE_WEIGHT * beyond) + overdue
}

/// How long a request is expected to take on a server.
pub(crate) fn expected_ms(pool: &Pool, index: usize, target_ms: u64, now: Millis) -> f64 {
    let member = &pool.members[index];
    let answer_ms = pool.target_share.get() * target_ms as f64 * member.slowness(now);
    let excess = member.load.in_flight(now) + 1.0 - f64::from(member.slots());
    answer_ms * (1.0 + excess.max(0.0) / f64::from(member.slots()))
}
