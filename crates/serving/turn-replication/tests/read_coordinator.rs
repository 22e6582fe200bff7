//! The read of a chain: which stores are queried, how segments are joined, and when a turn counts as unknown.

mod common;

use common::{ranked_stores, stores, turn, PROGRAM};
use dunespur_turn_replication::attempt::{HEDGE_DELAY_MS, RETRY_DELAY_MS};
use dunespur_turn_replication::membership::StoreEntry;
use dunespur_turn_replication::message::StoreReply;
use dunespur_turn_replication::read_coordinator::{
    ChainLimits, ChainQuery, ReadCoordinator, ReadOutcome, ABSENT_STORE_WAIT_MS, READ_DEADLINE_MS,
};
use dunespur_turn_replication::turn::Turn;

fn begin(stores: &[StoreEntry]) -> ReadCoordinator {
    ReadCoordinator::new("c", PROGRAM, stores, 2, 0)
}

fn queries(coordinator: &mut ReadCoordinator) -> Vec<ChainQuery> {
    std::iter::from_fn(|| coordinator.poll()).collect()
}

fn queried_stores(coordinator: &mut ReadCoordinator) -> Vec<String> {
    queries(coordinator)
        .into_iter()
        .map(|query| query.store)
        .collect()
}

fn found(turns: &[Turn], missing: Option<&str>) -> StoreReply {
    StoreReply::Found {
        turns: turns.to_vec(),
        missing: missing.map(str::to_owned),
        has_more: false,
    }
}

fn unknown(stores: &[StoreEntry]) -> StoreReply {
    let known_stores = stores.iter().map(|store| store.name.clone()).collect();
    StoreReply::Unknown {
        complete: true,
        known_stores,
    }
}

fn chain() -> Vec<Turn> {
    vec![turn("a", None), turn("b", Some("a")), turn("c", Some("b"))]
}

/// The outcome if each store sends the reply that `reply` returns for its rank in the preference list.
fn outcome_if_all_reply(
    stores: &[StoreEntry],
    reply: impl Fn(usize) -> StoreReply,
) -> Option<ReadOutcome> {
    let mut coordinator = begin(stores);
    for (rank, name) in ranked_stores(PROGRAM, stores).into_iter().enumerate() {
        coordinator.replied(&name, "c", reply(rank), 1);
    }
    coordinator.take_outcome()
}

#[test]
fn the_first_replica_is_queried_and_its_chain_is_enough() {
    let stores = stores(4);
    let ranked = ranked_stores(PROGRAM, &stores);
    let mut coordinator = begin(&stores);
    assert_eq!(queried_stores(&mut coordinator), [ranked[0].clone()]);
    coordinator.replied(&ranked[0], "c", found(&chain(), None), 1);
    assert_eq!(
        coordinator.take_outcome(),
        Some(ReadOutcome::Chain(chain()))
    );
    assert_eq!(coordinator.next_due(), None);
}

#[test]
fn a_replica_of_the_preferred_zone_is_queried_first() {
    let stores = stores(4);
    let ranked = ranked_stores(PROGRAM, &stores);
    let second = stores.iter().find(|store| store.name == ranked[1]).unwrap();
    let mut coordinator =
        ReadCoordinator::preferring_zone("c", PROGRAM, &stores, 2, &second.zone, 0);
    assert_eq!(queried_stores(&mut coordinator), [ranked[1].clone()]);
    let far = stores.iter().find(|store| store.name == ranked[3]).unwrap();
    let mut coordinator = ReadCoordinator::preferring_zone("c", PROGRAM, &stores, 2, &far.zone, 0);
    assert_eq!(
        queried_stores(&mut coordinator),
        [ranked[0].clone()],
        "a store that is not a replica is not queried first"
    );
}

#[test]
fn the_other_replica_is_queried_beside_a_slow_one() {
    let stores = stores(4);
    let ranked = ranked_stores(PROGRAM, &stores);
    let mut coordinator = begin(&stores);
    queries(&mut coordinator);
    assert_eq!(coordinator.next_due(), Some(HEDGE_DELAY_MS));
    coordinator.tick(HEDGE_DELAY_MS);
    assert_eq!(queried_stores(&mut coordinator), [ranked[1].clone()]);
    coordinator.replied(&ranked[0], "c", found(&chain(), None), HEDGE_DELAY_MS + 1);
    assert_eq!(
        coordinator.take_outcome(),
        Some(ReadOutcome::Chain(chain()))
    );
}

