//! A draining store: which turns it accepts and hands over, and when it declares that it is drained. For each safeguard
//! a counterexample shows the failure without that safeguard.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use common::harness::{chain, complete_store, complete_store_with, Harness};
use common::{ranked_stores, stores, turn, PROGRAM};
use dunespur_turn_replication::membership::StoreEntry;
use dunespur_turn_replication::message::{Rejection, StoreReply, StoreRequest};
use dunespur_turn_replication::node::Declaration;
use dunespur_turn_replication::safeguards::{Safeguard, Safeguards};

/// A membership in which the first store drains, and the two stores that are the replicas then.
fn draining() -> (Vec<StoreEntry>, Vec<String>) {
    let mut stores = stores(4);
    stores[0].retiring = true;
    let replicas = ranked_stores(PROGRAM, &stores)[..2].to_vec();
    (stores, replicas)
}

#[test]
fn a_store_is_drained_when_all_new_replicas_have_acknowledged_everything() {
    let turns = chain();
    let mut harness = complete_store(&turns);
    let (stores, replicas) = draining();
    harness.change_membership(&stores);
    harness.reply_to_listings();
    let mut transferred: BTreeMap<String, usize> = BTreeMap::new();
    harness.advance_to(harness.now_ms + 1_000);
    while !harness.outgoing.is_empty() {
        assert!(
            harness.declared.is_empty(),
            "drained before all replicas have acknowledged"
        );
        let outgoing = harness.next_request();
        let reply = match &outgoing.request {
            StoreRequest::Offer { ids } => StoreReply::Missing { ids: ids.clone() },
            StoreRequest::Handoff { turns } => {
                *transferred.entry(outgoing.store.clone()).or_default() += turns.len();
                StoreReply::Stored
            }
            other => panic!("{other:?}"),
        };
        harness.reply(&outgoing, reply);
        harness.run_disk_jobs();
    }
    assert_eq!(harness.declared, [Declaration::Drained { epoch: 0 }]);
    assert_eq!(transferred.keys().collect::<Vec<_>>(), {
        let mut sorted: Vec<&String> = replicas.iter().collect();
        sorted.sort();
        sorted
    });
    assert!(transferred.values().all(|count| *count == turns.len()));
    let rejected = harness.call(StoreRequest::Put {
        turn: turn("d", None),
        hint: None,
    });
    assert_eq!(rejected, StoreReply::Rejected(Rejection::Retiring));
}

/// Replies to all requests as replicas that hold no turns; returns the ids that each replica was handed.
fn drain_into_replicas(harness: &mut Harness) -> BTreeMap<String, BTreeSet<String>> {
    let mut transferred: BTreeMap<String, BTreeSet<String>> = BTreeMap::new();
    while !harness.outgoing.is_empty() {
        let outgoing = harness.next_request();
        let reply = match &outgoing.request {
            StoreRequest::Offer { ids } => StoreReply::Missing { ids: ids.clone() },
            StoreRequest::Handoff { turns } => {
                let ids = turns.iter().map(|stored| stored.turn.id.clone());
                transferred
                    .entry(outgoing.store.clone())
                    .or_default()
                    .extend(ids);
                StoreReply::Stored
            }
            StoreRequest::List { .. } => StoreReply::Listed {
                turns: Vec::new(),
                next: None,
            },
            other => panic!("{other:?}"),
        };
        harness.reply(&outgoing, reply);
        harness.run_disk_jobs();
    }
    transferred
}

#[test]
fn a_draining_store_accepts_turns_and_is_not_drained_before_they_are_elsewhere() {
    let mut harness = complete_store(&chain());
    let (stores, replicas) = draining();
    harness.change_membership(&stores);
    harness.reply_to_listings();
    assert_eq!(
        harness.call(StoreRequest::Put {
            turn: turn("d", None),
            hint: None
        }),
        StoreReply::Stored
    );
    harness.advance_to(400);
    drain_into_replicas(&mut harness);
    assert_eq!(
        harness.call(StoreRequest::Put {
            turn: turn("e", None),
            hint: None
        }),
        StoreReply::Stored
    );
    assert!(
        harness.declared.is_empty(),
        "drained before the last accepted turn was handed over"
    );
    harness.advance_to(3_000);
    let transferred = drain_into_replicas(&mut harness);
    assert_eq!(harness.declared, [Declaration::Drained { epoch: 0 }]);
    for replica in replicas {
        assert!(
            transferred[&replica].contains("e"),
            "{replica}: {transferred:?}"
        );
    }
}

