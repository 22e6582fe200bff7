//! Placement of a program's turns on stores by rendezvous hashing (Thaler and Ravishankar, 1998), spread over zones
//! first.
//!
//! The weight of a store for a program is the hash of both names. The preference list begins with the heaviest store
//! of each zone, ordered by weight, followed by the second heaviest of each zone, and so on. The first stores of the
//! list are the program's replicas; the others substitute for replicas that fail. When a store joins or leaves, only
//! programs that have this store as a replica move.

use std::cmp::Reverse;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::membership::{Placeable, StoreEntry};

/// The replicas of a program: the first `replication_factor` stores of its preference list.
#[must_use]
pub fn replica_set<'a>(
    program: &str,
    stores: &'a [StoreEntry],
    replication_factor: usize,
) -> Vec<&'a StoreEntry> {
    let mut replicas = preference_list(program, stores);
    replicas.truncate(replication_factor);
    replicas
}

/// All stores that accept placement, in the order of the program's preference: its replicas, then their substitutes.
#[must_use]
pub fn preference_list<'a>(program: &str, stores: &'a [StoreEntry]) -> Vec<&'a StoreEntry> {
    let candidates: Vec<&StoreEntry> = stores
        .iter()
        .filter(|store| store.accepts_placement())
        .collect();
    by_preference(program, &candidates)
}

/// The draining stores, in the order of the program's preference. They accept turns only while other stores fail.
#[must_use]
pub fn draining_stores<'a>(program: &str, stores: &'a [StoreEntry]) -> Vec<&'a StoreEntry> {
    let draining: Vec<&StoreEntry> = stores.iter().filter(|store| store.is_draining()).collect();
    by_preference(program, &draining)
}

/// Sorts the given candidates by the program's preference.
#[must_use]
pub fn by_preference<'a, P: Placeable>(program: &str, candidates: &[&'a P]) -> Vec<&'a P> {
    let seed = xxh3_64(program.as_bytes());
    let mut keyed: Vec<(PreferenceKey<'a>, &'a P)> = candidates
        .iter()
        .map(|candidate| {
            let key = PreferenceKey::new(seed, *candidate, candidates.iter().copied());
            (key, *candidate)
        })
        .collect();
    keyed.sort_by(|(left, _), (right, _)| left.cmp(right));
    keyed.into_iter().map(|(_, candidate)| candidate).collect()
}

/// Whether the named candidate is a replica of a program. Allocates nothing, because scans of an index call it often.
#[must_use]
pub fn is_replica<P: Placeable>(
    program: &str,
    name: &str,
    candidates: &[P],
    replication_factor: usize,
) -> bool {
    let seed = xxh3_64(program.as_bytes());
    let Some(own) = candidates.iter().find(|candidate| candidate.name() == name) else {
        return false;
    };
    let own_key = PreferenceKey::new(seed, own, candidates.iter());
    let preferred_to_own = candidates
        .iter()
        .filter(|candidate| PreferenceKey::new(seed, *candidate, candidates.iter()) < own_key)
        .take(replication_factor)
        .count();
    preferred_to_own < replication_factor
}

/// Sort key of a candidate in the preference list; the derived order compares the fields from top to bottom.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct PreferenceKey<'a> {
    /// Number of candidates of the same zone that are preferred to this one.
    rank_in_zone: usize,
    /// Weight of the candidate; heavier candidates come first.
    weight: Reverse<u64>,
    /// Breaks ties between equal weights.
    name: &'a str,
}

impl<'a> PreferenceKey<'a> {
    fn new<P: Placeable + 'a>(
        seed: u64,
        candidate: &'a P,
        candidates: impl Iterator<Item = &'a P>,
    ) -> Self {
        let own_weight = weight(seed, candidate.name());
        let rank_in_zone = candidates
            .filter(|other| other.zone() == candidate.zone())
            .filter(|other| {
                (weight(seed, other.name()), candidate.name()) > (own_weight, other.name())
            })
            .count();
        Self {
            rank_in_zone,
            weight: Reverse(own_weight),
            name: candidate.name(),
        }
    }
}

fn weight(seed: u64, name: &str) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), seed)
}
