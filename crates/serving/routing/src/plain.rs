//! The choice among servers without an engine: the one with the fewest requests for its places and speed, in
//! the own zone while that is about as good.

use crate::member::Member;
use crate::pool::Pool;
use crate::types::Millis;

/// What each request beyond a server's places counts for: it waits, or is turned away.
const QUEUE_WEIGHT: f64 = 4.0;
/// A server of another zone is taken only if it is so many times better: bytes between zones are priced.
const OTHER_ZONE_FACTOR: f64 = 1.25;

/// A server that has been quiet for more than this many times an expected answer may hang.
const QUIET_GRACE: f64 = 3.0;

/// Chooses the server with the least score; `start` is where the search begins, so that equal ones take turns.
pub(crate) fn choose(
    pool: &Pool,
    candidates: &[usize],
    start: usize,
    target_ms: u64,
    now: Millis,
) -> Option<usize> {
    let answer_ms = (pool.target_share.get() * target_ms as f64).max(1.0);
    let mut best: Option<(f64, usize)> = None;
    let count = candidates.len();
    for offset in 0..count {
        let index = candidates[(start + offset) % count];
        let score = score(&pool.members[index], answer_ms, now);
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
    let zone = if member.is_local {
        1.0
    } else {
        OTHER_ZONE_FACTOR
    };
    let quiet = member.load.quiet_ms(now) as f64 / answer_ms;
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
