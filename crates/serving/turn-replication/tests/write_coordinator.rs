//! The write of one turn: which stores are contacted at what time, and when there is a quorum.

mod common;

use common::{ranked_stores, stores, turn, PROGRAM};
use dunespur_turn_replication::attempt::{HEDGE_DELAY_MS, RETRY_DELAY_MS};
use dunespur_turn_replication::membership::StoreEntry;
use dunespur_turn_replication::write_coordinator::{
    ReplicaWrite, WriteCoordinator, WriteOutcome, WRITE_DEADLINE_MS,
};

fn begin(stores: &[StoreEntry], replication_factor: usize) -> WriteCoordinator {
    WriteCoordinator::new(&turn("t", None).header(), stores, replication_factor, 0)
}

fn writes(coordinator: &mut WriteCoordinator) -> Vec<ReplicaWrite> {
    std::iter::from_fn(|| coordinator.poll()).collect()
}

fn names(writes: &[ReplicaWrite]) -> Vec<&str> {
    writes.iter().map(|write| write.store.as_str()).collect()
}

#[test]
fn the_replicas_are_contacted_and_all_must_acknowledge() {
    let stores = stores(4);
    let ranked = ranked_stores(PROGRAM, &stores);
    let mut coordinator = begin(&stores, 2);
    let contacted = writes(&mut coordinator);
    assert_eq!(names(&contacted), [&ranked[0], &ranked[1]]);
    assert!(contacted.iter().all(|write| write.hint.is_none()));
    coordinator.acknowledged(&ranked[0], 1);
    coordinator.acknowledged(&ranked[0], 2);
    assert_eq!(
        coordinator.outcome(),
        None,
        "an acknowledgement of one store counted twice"
    );
    coordinator.acknowledged(&ranked[1], 3);
    assert_eq!(coordinator.outcome(), Some(WriteOutcome::Stored));
    assert_eq!(coordinator.next_due(), None);
}

#[test]
fn a_replica_that_fails_is_replaced_by_a_substitute_with_a_hint() {
    let stores = stores(4);
    let ranked = ranked_stores(PROGRAM, &stores);
    let mut coordinator = begin(&stores, 2);
    writes(&mut coordinator);
    coordinator.failed(&ranked[1], 5);
    let contacted = writes(&mut coordinator);
    assert_eq!(
        contacted,
        [ReplicaWrite {
            store: ranked[2].clone(),
            hint: Some(ranked[1].clone())
        }]
    );
    coordinator.acknowledged(&ranked[0], 6);
    coordinator.acknowledged(&ranked[2], 7);
    assert_eq!(coordinator.outcome(), Some(WriteOutcome::Stored));
}

#[test]
fn a_slow_replica_gets_a_substitute_but_its_acknowledgement_still_counts() {
    let stores = stores(3);
    let ranked = ranked_stores(PROGRAM, &stores);
    let mut coordinator = begin(&stores, 2);
    writes(&mut coordinator);
    coordinator.acknowledged(&ranked[0], 2);
    assert_eq!(coordinator.next_due(), Some(HEDGE_DELAY_MS));
    coordinator.tick(HEDGE_DELAY_MS);
    assert_eq!(
        writes(&mut coordinator),
        [ReplicaWrite {
            store: ranked[2].clone(),
            hint: Some(ranked[1].clone())
        }]
    );
    coordinator.acknowledged(&ranked[1], HEDGE_DELAY_MS + 1);
    assert_eq!(coordinator.outcome(), Some(WriteOutcome::Stored));
}

#[test]
fn an_absent_replica_is_not_waited_for() {
    let mut stores = stores(3);
    let ranked = ranked_stores(PROGRAM, &stores);
    stores
        .iter_mut()
        .find(|store| store.name == ranked[0])
        .unwrap()
        .present = false;
    let contacted = writes(&mut begin(&stores, 2));
    assert_eq!(names(&contacted), [&ranked[1], &ranked[2]]);
    assert_eq!(contacted[1].hint, Some(ranked[0].clone()));
}

