//! Gateways and stores: lives of their processes, absence, retirement.

mod common;

use common::{address, gateway, store, Trial};
use dunespur_control_state::{
    Change, GatewayEntry, NodeReport, Operation, Outcome, RetireOutcome, RetireState, StoreEntry,
};

fn gone(name: &str, incarnation: u64) -> Operation {
    Operation::NodeGone {
        name: name.to_owned(),
        incarnation,
    }
}

fn entry(trial: &Trial, name: &str) -> StoreEntry {
    trial
        .state
        .stores()
        .find(|store| store.name == name)
        .expect("a known store")
}

fn retire(trial: &mut Trial, name: &str, tolerated_losses: u32) -> RetireOutcome {
    match trial.retire(name, tolerated_losses) {
        Outcome::Retire(outcome) => outcome,
        other => panic!("{other:?} is no answer to a retirement"),
    }
}

/// The named store says that it is empty, in the present round.
fn emptied(trial: &mut Trial, name: &str, incarnation: u64) -> Vec<Change> {
    let round = trial
        .state
        .stores()
        .find(|store| store.name == name)
        .map_or(0, |store| store.epoch);
    emptied_in(trial, name, incarnation, round)
}

fn emptied_in(trial: &mut Trial, name: &str, incarnation: u64, round: u64) -> Vec<Change> {
    trial.changes(&Operation::RetireDone {
        node: name.to_owned(),
        incarnation,
        round,
    })
}

fn with_stores(names: &[&str]) -> Trial {
    let mut trial = Trial::default();
    for name in names {
        trial.node(store(name, 10));
    }
    trial
}

fn present(name: &str, incarnation: u64) -> Change {
    Change::Gateway(GatewayEntry {
        name: name.to_owned(),
        zone: "north".to_owned(),
        address: address(7_000),
        incarnation,
    })
}

fn absent(name: &str) -> Change {
    Change::GatewayGone {
        name: name.to_owned(),
    }
}

#[test]
fn gateways_that_come_and_go_are_told_by_name_and_life() {
    let mut trial = Trial::default();
    assert_eq!(trial.node(gateway("a", 1)), [present("a", 1)]);
    assert_eq!(trial.node(gateway("a", 1)), [], "nothing new");
    assert_eq!(trial.node(gateway("b", 1)), [present("b", 1)]);
    assert_eq!(trial.state.gateways().count(), 2);
    assert_eq!(
        trial.node(gateway("a", 2)),
        [present("a", 2)],
        "another life of the same one"
    );
    assert_eq!(trial.state.gateways().count(), 2);
    assert_eq!(
        trial.changes(&gone("a", 1)),
        [],
        "that life was over before"
    );
    assert_eq!(trial.changes(&gone("a", 2)), [absent("a")]);
    assert_eq!(trial.state.gateways().count(), 1);
    assert_eq!(trial.changes(&gone("a", 2)), []);
    assert_eq!(
        trial.node(gateway("a", 1)),
        [],
        "a late report of an older life"
    );
    assert_eq!(
        trial.node(gateway("a", 2)),
        [present("a", 2)],
        "it was only silent"
    );
    let names: Vec<&str> = trial
        .state
        .gateways()
        .map(|gateway| gateway.name.as_str())
        .collect();
    assert_eq!(names, ["a", "b"]);
    assert_eq!(trial.state.image(), [present("a", 2), present("b", 1)]);
}

#[test]
fn a_gateway_at_another_address_is_told_anew() {
    let mut trial = Trial::default();
    trial.node(gateway("a", 1));
    let moved = NodeReport {
        address: address(7_001),
        ..gateway("a", 2)
    };
    let Change::Gateway(before) = present("a", 2) else {
        panic!("a gateway")
    };
    let expected = Change::Gateway(GatewayEntry {
        address: address(7_001),
        ..before
    });
    assert_eq!(trial.node(moved), [expected]);
}

