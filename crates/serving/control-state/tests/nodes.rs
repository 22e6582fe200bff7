//! Gateways and stores: incarnations of their processes, absence, retirement.

mod common;

use common::{address, gateway, store, Trial};
use dunespur_control_state::{
    Change, GatewayEntry, NodeReport, Operation, Outcome, RetirementOutcome, RetirementState,
    StoreEntry,
};

fn expired(name: &str, incarnation: u64) -> Operation {
    Operation::NodeExpired {
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

fn retire(trial: &mut Trial, name: &str, tolerated_losses: u32) -> RetirementOutcome {
    match trial.retire(name, tolerated_losses) {
        Outcome::Retire(outcome) => outcome,
        other => panic!("{other:?} is no answer to a retirement"),
    }
}

/// The named store finds itself empty in the current epoch.
fn emptied(trial: &mut Trial, name: &str, incarnation: u64) -> Vec<Change> {
    let epoch = trial
        .state
        .stores()
        .find(|store| store.name == name)
        .map_or(0, |store| store.epoch);
    empty_in_epoch(trial, name, incarnation, epoch)
}

fn empty_in_epoch(trial: &mut Trial, name: &str, incarnation: u64, epoch: u64) -> Vec<Change> {
    trial.changes(&Operation::RetireDone {
        node: name.to_owned(),
        incarnation,
        epoch,
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
    Change::GatewayRemoved {
        name: name.to_owned(),
    }
}

#[test]
fn gateways_are_published_by_name_and_incarnation() {
    let mut trial = Trial::default();
    assert_eq!(trial.node(gateway("a", 1)), [present("a", 1)]);
    assert_eq!(trial.node(gateway("a", 1)), [], "nothing new");
    assert_eq!(trial.node(gateway("b", 1)), [present("b", 1)]);
    assert_eq!(trial.state.gateways().count(), 2);
    assert_eq!(
        trial.node(gateway("a", 2)),
        [present("a", 2)],
        "another incarnation of the same gateway"
    );
    assert_eq!(trial.state.gateways().count(), 2);
    assert_eq!(
        trial.changes(&expired("a", 1)),
        [],
        "that incarnation had ended before"
    );
    assert_eq!(trial.changes(&expired("a", 2)), [absent("a")]);
    assert_eq!(trial.state.gateways().count(), 1);
    assert_eq!(trial.changes(&expired("a", 2)), []);
    assert_eq!(
        trial.node(gateway("a", 1)),
        [],
        "a late report of an older incarnation"
    );
    assert_eq!(
        trial.node(gateway("a", 2)),
        [present("a", 2)],
        "its lease had expired, and it is alive"
    );
    let names: Vec<&str> = trial
        .state
        .gateways()
        .map(|gateway| gateway.name.as_str())
        .collect();
    assert_eq!(names, ["a", "b"]);
    assert_eq!(
        trial.state.initial_changes(),
        [present("a", 2), present("b", 1)]
    );
}

#[test]
fn a_gateway_at_another_address_is_published_again() {
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
fn a_store_is_published_whenever_its_state_changes() {
    let mut trial = Trial::default();
    let unfinished = NodeReport {
        complete: false,
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
    let complete = StoreEntry {
        complete: true,
        ..expected
    };
    assert_eq!(trial.node(store("a", 1)), [Change::Store(complete.clone())]);
    let wiped = StoreEntry {
        incarnation: 2,
        disk: 2,
        ..complete
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
fn a_store_report_of_an_older_incarnation_is_ignored() {
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
fn a_store_whose_lease_expired_is_absent_and_stays_recorded() {
    let mut trial = with_stores(&["a"]);
    assert_eq!(
        trial.changes(&expired("a", 9)),
        [],
        "that incarnation had ended before"
    );
    let absent = StoreEntry {
        present: false,
        ..entry(&trial, "a")
    };
    assert_eq!(trial.changes(&expired("a", 10)), [Change::Store(absent)]);
    assert_eq!(trial.changes(&expired("a", 10)), []);
    assert!(!entry(&trial, "a").present);
    trial.node(store("a", 10));
    assert!(entry(&trial, "a").present);
}

#[test]
fn an_unknown_store_cannot_retire() {
    let mut trial = with_stores(&["a", "b", "c"]);
    trial.node(gateway("front", 1));
    assert_eq!(retire(&mut trial, "d", 1), RetirementOutcome::UnknownNode);
    assert_eq!(
        retire(&mut trial, "front", 1),
        RetirementOutcome::UnknownNode
    );
    assert_eq!(trial.state.retirement("d"), None);
    assert_eq!(trial.state.retirement("a"), None);
}

#[test]
fn more_stores_than_may_be_lost_have_to_remain() {
    for (stores, tolerated_losses, expected) in [
        (1, 0, RetirementOutcome::TooFew),
        (2, 0, RetirementOutcome::Accepted),
        (2, 1, RetirementOutcome::TooFew),
        (3, 1, RetirementOutcome::Accepted),
        (3, 2, RetirementOutcome::TooFew),
        (4, 2, RetirementOutcome::Accepted),
        (4, u32::MAX, RetirementOutcome::TooFew),
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
fn retiring_stores_do_not_remain() {
    let mut trial = with_stores(&["a", "b", "c", "d"]);
    assert_eq!(retire(&mut trial, "a", 1), RetirementOutcome::Accepted);
    assert_eq!(retire(&mut trial, "b", 1), RetirementOutcome::Accepted);
    assert_eq!(retire(&mut trial, "c", 1), RetirementOutcome::TooFew);
    emptied(&mut trial, "a", 10);
    trial.changes(&expired("a", 10));
    assert_eq!(retire(&mut trial, "c", 1), RetirementOutcome::TooFew);
    trial.node(store("e", 1));
    assert_eq!(retire(&mut trial, "c", 1), RetirementOutcome::Accepted);
}

#[test]
fn a_lost_store_does_not_remain() {
    let mut trial = with_stores(&["a", "b", "c"]);
    trial.changes(&expired("c", 10));
    assert_eq!(
        retire(&mut trial, "a", 1),
        RetirementOutcome::TooFew,
        "c is absent, maybe for good"
    );
    trial.node(NodeReport {
        complete: false,
        ..store("d", 1)
    });
    assert_eq!(
        retire(&mut trial, "a", 1),
        RetirementOutcome::TooFew,
        "its successor is not complete yet"
    );
    trial.node(store("d", 1));
    assert_eq!(retire(&mut trial, "a", 1), RetirementOutcome::Accepted);
    emptied(&mut trial, "a", 10);
    trial.changes(&expired("a", 10));
    assert_eq!(
        retire(&mut trial, "b", 1),
        RetirementOutcome::TooFew,
        "one would remain beside two lost stores"
    );
    assert_eq!(trial.state.retirement("b"), None);
}

#[test]
fn a_retirement_rejected_while_a_store_is_absent_is_accepted_once_it_is_back() {
    let mut trial = with_stores(&["a", "b", "c"]);
    trial.changes(&expired("c", 10));
    assert_eq!(retire(&mut trial, "a", 1), RetirementOutcome::TooFew);
    assert_eq!(
        retire(&mut trial, "c", 1),
        RetirementOutcome::Accepted,
        "a and b remain without the absent one"
    );
    trial.node(store("c", 10));
    assert_eq!(
        retire(&mut trial, "a", 1),
        RetirementOutcome::TooFew,
        "c is retiring"
    );
    trial.node(store("d", 1));
    assert_eq!(retire(&mut trial, "a", 1), RetirementOutcome::Accepted);
}

#[test]
fn two_lost_stores_do_not_remain_until_both_successors_are_complete() {
    let mut trial = with_stores(&["a", "b", "c", "d"]);
    trial.changes(&expired("c", 10));
    trial.changes(&expired("d", 10));
    for (name, complete, expected) in [
        ("e", false, RetirementOutcome::TooFew),
        ("f", false, RetirementOutcome::TooFew),
        ("e", true, RetirementOutcome::TooFew),
        ("f", true, RetirementOutcome::Accepted),
    ] {
        trial.node(NodeReport {
            complete,
            ..store(name, 11)
        });
        assert_eq!(retire(&mut trial, "a", 2), expected, "{name} {complete}");
    }
}

#[test]
fn a_retirement_is_paused_while_two_others_are_replaced() {
    let mut trial = with_stores(&["a", "b", "c", "d", "e"]);
    assert_eq!(retire(&mut trial, "a", 2), RetirementOutcome::Accepted);
    trial.changes(&expired("d", 10));
    trial.changes(&expired("e", 10));
    assert!(!entry(&trial, "a").retiring, "only two others remain");
    assert_eq!(emptied(&mut trial, "a", 10), []);
    // One of them comes back with an empty disk, the other has a successor of another name.
    let wiped = NodeReport {
        disk: 2,
        complete: false,
        ..store("d", 11)
    };
    trial.node(wiped.clone());
    trial.node(NodeReport {
        complete: false,
        ..store("f", 1)
    });
    assert!(!entry(&trial, "a").retiring, "both are still being filled");
    trial.node(NodeReport {
        complete: true,
        ..wiped
    });
    assert!(entry(&trial, "a").retiring, "three remain");
    emptied(&mut trial, "a", 10);
    assert_eq!(trial.state.retirement("a"), Some(RetirementState::Done));
    assert_eq!(
        retire(&mut trial, "b", 2),
        RetirementOutcome::TooFew,
        "the second successor is not complete"
    );
    trial.node(store("f", 1));
    assert_eq!(retire(&mut trial, "b", 2), RetirementOutcome::Accepted);
}

#[test]
fn a_retirement_that_leaves_too_few_is_paused_until_enough_remain() {
    let mut trial = with_stores(&["a", "b", "c"]);
    retire(&mut trial, "a", 1);
    let before = trial.notifications.len();
    trial.changes(&expired("b", 10));
    assert!(!entry(&trial, "a").retiring, "it is used like any other");
    assert!(
        trial.notifications[before..].contains(&Change::Store(entry(&trial, "a"))),
        "and the change is published"
    );
    assert_eq!(trial.state.retirement("a"), Some(RetirementState::Running));
    assert_eq!(
        retire(&mut trial, "a", 1),
        RetirementOutcome::Accepted,
        "the request stays accepted"
    );
    assert_eq!(
        emptied(&mut trial, "a", 10),
        [],
        "nor is it completed meanwhile"
    );
    trial.node(NodeReport {
        complete: false,
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
    assert_eq!(trial.state.retirement("a"), Some(RetirementState::Done));
}

#[test]
fn two_retirements_are_paused_together_and_complete_one_by_one() {
    let mut trial = with_stores(&["a", "b", "c", "d"]);
    retire(&mut trial, "a", 1);
    retire(&mut trial, "b", 1);
    trial.changes(&expired("c", 10));
    assert!(!entry(&trial, "a").retiring && !entry(&trial, "b").retiring);
    trial.node(store("c", 10));
    assert!(entry(&trial, "a").retiring && entry(&trial, "b").retiring);
    let epoch_of_b = entry(&trial, "b").epoch;
    assert_eq!(
        emptied(&mut trial, "a", 10).len(),
        2,
        "a is empty, and b learns of another epoch"
    );
    assert_eq!(
        empty_in_epoch(&mut trial, "b", 10, epoch_of_b),
        [],
        "it may rely on what a stored"
    );
    assert_eq!(emptied(&mut trial, "b", 10).len(), 1);
}

#[test]
fn a_statement_of_an_earlier_epoch_has_no_effect() {
    let events: [fn(&mut Trial) -> Vec<Change>; 4] = [
        |trial| {
            trial.node(NodeReport {
                disk: 2,
                ..store("b", 11)
            })
        },
        |trial| [trial.changes(&expired("b", 10)), trial.node(store("b", 10))].concat(),
        |trial| {
            trial.node(NodeReport {
                complete: false,
                ..store("b", 10)
            })
        },
        |trial| trial.node(store("e", 10)),
    ];
    for (number, event) in events.into_iter().enumerate() {
        let mut trial = with_stores(&["a", "b", "c", "d"]);
        retire(&mut trial, "a", 1);
        let epoch = entry(&trial, "a").epoch;
        event(&mut trial);
        assert!(
            entry(&trial, "a").epoch > epoch,
            "{number}: it learns of another epoch"
        );
        assert_eq!(empty_in_epoch(&mut trial, "a", 10, epoch), [], "{number}");
        assert_eq!(
            trial.state.retirement("a"),
            Some(RetirementState::Running),
            "{number}"
        );
        assert_eq!(
            emptied(&mut trial, "a", 10).len(),
            1,
            "{number}: repeated in this epoch it counts"
        );
    }
}

#[test]
fn a_retirement_runs_and_is_done() {
    let mut trial = with_stores(&["a", "b", "c"]);
    let before = trial.notifications.len();
    let standing = entry(&trial, "a");
    assert_eq!(retire(&mut trial, "a", 1), RetirementOutcome::Accepted);
    let epoch = entry(&trial, "a").epoch;
    let retiring = StoreEntry {
        retiring: true,
        epoch,
        ..standing.clone()
    };
    assert_eq!(trial.notifications[before..], [Change::Store(retiring)]);
    assert_eq!(trial.state.retirement("a"), Some(RetirementState::Running));
    assert_eq!(
        retire(&mut trial, "a", 1),
        RetirementOutcome::Accepted,
        "repeated"
    );

    let retired = StoreEntry {
        retired: true,
        ..standing
    };
    assert_eq!(emptied(&mut trial, "a", 10), [Change::Store(retired)]);
    assert_eq!(emptied(&mut trial, "a", 10), []);
    assert_eq!(trial.state.retirement("a"), Some(RetirementState::Done));
    assert_eq!(
        retire(&mut trial, "a", 1),
        RetirementOutcome::Accepted,
        "repeated when it is done"
    );
    assert_eq!(trial.notifications.len(), before + 2);
}

#[test]
fn a_retirement_is_not_completed_by_an_earlier_incarnation_or_unrequested() {
    let mut trial = with_stores(&["a", "b", "c"]);
    assert_eq!(emptied(&mut trial, "a", 10), []);
    assert_eq!(emptied(&mut trial, "nobody", 10), []);
    retire(&mut trial, "a", 1);
    trial.node(store("a", 11));
    assert_eq!(emptied(&mut trial, "a", 10), []);
    assert_eq!(emptied(&mut trial, "a", 12), []);
    assert_eq!(trial.state.retirement("a"), Some(RetirementState::Running));
    assert_eq!(emptied(&mut trial, "a", 11).len(), 1);
}

#[test]
fn a_retiring_store_goes_on_retiring_after_a_restart_or_a_lost_disk() {
    let mut trial = with_stores(&["a", "b", "c"]);
    retire(&mut trial, "a", 1);
    trial.changes(&expired("a", 10));
    assert!(entry(&trial, "a").retiring);
    trial.node(NodeReport {
        disk: 2,
        ..store("a", 11)
    });
    assert!(entry(&trial, "a").retiring && entry(&trial, "a").present);
}

#[test]
fn a_decommissioned_store_is_removed_and_its_retirement_stays_done() {
    let mut trial = with_stores(&["a", "b", "c"]);
    retire(&mut trial, "a", 1);
    emptied(&mut trial, "a", 10);
    trial.node(store("a", 10));
    assert!(
        entry(&trial, "a").retired,
        "a later report doesn't bring it back into use"
    );
    assert_eq!(
        trial.changes(&expired("a", 10)),
        [Change::StoreRemoved {
            name: "a".to_owned()
        }]
    );
    assert_eq!(trial.state.retirement("a"), Some(RetirementState::Done));
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
    trial.changes(&expired("a", 10));
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
        trial.changes(&expired(&name, number));
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
fn decommissioned_stores_are_evicted_before_absent_ones() {
    let mut trial = with_stores(&["b", "c"]);
    for number in 0..1_030 {
        let name = format!("n{number}");
        // The first few are only absent, although they are the oldest; all others are decommissioned as planned.
        trial.node(store(&name, 11 + number));
        if number >= 8 {
            assert_eq!(retire(&mut trial, &name, 1), RetirementOutcome::Accepted);
            emptied(&mut trial, &name, 11 + number);
        }
        trial.changes(&expired(&name, 11 + number));
    }
    assert_eq!(trial.state.stores().count(), 2 + 8);
    assert_eq!(trial.state.retirement("n8"), None);
    assert_eq!(trial.state.retirement("n14"), Some(RetirementState::Done));
}

#[test]
fn a_duplicate_of_a_rejected_retirement_request_does_not_take_effect_later() {
    let mut trial = with_stores(&["a", "b"]);
    let Outcome::Fenced { fencing_token } = trial.apply(&common::retire("a", 1, 0)) else {
        panic!("no fencing token")
    };
    let duplicate = common::retire("a", 1, fencing_token);
    assert_eq!(
        trial.apply(&duplicate),
        Outcome::Retire(RetirementOutcome::TooFew)
    );
    trial.node(store("c", 10));
    assert!(matches!(trial.apply(&duplicate), Outcome::Fenced { .. }));
    assert_eq!(trial.state.retirement("a"), None);
    assert_eq!(
        retire(&mut trial, "a", 1),
        RetirementOutcome::Accepted,
        "a call made since"
    );
    assert_eq!(
        trial.apply(&duplicate),
        Outcome::Retire(RetirementOutcome::Accepted),
        "it is accepted now"
    );
}

#[test]
fn a_duplicate_retirement_request_does_not_apply_to_the_next_machine_of_that_name() {
    let mut trial = with_stores(&["a", "b", "c", "d"]);
    let Outcome::Fenced { fencing_token } = trial.apply(&common::retire("a", 1, 0)) else {
        panic!("no fencing token")
    };
    let duplicate = common::retire("a", 1, fencing_token);
    assert_eq!(
        trial.apply(&duplicate),
        Outcome::Retire(RetirementOutcome::Accepted)
    );
    emptied(&mut trial, "a", 10);
    assert_eq!(
        trial.apply(&duplicate),
        Outcome::Retire(RetirementOutcome::Accepted),
        "repeated after it was done"
    );
    trial.changes(&expired("a", 10));
    assert_eq!(
        trial.apply(&duplicate),
        Outcome::Retire(RetirementOutcome::Accepted),
        "and after the machine was decommissioned"
    );
    trial.node(NodeReport {
        disk: 2,
        ..store("a", 20)
    });
    assert!(matches!(trial.apply(&duplicate), Outcome::Fenced { .. }));
    assert_eq!(trial.state.retirement("a"), None);
}
