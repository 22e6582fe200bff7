//! Keeping one turn: who is asked when, and when it counts as kept.

mod common;

use common::{order, stores, turn, PROGRAM};
use dunespur_turn_replication::roster::Store;
use dunespur_turn_replication::write::{
    Put, Verdict, Writing, HEDGE_MS, RETRY_MS, WRITE_DEADLINE_MS,
};

fn begin(stores: &[Store], copies: usize) -> Writing {
    Writing::new(&turn("t", None).header(), stores, copies, 0)
}

fn puts(writing: &mut Writing) -> Vec<Put> {
    std::iter::from_fn(|| writing.poll()).collect()
}

fn names(puts: &[Put]) -> Vec<&str> {
    puts.iter().map(|put| put.store.as_str()).collect()
}

#[test]
fn the_homes_are_asked_and_all_must_acknowledge() {
    let stores = stores(4);
    let order = order(PROGRAM, &stores);
    let mut writing = begin(&stores, 2);
    let sent = puts(&mut writing);
    assert_eq!(names(&sent), [&order[0], &order[1]]);
    assert!(sent.iter().all(|put| put.hint.is_none()));
    writing.acknowledged(&order[0], 1);
    writing.acknowledged(&order[0], 2);
    assert_eq!(writing.verdict(), None, "one store counted twice");
    writing.acknowledged(&order[1], 3);
    assert_eq!(writing.verdict(), Some(Verdict::Kept));
    assert_eq!(writing.next_due(), None);
}

#[test]
fn a_home_that_fails_gets_a_stand_in_with_a_hint_at_once() {
    let stores = stores(4);
    let order = order(PROGRAM, &stores);
    let mut writing = begin(&stores, 2);
    puts(&mut writing);
    writing.failed(&order[1], 5);
    let sent = puts(&mut writing);
    assert_eq!(
        sent,
        [Put {
            store: order[2].clone(),
            hint: Some(order[1].clone())
        }]
    );
    writing.acknowledged(&order[0], 6);
    writing.acknowledged(&order[2], 7);
    assert_eq!(writing.verdict(), Some(Verdict::Kept));
}

#[test]
fn a_slow_home_gets_a_stand_in_and_still_counts() {
    let stores = stores(3);
    let order = order(PROGRAM, &stores);
    let mut writing = begin(&stores, 2);
    puts(&mut writing);
    writing.acknowledged(&order[0], 2);
    assert_eq!(writing.next_due(), Some(HEDGE_MS));
    writing.due(HEDGE_MS);
    assert_eq!(
        puts(&mut writing),
        [Put {
            store: order[2].clone(),
            hint: Some(order[1].clone())
        }]
    );
    writing.acknowledged(&order[1], HEDGE_MS + 1);
    assert_eq!(writing.verdict(), Some(Verdict::Kept));
}

#[test]
fn an_absent_home_is_not_waited_for() {
    let mut stores = stores(3);
    let order = order(PROGRAM, &stores);
    stores
        .iter_mut()
        .find(|store| store.name == order[0])
        .unwrap()
        .present = false;
    let sent = puts(&mut begin(&stores, 2));
    assert_eq!(names(&sent), [&order[1], &order[2]]);
    assert_eq!(sent[1].hint, Some(order[0].clone()));
}

#[test]
fn failed_stores_are_tried_again_until_the_deadline() {
    let stores = stores(2);
    let order = order(PROGRAM, &stores);
    let mut writing = begin(&stores, 2);
    puts(&mut writing);
    writing.acknowledged(&order[0], 1);
    writing.failed(&order[1], 1);
    assert!(puts(&mut writing).is_empty());
    assert_eq!(writing.next_due(), Some(1 + RETRY_MS));
    writing.due(1 + RETRY_MS);
    assert_eq!(names(&puts(&mut writing)), [&order[1]]);
    writing.due(WRITE_DEADLINE_MS);
    assert_eq!(writing.verdict(), Some(Verdict::Unsure));
    writing.acknowledged(&order[1], WRITE_DEADLINE_MS + 1);
    assert_eq!(
        writing.verdict(),
        Some(Verdict::Unsure),
        "what was said once stays said"
    );
}

#[test]
fn it_never_asks_to_be_called_at_once_again() {
    let stores = stores(4);
    let order = order(PROGRAM, &stores);
    let mut writing = begin(&stores, 2);
    writing.failed(&order[0], 3);
    writing.acknowledged(&order[2], 4);
    let mut now_ms = 4;
    while let Some(due_ms) = writing.next_due() {
        assert!(due_ms > now_ms, "due at {due_ms}, called at {now_ms}");
        now_ms = due_ms;
        writing.due(now_ms);
        puts(&mut writing);
    }
    assert_eq!(writing.verdict(), Some(Verdict::Unsure));
}

#[test]
fn too_few_stores_are_never_enough() {
    let stores = stores(1);
    let mut writing = begin(&stores, 2);
    writing.acknowledged(&stores[0].name, 1);
    assert_eq!(writing.verdict(), None);
    writing.due(WRITE_DEADLINE_MS);
    assert_eq!(writing.verdict(), Some(Verdict::Unsure));
}

#[test]
fn two_stores_of_one_zone_are_not_two_zones() {
    let mut stores = stores(4);
    for store in &mut stores {
        store.zone = if store.name.as_str() < "storage-2" {
            "a".into()
        } else {
            "b".into()
        };
    }
    let order = order(PROGRAM, &stores);
    let zone = |name: &str| {
        stores
            .iter()
            .find(|store| store.name == name)
            .unwrap()
            .zone
            .clone()
    };
    let mut writing = begin(&stores, 2).over_zones(2);
    let first = puts(&mut writing);
    let lost = first[1].store.clone();
    writing.acknowledged(&order[0], 1);
    writing.failed(&lost, 1);
    let second = puts(&mut writing);
    assert_eq!(
        zone(&second[0].store),
        zone(&lost),
        "the stand-in lies in the zone that has no copy"
    );
    let same_zone = order
        .iter()
        .find(|name| **name != order[0] && zone(name) == zone(&order[0]))
        .unwrap();
    writing.acknowledged(same_zone, 2);
    assert_eq!(writing.verdict(), None);
    writing.acknowledged(&second[0].store, 3);
    assert_eq!(writing.verdict(), Some(Verdict::Kept));
}

#[test]
fn a_store_that_is_being_emptied_is_asked_last_of_those_present() {
    let mut stores = stores(3);
    stores[0].retiring = true;
    let mut writing = begin(&stores, 2);
    let homes = puts(&mut writing);
    assert!(
        homes.iter().all(|put| put.store != stores[0].name),
        "{homes:?}"
    );
    writing.acknowledged(&homes[0].store, 2);
    writing.due(HEDGE_MS);
    let fallback = Put {
        store: stores[0].name.clone(),
        hint: Some(homes[1].store.clone()),
    };
    assert_eq!(puts(&mut writing), [fallback]);
    writing.acknowledged(&stores[0].name, HEDGE_MS + 2);
    assert_eq!(writing.verdict(), Some(Verdict::Kept));
}

#[test]
fn a_store_that_is_being_emptied_goes_before_one_that_is_away_and_one_that_was_emptied_is_not_asked(
) {
    let mut stores = stores(4);
    stores[0].retiring = true;
    stores[1].present = false;
    stores[2].retired = true;
    let sent = puts(&mut begin(&stores, 2));
    assert_eq!(names(&sent), ["storage-3", "storage-0"]);
}
