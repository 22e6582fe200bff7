//! Placement: replicas are spread over zones and evenly over stores, and a new store moves only few programs.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use common::{ranked_stores, store, stores};
use dunespur_turn_replication::membership::Candidate;
use dunespur_turn_replication::placement::{is_replica, replica_set};
use quickcheck::quickcheck;

#[test]
fn replicas_are_in_different_zones_while_there_are_enough() {
    let stores: Vec<_> = (0..9)
        .map(|number| {
            store(
                &format!("storage-{number}"),
                &format!("zone-{}", number % 3),
            )
        })
        .collect();
    for program in 0..200 {
        let replicas = replica_set(&format!("program-{program}"), &stores, 3);
        let zones: BTreeSet<&str> = replicas.iter().map(|store| store.zone.as_str()).collect();
        assert_eq!(zones.len(), 3);
    }
}

#[test]
fn draining_and_retired_stores_are_not_replicas() {
    let mut stores = stores(4);
    stores[1].retiring = true;
    stores[2].retired = true;
    assert_eq!(ranked_stores("a", &stores).len(), 2);
    assert_eq!(replica_set("a", &stores, 3).len(), 2);
}

#[test]
fn replicas_are_spread_evenly() {
    let stores = stores(4);
    let mut counts: BTreeMap<String, u32> = BTreeMap::new();
    for program in 0..4_000 {
        for replica in replica_set(&format!("program-{program}"), &stores, 2) {
            *counts.entry(replica.name.clone()).or_default() += 1;
        }
    }
    for count in counts.values() {
        assert!((1_800..2_200).contains(count), "{counts:?}");
    }
}

quickcheck! {
    /// A new store takes programs over from other stores, but no program moves between the other stores.
    fn a_new_store_does_not_reorder_the_other_stores(program: String, count: u8) -> bool {
        let before = stores(1 + usize::from(count % 6));
        let mut after = before.clone();
        after.push(store("storage-new", "zone-new"));
        let with: Vec<String> = ranked_stores(&program, &after);
        let without: Vec<String> = with.into_iter().filter(|name| name != "storage-new").collect();
        without == ranked_stores(&program, &before)
    }

    fn is_replica_agrees_with_the_replica_set(program: String, zones: u8, replicas: u8) -> bool {
        let zones = 1 + usize::from(zones % 4);
        let replicas = 1 + usize::from(replicas % 4);
        let stores: Vec<_> = (0..6)
            .map(|number| store(&format!("storage-{number}"), &format!("zone-{}", number % zones)))
            .collect();
        let candidates: Vec<Candidate> = stores.iter().map(Candidate::from).collect();
        let expected: Vec<&str> = replica_set(&program, &stores, replicas)
            .into_iter()
            .map(|store| store.name.as_str())
            .collect();
        stores.iter().all(|store| {
            is_replica(&program, &store.name, &candidates, replicas)
                == expected.contains(&store.name.as_str())
        })
    }
}
