//! Looking a chain up: who is asked, how pieces are joined, and when a turn may be called unknown.

mod common;

use common::{order, stores, turn, PROGRAM};
use dunespur_turn_replication::message::StoreReply;
use dunespur_turn_replication::read::{
    Ask, Bounds, Outcome, Reading, ABSENT_WAIT_MS, HEDGE_MS, READ_DEADLINE_MS, RETRY_MS,
};
use dunespur_turn_replication::roster::Store;
use dunespur_turn_replication::turn::Turn;

fn begin(stores: &[Store]) -> Reading {
    Reading::new("c", PROGRAM, stores, 2, 0)
}

fn asks(reading: &mut Reading) -> Vec<Ask> {
    std::iter::from_fn(|| reading.poll()).collect()
}

fn asked(reading: &mut Reading) -> Vec<String> {
    asks(reading).into_iter().map(|ask| ask.store).collect()
}

fn found(turns: &[Turn], missing: Option<&str>) -> StoreReply {
    StoreReply::Found {
        turns: turns.to_vec(),
        missing: missing.map(str::to_owned),
        more: false,
    }
}

fn unknown(stores: &[Store]) -> StoreReply {
    let knows = stores.iter().map(|store| store.name.clone()).collect();
    StoreReply::Unknown { whole: true, knows }
}

fn chain() -> Vec<Turn> {
    vec![turn("a", None), turn("b", Some("a")), turn("c", Some("b"))]
}

/// All stores say that they do not hold the turn, each in its way.
fn told_by_all(stores: &[Store], reply: impl Fn(usize) -> StoreReply) -> Option<Outcome> {
    let mut reading = begin(stores);
    for (number, name) in order(PROGRAM, stores).into_iter().enumerate() {
        reading.answered(&name, "c", reply(number), 1);
    }
    reading.take_outcome()
}

#[test]
fn the_first_home_is_asked_and_its_chain_is_enough() {
    let stores = stores(4);
    let order = order(PROGRAM, &stores);
    let mut reading = begin(&stores);
    assert_eq!(asked(&mut reading), [order[0].clone()]);
    reading.answered(&order[0], "c", found(&chain(), None), 1);
    assert_eq!(reading.take_outcome(), Some(Outcome::Chain(chain())));
    assert_eq!(reading.next_due(), None);
}

#[test]
fn a_home_of_the_own_zone_goes_first() {
    let stores = stores(4);
    let order = order(PROGRAM, &stores);
    let second = stores.iter().find(|store| store.name == order[1]).unwrap();
    let mut reading = Reading::near("c", PROGRAM, &stores, 2, Some(&second.zone), 0);
    assert_eq!(asked(&mut reading), [order[1].clone()]);
    let far = stores.iter().find(|store| store.name == order[3]).unwrap();
    let mut reading = Reading::near("c", PROGRAM, &stores, 2, Some(&far.zone), 0);
    assert_eq!(
        asked(&mut reading),
        [order[0].clone()],
        "a store that is no home does not go first"
    );
}

#[test]
fn a_slow_home_gets_the_other_home_beside_it() {
    let stores = stores(4);
    let order = order(PROGRAM, &stores);
    let mut reading = begin(&stores);
    asks(&mut reading);
    assert_eq!(reading.next_due(), Some(HEDGE_MS));
    reading.due(HEDGE_MS);
    assert_eq!(asked(&mut reading), [order[1].clone()]);
    reading.answered(&order[0], "c", found(&chain(), None), HEDGE_MS + 1);
    assert_eq!(reading.take_outcome(), Some(Outcome::Chain(chain())));
}

#[test]
fn what_the_home_lacks_is_asked_of_all_others_at_once() {
    let stores = stores(4);
    let order = order(PROGRAM, &stores);
    let mut reading = begin(&stores);
    asks(&mut reading);
    reading.answered(&order[0], "c", unknown(&stores), 1);
    assert_eq!(asked(&mut reading), order[1..]);
}

#[test]
fn pieces_are_joined_over_stores() {
    let stores = stores(3);
    let order = order(PROGRAM, &stores);
    let turns = chain();
    let mut reading = begin(&stores);
    asks(&mut reading);
    reading.answered(&order[0], "c", found(&turns[1..], Some("a")), 1);
    let second: Vec<Ask> = asks(&mut reading);
    assert!(
        second
            .iter()
            .all(|ask| ask.id == "a" && ask.store != order[0]),
        "{second:?}"
    );
    reading.answered(&order[1], "a", unknown(&stores), 2);
    reading.answered(&order[2], "a", found(&turns[..1], None), 3);
    assert_eq!(reading.take_outcome(), Some(Outcome::Chain(turns)));
}

#[test]
fn a_store_with_more_is_asked_again() {
    let stores = stores(3);
    let order = order(PROGRAM, &stores);
    let turns = chain();
    let mut reading = begin(&stores);
    asks(&mut reading);
    let piece = StoreReply::Found {
        turns: turns[1..].to_vec(),
        missing: Some("a".into()),
        more: true,
    };
    reading.answered(&order[0], "c", piece, 1);
    assert_eq!(
        asks(&mut reading),
        [Ask {
            store: order[0].clone(),
            id: "a".into()
        }]
    );
    reading.answered(&order[0], "a", found(&turns[..1], None), 2);
    assert_eq!(reading.take_outcome(), Some(Outcome::Chain(turns)));
}

#[test]
fn unknown_is_said_if_all_stores_say_so() {
    let stores = stores(4);
    assert_eq!(
        told_by_all(&stores, |_| unknown(&stores)),
        Some(Outcome::Unknown)
    );
}

