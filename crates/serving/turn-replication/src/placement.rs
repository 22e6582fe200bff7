//! Which stores a program's turns are placed on: rendezvous hashing, spread over zones first.
//!
//! Each store has a rank for the program, the hash of both names. The best of each zone come first, by rank,
//! then the second best of each zone, and so on. The first of this order are the homes, the rest stand in for
//! them. A store that comes or goes moves only the programs that it wins or held.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::roster::Store;

/// Something that turns can be placed on.
pub trait Placed {
    fn name(&self) -> &str;
    fn zone(&self) -> &str;
}

/// The homes of a program: the first `copies` of its order over the stores that take turns.
pub fn homes<'a>(program: &str, stores: &'a [Store], copies: usize) -> Vec<&'a Store> {
    let mut order = order(program, stores);
    order.truncate(copies);
    order
}

/// All stores that take turns: the program's homes first, then its stand-ins.
pub fn order<'a>(program: &str, stores: &'a [Store]) -> Vec<&'a Store> {
    let candidates: Vec<&Store> = stores.iter().filter(|store| store.takes_turns()).collect();
    order_of(program, &candidates)
}

/// The stores that take turns of the program only while others fail, the best first.
pub fn fallbacks<'a>(program: &str, stores: &'a [Store]) -> Vec<&'a Store> {
    let fallbacks: Vec<&Store> = stores.iter().filter(|store| store.is_fallback()).collect();
    order_of(program, &fallbacks)
}

/// Orders the given candidates for a program.
pub fn order_of<'a, P: Placed>(program: &str, candidates: &[&'a P]) -> Vec<&'a P> {
    let seed = xxh3_64(program.as_bytes());
    let mut placed: Vec<(Place, &'a P)> = candidates
        .iter()
        .map(|candidate| (place(seed, *candidate, candidates), *candidate))
        .collect();
    placed.sort_by(|left, right| left.0.cmp(&right.0));
    placed.into_iter().map(|(_, candidate)| candidate).collect()
}

/// Whether the named candidate is among the homes of a program; allocates nothing, for scans of an index.
pub fn is_home<P: Placed>(program: &str, name: &str, candidates: &[P], copies: usize) -> bool {
    let seed = xxh3_64(program.as_bytes());
    let Some(own) = candidates.iter().find(|candidate| candidate.name() == name) else {
        return false;
    };
    let own_place = place_among(seed, own, candidates.iter());
    let ahead = candidates
        .iter()
        .filter(|candidate| place_among(seed, *candidate, candidates.iter()) < own_place)
        .take(copies)
        .count();
    ahead < copies
}

/// Where a candidate stands in the order: how many of its own zone are before it, then its rank, the highest
/// first; names last, so that the order is total.
type Place<'a> = (usize, std::cmp::Reverse<u64>, &'a str);

fn place<'a, P: Placed>(seed: u64, of: &'a P, candidates: &[&'a P]) -> Place<'a> {
    place_among(seed, of, candidates.iter().copied())
}

fn place_among<'a, P: Placed + 'a>(
    seed: u64,
    of: &'a P,
    candidates: impl Iterator<Item = &'a P>,
) -> Place<'a> {
    let rank = rank(seed, of.name());
    let better_in_zone = candidates
        .filter(|other| other.zone() == of.zone())
        .filter(|other| (self::rank(seed, other.name()), of.name()) > (rank, other.name()))
        .count();
    (better_in_zone, std::cmp::Reverse(rank), of.name())
}

fn rank(seed: u64, name: &str) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), seed)
}