#[test]
fn a_store_is_told_whenever_something_about_it_changes() {
    let mut trial = Trial::default();
    let unfinished = NodeReport {
        whole: false,
        ..store("a", 1)
    };
    let expected = StoreEntry {
        name: "a".to_owned(),
        zone: "north".to_owned(),
        address: address(7_000),
        incarnation: 1,
        disk: 1,
        complete: false,
        present: true,
        retiring: false,
        retired: false,
        epoch: 0,
    };
    assert_eq!(
        trial.node(unfinished.clone()),
        [Change::Store(expected.clone())]
    );
    assert_eq!(trial.node(unfinished), []);
    let whole = StoreEntry {
        complete: true,
        ..expected
    };
    assert_eq!(trial.node(store("a", 1)), [Change::Store(whole.clone())]);
    let wiped = StoreEntry {
        incarnation: 2,
        disk: 2,
        ..whole
    };
    assert_eq!(
        trial.node(NodeReport {
            disk: 2,
            ..store("a", 2)
        }),
        [Change::Store(wiped)]
    );
}

#[test]
fn a_store_report_of_an_older_life_is_ignored() {
    let mut trial = with_stores(&["a"]);
    assert_eq!(
        trial.node(NodeReport {
            disk: 7,
            ..store("a", 9)
        }),
        []
    );
    assert_eq!(entry(&trial, "a").disk, 1);
}

#[test]
fn a_silent_store_is_absent_and_not_forgotten() {
    let mut trial = with_stores(&["a"]);
    assert_eq!(
        trial.changes(&gone("a", 9)),
        [],
        "that life was over before"
    );
    let absent = StoreEntry {
        present: false,
        ..entry(&trial, "a")
    };
    assert_eq!(trial.changes(&gone("a", 10)), [Change::Store(absent)]);
    assert_eq!(trial.changes(&gone("a", 10)), []);
    assert!(!entry(&trial, "a").present);
    trial.node(store("a", 10));
    assert!(entry(&trial, "a").present);
}

#[test]
fn an_unknown_store_can_not_retire() {
    let mut trial = with_stores(&["a", "b", "c"]);
    trial.node(gateway("front", 1));
    assert_eq!(retire(&mut trial, "d", 1), RetireOutcome::UnknownNode);
    assert_eq!(retire(&mut trial, "front", 1), RetireOutcome::UnknownNode);
    assert_eq!(trial.state.retirement("d"), None);
    assert_eq!(trial.state.retirement("a"), None);
}

#[test]
fn more_stores_than_may_be_lost_have_to_remain() {
    for (stores, tolerated_losses, expected) in [
        (1, 0, RetireOutcome::TooFew),
        (2, 0, RetireOutcome::Taken),
        (2, 1, RetireOutcome::TooFew),
        (3, 1, RetireOutcome::Taken),
        (3, 2, RetireOutcome::TooFew),
        (4, 2, RetireOutcome::Taken),
        (4, u32::MAX, RetireOutcome::TooFew),
    ] {
        let mut trial = with_stores(&["a", "b", "c", "d"][..stores]);
        assert_eq!(
            retire(&mut trial, "a", tolerated_losses),
            expected,
            "{stores} {tolerated_losses}"
        );
    }
}

#[test]
fn stores_on_their_way_out_do_not_remain() {
    let mut trial = with_stores(&["a", "b", "c", "d"]);
    assert_eq!(retire(&mut trial, "a", 1), RetireOutcome::Taken);
    assert_eq!(retire(&mut trial, "b", 1), RetireOutcome::Taken);
    assert_eq!(retire(&mut trial, "c", 1), RetireOutcome::TooFew);
    emptied(&mut trial, "a", 10);
    trial.changes(&gone("a", 10));
    assert_eq!(retire(&mut trial, "c", 1), RetireOutcome::TooFew);
    trial.node(store("e", 1));
    assert_eq!(retire(&mut trial, "c", 1), RetireOutcome::Taken);
}

