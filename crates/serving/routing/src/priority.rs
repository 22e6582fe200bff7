//! The `Priority` that a request carries at an engine.

use crate::pool::Pool;
use crate::types::{Ask, Part};

/// The `Priority` of a request that is nothing special.
const ENGINE_PRIORITY: u8 = 5;
/// Ranks of routes that are told apart at an engine.
const MOST_RANKS: u8 = 3;
/// A program under way goes before a new one by this much: work already done would be lost with it.
const UNDER_WAY_STEP: u8 = 2;
/// A request goes first by one if less than this many times what it is expected to take is left.
const SHORT_OF_TIME: f64 = 2.0;

/// Whether some engine holds a part of the prompt that is the program's own: it has had a turn.
pub(crate) fn is_under_way(pool: &Pool, prefix: &[Part]) -> bool {
    let mut own = prefix
        .iter()
        .filter(|part| !pool.sharing.is_shared(part.id));
    own.any(|part| {
        pool.members
            .iter()
            .any(|member| member.cache.holds(part.id))
    })
}

/// From the route's priority; a program under way before a new one, and one short of time before others.
pub(crate) fn engine_priority(ask: &Ask, under_way: bool, expected_ms: f64) -> u8 {
    let mut priority = ENGINE_PRIORITY + ask.priority.min(MOST_RANKS);
    if under_way {
        priority -= UNDER_WAY_STEP;
    }
    if (ask.time_left_ms as f64) < SHORT_OF_TIME * expected_ms {
        priority -= 1;
    }
    priority
}