#[test]
fn unknown_is_not_said_while_a_store_is_not_whole() {
    let stores = stores(4);
    let not_whole = StoreReply::Unknown {
        whole: false,
        knows: Vec::new(),
    };
    for lacking in 0..4 {
        let reply = |number| {
            if number == lacking {
                not_whole.clone()
            } else {
                unknown(&stores)
            }
        };
        assert_eq!(told_by_all(&stores, reply), Some(Outcome::Unsure));
    }
}

#[test]
fn unknown_is_not_said_with_an_old_list() {
    let list = stores(3);
    let newer = stores(4);
    let reply = |number| {
        if number == 1 {
            unknown(&newer)
        } else {
            unknown(&list)
        }
    };
    assert_eq!(told_by_all(&list, reply), Some(Outcome::Unsure));
}

#[test]
fn unknown_is_not_said_while_a_store_can_not_be_asked() {
    let stores = stores(3);
    let order = order(PROGRAM, &stores);
    let mut reading = begin(&stores);
    reading.answered(&order[0], "c", unknown(&stores), 1);
    reading.answered(&order[1], "c", unknown(&stores), 1);
    reading.failed(&order[2], "c", 1);
    assert_eq!(reading.take_outcome(), None);
    asks(&mut reading);
    assert_eq!(reading.next_due(), Some(1 + RETRY_MS));
    reading.due(1 + RETRY_MS);
    assert_eq!(asked(&mut reading), [order[2].clone()]);
    reading.due(READ_DEADLINE_MS);
    assert_eq!(reading.take_outcome(), Some(Outcome::Unsure));
}

#[test]
fn a_store_said_to_be_absent_is_waited_for_a_moment_only() {
    let mut stores = stores(3);
    let order = order(PROGRAM, &stores);
    stores
        .iter_mut()
        .find(|store| store.name == order[0])
        .unwrap()
        .present = false;
    for late in [false, true] {
        let mut reading = begin(&stores);
        assert_eq!(
            asked(&mut reading),
            [order[1].clone()],
            "the present home first"
        );
        reading.answered(&order[1], "c", unknown(&stores), 1);
        reading.answered(&order[2], "c", unknown(&stores), 2);
        assert_eq!(
            reading.take_outcome(),
            None,
            "unknown is not said without it"
        );
        if late {
            reading.answered(&order[0], "c", found(&chain(), None), 3);
            assert_eq!(reading.take_outcome(), Some(Outcome::Chain(chain())));
        } else {
            reading.due(2 + ABSENT_WAIT_MS);
            assert_eq!(reading.take_outcome(), Some(Outcome::Unsure));
        }
    }
}

#[test]
fn unknown_is_not_said_of_a_chain_that_was_partly_found() {
    let stores = stores(2);
    let order = order(PROGRAM, &stores);
    let mut reading = begin(&stores);
    reading.answered(&order[0], "c", found(&chain()[2..], Some("b")), 1);
    reading.answered(&order[1], "b", unknown(&stores), 2);
    assert_eq!(reading.take_outcome(), Some(Outcome::Unsure));
}

#[test]
fn a_store_that_is_being_emptied_is_asked_and_a_retired_one_is_not() {
    let mut stores = stores(4);
    stores[0].retiring = true;
    stores[1].retiring = true;
    stores[1].retired = true;
    let mut reading = begin(&stores);
    let first = asked(&mut reading);
    reading.answered(&first[0], "c", unknown(&stores), 1);
    let rest = asked(&mut reading);
    assert!(
        rest.contains(&"storage-0".to_owned()) && !rest.contains(&"storage-1".to_owned()),
        "{rest:?}"
    );
}

#[test]
fn without_a_list_nothing_is_sure() {
    assert_eq!(begin(&[]).take_outcome(), Some(Outcome::Unsure));
}

#[test]
fn an_answer_that_is_no_chain_is_none() {
    let stores = stores(2);
    let order = order(PROGRAM, &stores);
    let turns = chain();
    let gap = [turns[0].clone(), turns[2].clone()];
    for wrong in [
        found(&turns[..2], None),
        found(&gap, None),
        found(&turns[1..], None),
        found(&[], None),
    ] {
        let mut reading = begin(&stores);
        reading.answered(&order[0], "c", wrong, 1);
        assert_eq!(reading.take_outcome(), None);
    }
}

#[test]
fn a_chain_beyond_its_bounds_is_told() {
    let stores = stores(2);
    let order = order(PROGRAM, &stores);
    for bounds in [
        Bounds {
            turns: 2,
            bytes: u64::MAX,
        },
        Bounds {
            turns: 9,
            bytes: 10,
        },
    ] {
        let mut reading = begin(&stores).within(bounds);
        reading.answered(&order[0], "c", found(&chain(), None), 1);
        assert_eq!(reading.take_outcome(), Some(Outcome::TooLong));
    }
}

#[test]
fn it_never_asks_to_be_called_at_once_again() {
    let stores = stores(4);
    let order = order(PROGRAM, &stores);
    let mut reading = begin(&stores);
    reading.failed(&order[0], "c", 1);
    let mut now_ms = 1;
    while let Some(due_ms) = reading.next_due() {
        assert!(due_ms > now_ms, "due at {due_ms}, called at {now_ms}");
        now_ms = due_ms;
        reading.due(now_ms);
        asks(&mut reading);
    }
    assert_eq!(reading.take_outcome(), Some(Outcome::Unsure));
}