#[test]
fn a_store_that_is_gone_for_good_does_not_remain() {
    let mut trial = with_stores(&["a", "b", "c"]);
    trial.changes(&gone("c", 10));
    assert_eq!(
        retire(&mut trial, "a", 1),
        RetireOutcome::TooFew,
        "c is away, maybe for good"
    );
    trial.node(NodeReport {
        whole: false,
        ..store("d", 1)
    });
    assert_eq!(
        retire(&mut trial, "a", 1),
        RetireOutcome::TooFew,
        "its successor is not whole yet"
    );
    trial.node(store("d", 1));
    assert_eq!(retire(&mut trial, "a", 1), RetireOutcome::Taken);
    emptied(&mut trial, "a", 10);
    trial.changes(&gone("a", 10));
    assert_eq!(
        retire(&mut trial, "b", 1),
        RetireOutcome::TooFew,
        "one would be left beside two ghosts"
    );
    assert_eq!(trial.state.retirement("b"), None);
}

#[test]
fn an_order_refused_while_a_store_is_away_is_taken_once_it_is_back() {
    let mut trial = with_stores(&["a", "b", "c"]);
    trial.changes(&gone("c", 10));
    assert_eq!(retire(&mut trial, "a", 1), RetireOutcome::TooFew);
    assert_eq!(
        retire(&mut trial, "c", 1),
        RetireOutcome::Taken,
        "a and b remain without the one that is away"
    );
    trial.node(store("c", 10));
    assert_eq!(
        retire(&mut trial, "a", 1),
        RetireOutcome::TooFew,
        "c is on its way out"
    );
    trial.node(store("d", 1));
    assert_eq!(retire(&mut trial, "a", 1), RetireOutcome::Taken);
}

#[test]
fn a_retirement_that_leaves_too_few_stands_still_until_enough_remain() {
    let mut trial = with_stores(&["a", "b", "c"]);
    retire(&mut trial, "a", 1);
    let before = trial.told.len();
    trial.changes(&gone("b", 10));
    assert!(!entry(&trial, "a").retiring, "it is used like any other");
    assert!(
        trial.told[before..].contains(&Change::Store(entry(&trial, "a"))),
        "and all are told"
    );
    assert_eq!(trial.state.retirement("a"), Some(RetireState::Running));
    assert_eq!(
        retire(&mut trial, "a", 1),
        RetireOutcome::Taken,
        "the order stands"
    );
    assert_eq!(emptied(&mut trial, "a", 10), [], "nor is it done meanwhile");
    trial.node(NodeReport {
        whole: false,
        disk: 2,
        ..store("b", 11)
    });
    assert!(
        !entry(&trial, "a").retiring,
        "a new disk that is being filled does not remain yet"
    );
    trial.node(NodeReport {
        disk: 2,
        ..store("b", 11)
    });
    assert!(entry(&trial, "a").retiring);
    assert_eq!(emptied(&mut trial, "a", 10).len(), 1);
    assert_eq!(trial.state.retirement("a"), Some(RetireState::Done));
}

#[test]
fn two_retirements_stand_still_together_and_are_done_one_by_one() {
    let mut trial = with_stores(&["a", "b", "c", "d"]);
    retire(&mut trial, "a", 1);
    retire(&mut trial, "b", 1);
    trial.changes(&gone("c", 10));
    assert!(!entry(&trial, "a").retiring && !entry(&trial, "b").retiring);
    trial.node(store("c", 10));
    assert!(entry(&trial, "a").retiring && entry(&trial, "b").retiring);
    let round_of_b = entry(&trial, "b").epoch;
    assert_eq!(
        emptied(&mut trial, "a", 10).len(),
        2,
        "a is empty, and b is told of another round"
    );
    assert_eq!(
        emptied_in(&mut trial, "b", 10, round_of_b),
        [],
        "it may rest on what a held"
    );
    assert_eq!(emptied(&mut trial, "b", 10).len(), 1);
}