#[test]
fn failed_stores_are_retried_until_the_deadline() {
    let stores = stores(2);
    let ranked = ranked_stores(PROGRAM, &stores);
    let mut coordinator = begin(&stores, 2);
    writes(&mut coordinator);
    coordinator.acknowledged(&ranked[0], 1);
    coordinator.failed(&ranked[1], 1);
    assert!(writes(&mut coordinator).is_empty());
    assert_eq!(coordinator.next_due(), Some(1 + RETRY_DELAY_MS));
    coordinator.tick(1 + RETRY_DELAY_MS);
    assert_eq!(names(&writes(&mut coordinator)), [&ranked[1]]);
    coordinator.tick(WRITE_DEADLINE_MS);
    assert_eq!(coordinator.outcome(), Some(WriteOutcome::Uncertain));
    coordinator.acknowledged(&ranked[1], WRITE_DEADLINE_MS + 1);
    assert_eq!(
        coordinator.outcome(),
        Some(WriteOutcome::Uncertain),
        "an outcome never changes"
    );
}

#[test]
fn next_due_is_always_in_the_future() {
    let stores = stores(4);
    let ranked = ranked_stores(PROGRAM, &stores);
    let mut coordinator = begin(&stores, 2);
    coordinator.failed(&ranked[0], 3);
    coordinator.acknowledged(&ranked[2], 4);
    let mut now_ms = 4;
    while let Some(due_ms) = coordinator.next_due() {
        assert!(due_ms > now_ms, "due at {due_ms}, called at {now_ms}");
        now_ms = due_ms;
        coordinator.tick(now_ms);
        writes(&mut coordinator);
    }
    assert_eq!(coordinator.outcome(), Some(WriteOutcome::Uncertain));
}

#[test]
fn too_few_stores_are_never_a_quorum() {
    let stores = stores(1);
    let mut coordinator = begin(&stores, 2);
    coordinator.acknowledged(&stores[0].name, 1);
    assert_eq!(coordinator.outcome(), None);
    coordinator.tick(WRITE_DEADLINE_MS);
    assert_eq!(coordinator.outcome(), Some(WriteOutcome::Uncertain));
}

#[test]
fn acknowledgements_of_two_stores_in_one_zone_do_not_span_two_zones() {
    let mut stores = stores(4);
    for store in &mut stores {
        store.zone = if store.name.as_str() < "storage-2" {
            "a".into()
        } else {
            "b".into()
        };
    }
    let ranked = ranked_stores(PROGRAM, &stores);
    let zone = |name: &str| {
        stores
            .iter()
            .find(|store| store.name == name)
            .unwrap()
            .zone
            .clone()
    };
    let mut coordinator = begin(&stores, 2).spanning_zones(2);
    let first = writes(&mut coordinator);
    let failed_store = first[1].store.clone();
    coordinator.acknowledged(&ranked[0], 1);
    coordinator.failed(&failed_store, 1);
    let second = writes(&mut coordinator);
    assert_eq!(
        zone(&second[0].store),
        zone(&failed_store),
        "the substitute is in the zone without a replica"
    );
    let same_zone = ranked
        .iter()
        .find(|name| **name != ranked[0] && zone(name) == zone(&ranked[0]))
        .unwrap();
    coordinator.acknowledged(same_zone, 2);
    assert_eq!(coordinator.outcome(), None);
    coordinator.acknowledged(&second[0].store, 3);
    assert_eq!(coordinator.outcome(), Some(WriteOutcome::Stored));
}

#[test]
fn a_draining_store_is_contacted_last_among_present_stores() {
    let mut stores = stores(3);
    stores[0].retiring = true;
    let mut coordinator = begin(&stores, 2);
    let replicas = writes(&mut coordinator);
    assert!(
        replicas.iter().all(|write| write.store != stores[0].name),
        "{replicas:?}"
    );
    coordinator.acknowledged(&replicas[0].store, 2);
    coordinator.tick(HEDGE_DELAY_MS);
    let last_resort = ReplicaWrite {
        store: stores[0].name.clone(),
        hint: Some(replicas[1].store.clone()),
    };
    assert_eq!(writes(&mut coordinator), [last_resort]);
    coordinator.acknowledged(&stores[0].name, HEDGE_DELAY_MS + 2);
    assert_eq!(coordinator.outcome(), Some(WriteOutcome::Stored));
}

#[test]
fn a_draining_store_is_contacted_before_an_absent_store_and_a_retired_store_never() {
    let mut stores = stores(4);
    stores[0].retiring = true;
    stores[1].present = false;
    stores[2].retired = true;
    let contacted = writes(&mut begin(&stores, 2));
    assert_eq!(names(&contacted), ["storage-3", "storage-0"]);
}