#[test]
fn a_drained_store_accepts_turns_again_only_in_another_epoch() {
    let mut harness = complete_store(&chain());
    let (mut stores, _) = draining();
    stores[0].epoch = 7;
    harness.change_membership(&stores);
    harness.advance_to(1_000);
    drain_into_replicas(&mut harness);
    assert_eq!(harness.declared, [Declaration::Drained { epoch: 7 }]);
    assert_eq!(harness.node.drained_in_epoch(), Some(7));
    harness.change_membership(&stores);
    assert_eq!(
        harness.node.drained_in_epoch(),
        Some(7),
        "the epoch has not changed"
    );
    let put = StoreRequest::Put {
        turn: turn("d", None),
        hint: None,
    };
    assert_eq!(
        harness.call(put.clone()),
        StoreReply::Rejected(Rejection::Retiring)
    );
    stores[0].epoch = 8;
    stores[1].disk = 9;
    harness.change_membership(&stores);
    assert_eq!(
        harness.node.drained_in_epoch(),
        None,
        "the declaration of the earlier epoch is void"
    );
    assert_eq!(harness.call(put), StoreReply::Stored);
    harness.advance_to(3_000);
    let transferred = drain_into_replicas(&mut harness);
    assert_eq!(
        harness.declared.last(),
        Some(&Declaration::Drained { epoch: 8 })
    );
    assert!(
        transferred.values().all(|ids| ids.len() == 4),
        "all turns are offered again: {transferred:?}"
    );
}

/// Whether a store declares that it is drained although `change` was made to one of its replicas.
fn is_drained_despite(change: fn(&mut StoreEntry), safeguards: Safeguards) -> bool {
    let mut harness = complete_store_with(&chain(), safeguards);
    let (mut stores, replicas) = draining();
    let replica = stores
        .iter()
        .position(|store| store.name == replicas[1])
        .unwrap();
    change(&mut stores[replica]);
    harness.change_membership(&stores);
    harness.advance_to(400);
    drain_into_replicas(&mut harness);
    let drained_too_early = !harness.declared.is_empty();
    stores[replica] = StoreEntry {
        present: true,
        complete: true,
        ..stores[replica].clone()
    };
    harness.change_membership(&stores);
    harness.advance_to(2_000);
    drain_into_replicas(&mut harness);
    assert_eq!(
        harness.declared.len(),
        1,
        "drained once the replica is present and complete"
    );
    drained_too_early
}

#[test]
fn a_store_is_not_drained_while_a_replica_is_absent_or_incomplete() {
    let changes: [fn(&mut StoreEntry); 2] = [
        |replica| replica.present = false,
        |replica| replica.complete = false,
    ];
    for change in changes {
        assert!(!is_drained_despite(change, Safeguards::default()));
        let without = Safeguards::without(Safeguard::ReplicasPresentAndComplete);
        assert!(
            is_drained_despite(change, without),
            "no counterexample without the safeguard"
        );
    }
}

#[test]
fn a_declaration_is_void_in_another_epoch() {
    let declaration_remains = |safeguards| {
        let mut harness = complete_store_with(&chain(), safeguards);
        let (mut stores, replicas) = draining();
        harness.change_membership(&stores);
        harness.advance_to(1_000);
        drain_into_replicas(&mut harness);
        stores[0].epoch = 1;
        // A replica loses its disk after it has acknowledged the turns.
        stores
            .iter_mut()
            .find(|store| store.name == replicas[0])
            .unwrap()
            .disk = 9;
        harness.change_membership(&stores);
        harness.node.drained_in_epoch().is_some()
    };
    assert!(!declaration_remains(Safeguards::default()));
    assert!(
        declaration_remains(Safeguards::without(Safeguard::EpochsChecked)),
        "no counterexample without the safeguard"
    );
}

