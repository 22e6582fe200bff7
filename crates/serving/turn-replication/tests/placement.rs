//! Placement: spread over zones, even, and little moved when stores come and go.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use common::{order, store, stores};
use dunespur_turn_replication::placement::{homes, is_home};
use dunespur_turn_replication::roster::Candidate;
use quickcheck::quickcheck;

#[test]
fn homes_lie_in_different_zones_while_there_are_enough() {
    let stores: Vec<_> = (0..9)
        .map(|number| {
            store(
                &format!("storage-{number}"),
                &format!("zone-{}", number % 3),
            )
        })
        .collect();
    for program in 0..200 {
        let homes = homes(&format!("program-{program}"), &stores, 3);
        let zones: BTreeSet<&str> = homes.iter().map(|home| home.zone.as_str()).collect();
        assert_eq!(zones.len(), 3);
    }
}

#[test]
fn stores_that_leave_or_have_left_are_no_homes() {
    let mut stores = stores(4);
    stores[1].retiring = true;
    stores[2].retired = true;
    assert_eq!(order("a", &stores).len(), 2);
    assert_eq!(homes("a", &stores, 3).len(), 2);
}

#[test]
fn homes_are_spread_evenly() {
    let stores = stores(4);
    let mut counts: BTreeMap<String, u32> = BTreeMap::new();
    for program in 0..4_000 {
        for home in homes(&format!("program-{program}"), &stores, 2) {
            *counts.entry(home.name.clone()).or_default() += 1;
        }
    }
    for count in counts.values() {
        assert!((1_800..2_200).contains(count), "{counts:?}");
    }
}

quickcheck! {
    /// A further store takes places from others; between the others nothing moves.
    fn a_new_store_moves_only_what_it_wins(program: String, count: u8) -> bool {
        let before = stores(1 + usize::from(count % 6));
        let mut after = before.clone();
        after.push(store("storage-new", "zone-new"));
        let with: Vec<String> = order(&program, &after);
        let without: Vec<String> = with.into_iter().filter(|name| name != "storage-new").collect();
        without == order(&program, &before)
    }

    fn the_scan_for_homes_agrees_with_the_order(program: String, zones: u8, copies: u8) -> bool {
        let zones = 1 + usize::from(zones % 4);
        let copies = 1 + usize::from(copies % 4);
        let stores: Vec<_> = (0..6)
            .map(|number| store(&format!("storage-{number}"), &format!("zone-{}", number % zones)))
            .collect();
        let candidates: Vec<Candidate> = stores.iter().map(Candidate::from).collect();
        let homes: Vec<&str> =
            homes(&program, &stores, copies).into_iter().map(|home| home.name.as_str()).collect();
        stores.iter().all(|store| {
            is_home(&program, &store.name, &candidates, copies) == homes.contains(&store.name.as_str())
        })
    }
}