#[test]
fn a_declaration_of_an_earlier_round_means_nothing() {
    let events: [fn(&mut Trial) -> Vec<Change>; 4] = [
        |trial| {
            trial.node(NodeReport {
                disk: 2,
                ..store("b", 11)
            })
        },
        |trial| [trial.changes(&gone("b", 10)), trial.node(store("b", 10))].concat(),
        |trial| {
            trial.node(NodeReport {
                whole: false,
                ..store("b", 10)
            })
        },
        |trial| trial.node(store("e", 10)),
    ];
    for (number, event) in events.into_iter().enumerate() {
        let mut trial = with_stores(&["a", "b", "c", "d"]);
        retire(&mut trial, "a", 1);
        let round = entry(&trial, "a").epoch;
        event(&mut trial);
        assert!(
            entry(&trial, "a").epoch > round,
            "{number}: it is told of another round"
        );
        assert_eq!(emptied_in(&mut trial, "a", 10, round), [], "{number}");
        assert_eq!(
            trial.state.retirement("a"),
            Some(RetireState::Running),
            "{number}"
        );
        assert_eq!(
            emptied(&mut trial, "a", 10).len(),
            1,
            "{number}: said anew it counts"
        );
    }
}

#[test]
fn a_retirement_runs_and_is_done() {
    let mut trial = with_stores(&["a", "b", "c"]);
    let before = trial.told.len();
    let standing = entry(&trial, "a");
    assert_eq!(retire(&mut trial, "a", 1), RetireOutcome::Taken);
    let round = entry(&trial, "a").epoch;
    let retiring = StoreEntry {
        retiring: true,
        epoch: round,
        ..standing.clone()
    };
    assert_eq!(trial.told[before..], [Change::Store(retiring)]);
    assert_eq!(trial.state.retirement("a"), Some(RetireState::Running));
    assert_eq!(
        retire(&mut trial, "a", 1),
        RetireOutcome::Taken,
        "said again"
    );

    let retired = StoreEntry {
        retired: true,
        ..standing
    };
    assert_eq!(emptied(&mut trial, "a", 10), [Change::Store(retired)]);
    assert_eq!(emptied(&mut trial, "a", 10), []);
    assert_eq!(trial.state.retirement("a"), Some(RetireState::Done));
    assert_eq!(
        retire(&mut trial, "a", 1),
        RetireOutcome::Taken,
        "said again when it is done"
    );
    assert_eq!(trial.told.len(), before + 2);
}

#[test]
fn a_retirement_is_not_done_by_an_earlier_life_or_unasked() {
    let mut trial = with_stores(&["a", "b", "c"]);
    assert_eq!(emptied(&mut trial, "a", 10), []);
    assert_eq!(emptied(&mut trial, "nobody", 10), []);
    retire(&mut trial, "a", 1);
    trial.node(store("a", 11));
    assert_eq!(emptied(&mut trial, "a", 10), []);
    assert_eq!(emptied(&mut trial, "a", 12), []);
    assert_eq!(trial.state.retirement("a"), Some(RetireState::Running));
    assert_eq!(emptied(&mut trial, "a", 11).len(), 1);
}

#[test]
fn a_retiring_store_goes_on_retiring_after_a_restart_or_a_lost_disk() {
    let mut trial = with_stores(&["a", "b", "c"]);
    retire(&mut trial, "a", 1);
    trial.changes(&gone("a", 10));
    assert!(entry(&trial, "a").retiring);
    trial.node(NodeReport {
        disk: 2,
        ..store("a", 11)
    });
    assert!(entry(&trial, "a").retiring && entry(&trial, "a").present);
}

#[test]
fn a_retired_store_that_was_taken_away_is_gone_and_its_retirement_stays_done() {
    let mut trial = with_stores(&["a", "b", "c"]);
    retire(&mut trial, "a", 1);
    emptied(&mut trial, "a", 10);
    trial.node(store("a", 10));
    assert!(
        entry(&trial, "a").retired,
        "what it says afterwards doesn't bring it back into use"
    );
    assert_eq!(
        trial.changes(&gone("a", 10)),
        [Change::StoreGone {
            name: "a".to_owned()
        }]
    );
    assert_eq!(trial.state.retirement("a"), Some(RetireState::Done));
    assert_eq!(
        trial
            .state
            .stores()
            .map(|store| store.name)
            .collect::<Vec<_>>(),
        ["b", "c"]
    );
    trial.node(store("a", 11));
    assert!(entry(&trial, "a").retired, "the same disk again");
}