/// A store declares that it is drained and restarts; the core receives the declaration before it registers the new
/// incarnation. Returns whether a turn that the new incarnation acknowledged is lost with the removed machine.
fn late_declaration_loses_a_turn(safeguards: Safeguards) -> bool {
    let (mut stores, _) = draining();
    let mut new_incarnation = Harness::with_safeguards("storage-0", false, &chain(), safeguards);
    stores[0].incarnation = 0;
    new_incarnation.change_membership(&stores);
    let acknowledged = new_incarnation.call(StoreRequest::Put {
        turn: turn("d", None),
        hint: None,
    }) == StoreReply::Stored;
    // The core knows only the earlier incarnation and agrees to its declaration.
    stores[0] = StoreEntry {
        retiring: false,
        retired: true,
        ..stores[0].clone()
    };
    new_incarnation.change_membership(&stores);
    acknowledged && new_incarnation.node.is_drained()
}

#[test]
fn a_late_declaration_of_an_earlier_incarnation_loses_nothing() {
    assert!(!late_declaration_loses_a_turn(Safeguards::default()));
    let without = Safeguards::without(Safeguard::IncarnationRegistered);
    assert!(
        late_declaration_loses_a_turn(without),
        "no counterexample without the safeguard"
    );
}

#[test]
fn turns_are_accepted_only_in_a_registered_incarnation() {
    let mut harness = Harness::new("storage-0", false, &[]);
    let put = StoreRequest::Put {
        turn: turn("d", None),
        hint: None,
    };
    assert_eq!(
        harness.call(put.clone()),
        StoreReply::Rejected(Rejection::Joining),
        "before the first membership"
    );
    let mut stores = stores(3);
    stores[0].incarnation = 0;
    harness.change_membership(&stores);
    assert_eq!(
        harness.call(put.clone()),
        StoreReply::Rejected(Rejection::Joining),
        "an earlier incarnation"
    );
    stores[0].incarnation = 1;
    stores[0].disk = 9;
    harness.change_membership(&stores);
    assert_eq!(
        harness.call(put.clone()),
        StoreReply::Rejected(Rejection::Joining),
        "another disk"
    );
    stores[0].disk = 1;
    harness.change_membership(&stores);
    assert_eq!(harness.call(put), StoreReply::Stored);
}

#[test]
fn a_handoff_that_a_replica_rejects_is_retried() {
    let mut harness = complete_store(&chain());
    let (stores, _) = draining();
    harness.change_membership(&stores);
    harness.reply_to_listings();
    harness.advance_to(1_000);
    let outgoing = harness.next_request();
    let StoreRequest::Offer { ids } = &outgoing.request else {
        panic!("{outgoing:?}");
    };
    harness.reply(&outgoing, StoreReply::Missing { ids: ids.clone() });
    harness.run_disk_jobs();
    let handoff = harness.next_request();
    harness.reply(&handoff, StoreReply::Rejected(Rejection::Disk));
    for _ in 0..20 {
        harness.advance_to(harness.node.next_due());
        harness.run_disk_jobs();
        harness
            .outgoing
            .retain(|outgoing| outgoing.store != handoff.store);
        while let Some(outgoing) = harness.outgoing.pop() {
            harness.reply(&outgoing, StoreReply::Missing { ids: Vec::new() });
        }
    }
    assert!(harness.declared.is_empty());
}

#[test]
fn a_new_replica_that_loses_its_disk_is_offered_everything_again() {
    let mut harness = complete_store(&chain());
    let (mut stores, _) = draining();
    harness.change_membership(&stores);
    harness.reply_to_listings();
    harness.advance_to(1_000);
    let first = harness.next_request();
    stores
        .iter_mut()
        .find(|store| store.name == first.store)
        .unwrap()
        .disk = 9;
    harness.change_membership(&stores);
    harness.reply(&first, StoreReply::Missing { ids: Vec::new() });
    harness.reply_to_listings();
    harness.advance_to(2_000);
    let offered_again = harness
        .outgoing
        .iter()
        .any(|outgoing| outgoing.store == first.store);
    assert!(offered_again, "{:?}", harness.outgoing);
    assert!(harness.declared.is_empty());
}

#[test]
fn a_store_is_not_drained_with_too_few_other_stores() {
    let mut harness = complete_store(&chain());
    let mut stores = stores(2);
    stores[0].retiring = true;
    harness.change_membership(&stores);
    harness.reply_to_listings();
    for now_ms in (1_000..20_000).step_by(500) {
        harness.advance_to(now_ms);
        harness.run_disk_jobs();
        while let Some(outgoing) = harness.outgoing.pop() {
            harness.reply(&outgoing, StoreReply::Missing { ids: Vec::new() });
        }
    }
    assert!(harness.declared.is_empty());
}
