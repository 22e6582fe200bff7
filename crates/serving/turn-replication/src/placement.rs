//! Which stores a program's turns are placed on: rendezvous hashing (Thaler and Ravishankar, 1998), spread over
//! zones first.
//!
//! Each store has a weight for the program, the hash of both names. The heaviest store of each zone comes first,
//! by weight, then the second of each zone, and so on. The first stores of this preference list are the program's
//! replicas, the rest substitute for replicas that fail. A store that joins or leaves moves only the programs that
//! it wins or held.

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

/// All stores that accept placement: the program's replicas first, then their substitutes.
#[must_use]
pub fn preference_list<'a>(program: &str, stores: &'a [StoreEntry]) -> Vec<&'a StoreEntry> {
    let candidates: Vec<&StoreEntry> = stores
        .iter()
        .filter(|store| store.accepts_placement())
        .collect();
    by_preference(program, &candidates)
}

/// The draining stores, which accept turns of the program only while others fail; the preferred one first.
#[must_use]
pub fn draining_stores<'a>(program: &str, stores: &'a [StoreEntry]) -> Vec<&'a StoreEntry> {
    let draining: Vec<&StoreEntry> = stores.iter().filter(|store| store.is_draining()).collect();
    by_preference(program, &draining)
}

/// Sorts the given candidates by the preference of a program.
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

/// Whether the named candidate is among the replicas of a program; allocates nothing, for scans of an index.
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

/// Where a candidate stands in the preference list; the derived order compares the fields from top to bottom.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct PreferenceKey<'a> {
    /// How many candidates of its own zone come before it.
    rank_in_zone: usize,
    /// Its weight, the heaviest first.
    weight: Reverse<u64>,
    /// Last, so that the order is total.
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