#[test]
fn another_machine_of_a_retired_stores_name_is_a_new_store() {
    let mut trial = with_stores(&["a", "b", "c"]);
    retire(&mut trial, "a", 1);
    emptied(&mut trial, "a", 10);
    trial.changes(&gone("a", 10));
    trial.node(NodeReport {
        disk: 2,
        ..store("a", 11)
    });
    let new = entry(&trial, "a");
    assert!(new.present && !new.retired && !new.retiring);
    assert_eq!(trial.state.retirement("a"), None);
}

#[test]
fn absent_machines_are_bounded() {
    let mut trial = Trial::default();
    for number in 0..2_000 {
        let name = format!("n{number}");
        for report in [store(&name, number), gateway(&name, number)] {
            trial.node(report);
        }
        trial.changes(&gone(&name, number));
    }
    assert_eq!(trial.state.stores().count(), 1_024);
    assert_eq!(
        trial
            .state
            .stores()
            .filter(|store| store.incarnation < 976)
            .count(),
        0,
        "the oldest went first"
    );
    assert_eq!(trial.state.gateways().count(), 0);
}

#[test]
fn stores_that_were_taken_away_are_forgotten_before_those_that_may_come_back() {
    let mut trial = with_stores(&["b", "c"]);
    for number in 0..1_030 {
        let name = format!("n{number}");
        // The first few are only silent, although they are the oldest; all others are taken away as planned.
        trial.node(store(&name, 11 + number));
        if number >= 8 {
            assert_eq!(retire(&mut trial, &name, 1), RetireOutcome::Taken);
            emptied(&mut trial, &name, 11 + number);
        }
        trial.changes(&gone(&name, 11 + number));
    }
    assert_eq!(trial.state.stores().count(), 2 + 8);
    assert_eq!(trial.state.retirement("n8"), None);
    assert_eq!(trial.state.retirement("n14"), Some(RetireState::Done));
}

#[test]
fn a_copy_of_an_order_to_retire_that_was_refused_does_not_take_effect_later() {
    let mut trial = with_stores(&["a", "b"]);
    let Outcome::Fenced { fence } = trial.apply(&common::retire("a", 1, 0)) else {
        panic!("no fence")
    };
    let copy = common::retire("a", 1, fence);
    assert_eq!(trial.apply(&copy), Outcome::Retire(RetireOutcome::TooFew));
    trial.node(store("c", 10));
    assert!(matches!(trial.apply(&copy), Outcome::Fenced { .. }));
    assert_eq!(trial.state.retirement("a"), None);
    assert_eq!(
        retire(&mut trial, "a", 1),
        RetireOutcome::Taken,
        "a call made since"
    );
    assert_eq!(
        trial.apply(&copy),
        Outcome::Retire(RetireOutcome::Taken),
        "it is taken now"
    );
}

#[test]
fn a_copy_of_an_order_to_retire_does_not_meet_the_next_machine_of_that_name() {
    let mut trial = with_stores(&["a", "b", "c", "d"]);
    let Outcome::Fenced { fence } = trial.apply(&common::retire("a", 1, 0)) else {
        panic!("no fence")
    };
    let copy = common::retire("a", 1, fence);
    assert_eq!(trial.apply(&copy), Outcome::Retire(RetireOutcome::Taken));
    emptied(&mut trial, "a", 10);
    assert_eq!(
        trial.apply(&copy),
        Outcome::Retire(RetireOutcome::Taken),
        "sent again after it was done"
    );
    trial.changes(&gone("a", 10));
    assert_eq!(
        trial.apply(&copy),
        Outcome::Retire(RetireOutcome::Taken),
        "and after the machine has gone"
    );
    trial.node(NodeReport {
        disk: 2,
        ..store("a", 20)
    });
    assert!(matches!(trial.apply(&copy), Outcome::Fenced { .. }));
    assert_eq!(trial.state.retirement("a"), None);
}