#[test]
fn all_other_stores_are_queried_for_a_turn_that_the_replica_lacks() {
    let stores = stores(4);
    let ranked = ranked_stores(PROGRAM, &stores);
    let mut coordinator = begin(&stores);
    queries(&mut coordinator);
    coordinator.replied(&ranked[0], "c", unknown(&stores), 1);
    assert_eq!(queried_stores(&mut coordinator), ranked[1..]);
}

#[test]
fn segments_of_several_stores_are_joined() {
    let stores = stores(3);
    let ranked = ranked_stores(PROGRAM, &stores);
    let turns = chain();
    let mut coordinator = begin(&stores);
    queries(&mut coordinator);
    coordinator.replied(&ranked[0], "c", found(&turns[1..], Some("a")), 1);
    let second: Vec<ChainQuery> = queries(&mut coordinator);
    assert!(
        second
            .iter()
            .all(|query| query.id == "a" && query.store != ranked[0]),
        "{second:?}"
    );
    coordinator.replied(&ranked[1], "a", unknown(&stores), 2);
    coordinator.replied(&ranked[2], "a", found(&turns[..1], None), 3);
    assert_eq!(coordinator.take_outcome(), Some(ReadOutcome::Chain(turns)));
}

#[test]
fn a_store_that_holds_more_of_the_chain_is_queried_again() {
    let stores = stores(3);
    let ranked = ranked_stores(PROGRAM, &stores);
    let turns = chain();
    let mut coordinator = begin(&stores);
    queries(&mut coordinator);
    let segment = StoreReply::Found {
        turns: turns[1..].to_vec(),
        missing: Some("a".into()),
        has_more: true,
    };
    coordinator.replied(&ranked[0], "c", segment, 1);
    assert_eq!(
        queries(&mut coordinator),
        [ChainQuery {
            store: ranked[0].clone(),
            id: "a".into()
        }]
    );
    coordinator.replied(&ranked[0], "a", found(&turns[..1], None), 2);
    assert_eq!(coordinator.take_outcome(), Some(ReadOutcome::Chain(turns)));
}

#[test]
fn a_turn_is_unknown_if_all_stores_reply_so() {
    let stores = stores(4);
    assert_eq!(
        outcome_if_all_reply(&stores, |_| unknown(&stores)),
        Some(ReadOutcome::Unknown)
    );
}

#[test]
fn a_turn_is_not_unknown_while_a_store_is_incomplete() {
    let stores = stores(4);
    let incomplete = StoreReply::Unknown {
        complete: false,
        known_stores: Vec::new(),
    };
    for position in 0..4 {
        let reply = |rank| {
            if rank == position {
                incomplete.clone()
            } else {
                unknown(&stores)
            }
        };
        assert_eq!(
            outcome_if_all_reply(&stores, reply),
            Some(ReadOutcome::Uncertain)
        );
    }
}

#[test]
fn a_turn_is_not_unknown_with_a_stale_membership() {
    let stale = stores(3);
    let newer = stores(4);
    let reply = |rank| {
        if rank == 1 {
            unknown(&newer)
        } else {
            unknown(&stale)
        }
    };
    assert_eq!(
        outcome_if_all_reply(&stale, reply),
        Some(ReadOutcome::Uncertain)
    );
}

#[test]
fn a_turn_is_not_unknown_while_a_store_can_not_be_queried() {
    let stores = stores(3);
    let ranked = ranked_stores(PROGRAM, &stores);
    let mut coordinator = begin(&stores);
    coordinator.replied(&ranked[0], "c", unknown(&stores), 1);
    coordinator.replied(&ranked[1], "c", unknown(&stores), 1);
    coordinator.failed(&ranked[2], "c", 1);
    assert_eq!(coordinator.take_outcome(), None);
    queries(&mut coordinator);
    assert_eq!(coordinator.next_due(), Some(1 + RETRY_DELAY_MS));
    coordinator.tick(1 + RETRY_DELAY_MS);
    assert_eq!(queried_stores(&mut coordinator), [ranked[2].clone()]);
    coordinator.tick(READ_DEADLINE_MS);
    assert_eq!(coordinator.take_outcome(), Some(ReadOutcome::Uncertain));
}

#[test]
fn an_absent_store_is_waited_for_only_briefly() {
    let mut stores = stores(3);
    let ranked = ranked_stores(PROGRAM, &stores);
    stores
        .iter_mut()
        .find(|store| store.name == ranked[0])
        .unwrap()
        .present = false;
    for late in [false, true] {
        let mut coordinator = begin(&stores);
        assert_eq!(
            queried_stores(&mut coordinator),
            [ranked[1].clone()],
            "the present replica is queried first"
        );
        coordinator.replied(&ranked[1], "c", unknown(&stores), 1);
        coordinator.replied(&ranked[2], "c", unknown(&stores), 2);
        assert_eq!(
            coordinator.take_outcome(),
            None,
            "not unknown before the absent store replies"
        );
        if late {
            coordinator.replied(&ranked[0], "c", found(&chain(), None), 3);
            assert_eq!(
                coordinator.take_outcome(),
                Some(ReadOutcome::Chain(chain()))
            );
        } else {
            coordinator.tick(2 + ABSENT_STORE_WAIT_MS);
            assert_eq!(coordinator.take_outcome(), Some(ReadOutcome::Uncertain));
        }
    }
}

#[test]
fn a_turn_is_not_unknown_once_some_of_its_chain_was_found() {
    let stores = stores(2);
    let ranked = ranked_stores(PROGRAM, &stores);
    let mut coordinator = begin(&stores);
    coordinator.replied(&ranked[0], "c", found(&chain()[2..], Some("b")), 1);
    coordinator.replied(&ranked[1], "b", unknown(&stores), 2);
    assert_eq!(coordinator.take_outcome(), Some(ReadOutcome::Uncertain));
}

#[test]
fn a_draining_store_is_queried_and_a_retired_one_is_not() {
    let mut stores = stores(4);
    stores[0].retiring = true;
    stores[1].retiring = true;
    stores[1].retired = true;
    let mut coordinator = begin(&stores);
    let first = queried_stores(&mut coordinator);
    coordinator.replied(&first[0], "c", unknown(&stores), 1);
    let rest = queried_stores(&mut coordinator);
    assert!(
        rest.contains(&"storage-0".to_owned()) && !rest.contains(&"storage-1".to_owned()),
        "{rest:?}"
    );
}

#[test]
fn without_a_membership_nothing_is_certain() {
    assert_eq!(begin(&[]).take_outcome(), Some(ReadOutcome::Uncertain));
}

#[test]
fn a_reply_that_is_not_a_valid_chain_is_ignored() {
    let stores = stores(2);
    let ranked = ranked_stores(PROGRAM, &stores);
    let turns = chain();
    let gap = [turns[0].clone(), turns[2].clone()];
    for invalid in [
        found(&turns[..2], None),
        found(&gap, None),
        found(&turns[1..], None),
        found(&[], None),
    ] {
        let mut coordinator = begin(&stores);
        coordinator.replied(&ranked[0], "c", invalid, 1);
        assert_eq!(coordinator.take_outcome(), None);
    }
}

#[test]
fn a_chain_beyond_its_limits_is_too_long() {
    let stores = stores(2);
    let ranked = ranked_stores(PROGRAM, &stores);
    for limits in [
        ChainLimits {
            turns: 2,
            bytes: u64::MAX,
        },
        ChainLimits {
            turns: 9,
            bytes: 10,
        },
    ] {
        let mut coordinator = begin(&stores).with_limits(limits);
        coordinator.replied(&ranked[0], "c", found(&chain(), None), 1);
        assert_eq!(coordinator.take_outcome(), Some(ReadOutcome::TooLong));
    }
}

#[test]
fn next_due_is_always_in_the_future() {
    let stores = stores(4);
    let ranked = ranked_stores(PROGRAM, &stores);
    let mut coordinator = begin(&stores);
    coordinator.failed(&ranked[0], "c", 1);
    let mut now_ms = 1;
    while let Some(due_ms) = coordinator.next_due() {
        assert!(due_ms > now_ms, "due at {due_ms}, called at {now_ms}");
        now_ms = due_ms;
        coordinator.tick(now_ms);
        queries(&mut coordinator);
    }
    assert_eq!(coordinator.take_outcome(), Some(ReadOutcome::Uncertain));
}
