//! Gateways and stores: incarnations of their processes, expired leases, retirement.

mod common;

use common::{address, gateway, store, Harness};
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

fn store_entry(harness: &Harness, name: &str) -> StoreEntry {
    harness
        .state
        .stores()
        .find(|store| store.name == name)
        .expect("the store is recorded")
}

fn retire(harness: &mut Harness, name: &str, tolerated_losses: u32) -> RetirementOutcome {
    match harness.retire(name, tolerated_losses) {
        Outcome::Retire(outcome) => outcome,
        other => panic!("expected the outcome of a retirement request, got {other:?}"),
    }
}

/// The named store reports itself empty in the current epoch.
fn report_empty(harness: &mut Harness, name: &str, incarnation: u64) -> Vec<Change> {
    let epoch = harness
        .state
        .stores()
        .find(|store| store.name == name)
        .map_or(0, |store| store.epoch);
    report_empty_in_epoch(harness, name, incarnation, epoch)
}

fn report_empty_in_epoch(
    harness: &mut Harness,
    name: &str,
    incarnation: u64,
    epoch: u64,
) -> Vec<Change> {
    harness.changes(&Operation::RetireDone {
        node: name.to_owned(),
        incarnation,
        epoch,
    })
}

fn with_stores(names: &[&str]) -> Harness {
    let mut harness = Harness::default();
    for name in names {
        harness.node(store(name, 10));
    }
    harness
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
    let mut harness = Harness::default();
    assert_eq!(harness.node(gateway("a", 1)), [present("a", 1)]);
    assert_eq!(
        harness.node(gateway("a", 1)),
        [],
        "an unchanged report is not published"
    );
    assert_eq!(harness.node(gateway("b", 1)), [present("b", 1)]);
    assert_eq!(harness.state.gateways().count(), 2);
    assert_eq!(
        harness.node(gateway("a", 2)),
        [present("a", 2)],
        "a new incarnation of the same gateway is published"
    );
    assert_eq!(harness.state.gateways().count(), 2);
    assert_eq!(
        harness.changes(&expired("a", 1)),
        [],
        "the expired incarnation is no longer the current one"
    );
    assert_eq!(harness.changes(&expired("a", 2)), [absent("a")]);
    assert_eq!(harness.state.gateways().count(), 1);
    assert_eq!(harness.changes(&expired("a", 2)), []);
    assert_eq!(
        harness.node(gateway("a", 1)),
        [],
        "a late report of an older incarnation has no effect"
    );
    assert_eq!(
        harness.node(gateway("a", 2)),
        [present("a", 2)],
        "a report of the expired incarnation makes the gateway present again"
    );
    let names: Vec<&str> = harness
        .state
        .gateways()
        .map(|gateway| gateway.name.as_str())
        .collect();
    assert_eq!(names, ["a", "b"]);
    assert_eq!(
        harness.state.initial_changes(),
        [present("a", 2), present("b", 1)]
    );
}

#[test]
fn a_gateway_at_another_address_is_published_again() {
    let mut harness = Harness::default();
    harness.node(gateway("a", 1));
    let moved = NodeReport {
        address: address(7_001),
        ..gateway("a", 2)
    };
    let Change::Gateway(before) = present("a", 2) else {
        panic!("`present` returns a gateway change")
    };
    let expected = Change::Gateway(GatewayEntry {
        address: address(7_001),
        ..before
    });
    assert_eq!(harness.node(moved), [expected]);
}

#[test]
fn a_store_is_published_whenever_its_state_changes() {
    let mut harness = Harness::default();
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
        harness.node(unfinished.clone()),
        [Change::Store(expected.clone())]
    );
    assert_eq!(harness.node(unfinished), []);
    let complete = StoreEntry {
        complete: true,
        ..expected
    };
    assert_eq!(
        harness.node(store("a", 1)),
        [Change::Store(complete.clone())]
    );
    let wiped = StoreEntry {
        incarnation: 2,
        disk: 2,
        ..complete
    };
    assert_eq!(
        harness.node(NodeReport {
            disk: 2,
            ..store("a", 2)
        }),
        [Change::Store(wiped)]
    );
}

#[test]
fn a_store_report_of_an_older_incarnation_is_ignored() {
    let mut harness = with_stores(&["a"]);
    assert_eq!(
        harness.node(NodeReport {
            disk: 7,
            ..store("a", 9)
        }),
        []
    );
    assert_eq!(store_entry(&harness, "a").disk, 1);
}

#[test]
fn a_store_whose_lease_expired_is_absent_and_stays_recorded() {
    let mut harness = with_stores(&["a"]);
    assert_eq!(
        harness.changes(&expired("a", 9)),
        [],
        "the expired incarnation is no longer the current one"
    );
    let absent = StoreEntry {
        present: false,
        ..store_entry(&harness, "a")
    };
    assert_eq!(harness.changes(&expired("a", 10)), [Change::Store(absent)]);
    assert_eq!(harness.changes(&expired("a", 10)), []);
    assert!(!store_entry(&harness, "a").present);
    harness.node(store("a", 10));
    assert!(store_entry(&harness, "a").present);
}

#[test]
fn an_unknown_store_cannot_retire() {
    let mut harness = with_stores(&["a", "b", "c"]);
    harness.node(gateway("front", 1));
    assert_eq!(retire(&mut harness, "d", 1), RetirementOutcome::UnknownNode);
    assert_eq!(
        retire(&mut harness, "front", 1),
        RetirementOutcome::UnknownNode
    );
    assert_eq!(harness.state.retirement("d"), None);
    assert_eq!(harness.state.retirement("a"), None);
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
        let mut harness = with_stores(&["a", "b", "c", "d"][..stores]);
        assert_eq!(
            retire(&mut harness, "a", tolerated_losses),
            expected,
            "{stores} stores, {tolerated_losses} tolerated losses"
        );
    }
}

#[test]
fn retiring_stores_do_not_remain() {
    let mut harness = with_stores(&["a", "b", "c", "d"]);
    assert_eq!(retire(&mut harness, "a", 1), RetirementOutcome::Accepted);
    assert_eq!(retire(&mut harness, "b", 1), RetirementOutcome::Accepted);
    assert_eq!(retire(&mut harness, "c", 1), RetirementOutcome::TooFew);
    report_empty(&mut harness, "a", 10);
    harness.changes(&expired("a", 10));
    assert_eq!(retire(&mut harness, "c", 1), RetirementOutcome::TooFew);
    harness.node(store("e", 1));
    assert_eq!(retire(&mut harness, "c", 1), RetirementOutcome::Accepted);
}

#[test]
fn a_lost_store_does_not_remain() {
    let mut harness = with_stores(&["a", "b", "c"]);
    harness.changes(&expired("c", 10));
    assert_eq!(
        retire(&mut harness, "a", 1),
        RetirementOutcome::TooFew,
        "c is absent, so only b remains"
    );
    harness.node(NodeReport {
        complete: false,
        ..store("d", 1)
    });
    assert_eq!(
        retire(&mut harness, "a", 1),
        RetirementOutcome::TooFew,
        "d, which replaces c, is not complete yet"
    );
    harness.node(store("d", 1));
    assert_eq!(retire(&mut harness, "a", 1), RetirementOutcome::Accepted);
    report_empty(&mut harness, "a", 10);
    harness.changes(&expired("a", 10));
    assert_eq!(
        retire(&mut harness, "b", 1),
        RetirementOutcome::TooFew,
        "only d would remain"
    );
    assert_eq!(harness.state.retirement("b"), None);
}

#[test]
fn a_retirement_rejected_while_a_store_is_absent_is_accepted_once_it_is_back() {
    let mut harness = with_stores(&["a", "b", "c"]);
    harness.changes(&expired("c", 10));
    assert_eq!(retire(&mut harness, "a", 1), RetirementOutcome::TooFew);
    assert_eq!(
        retire(&mut harness, "c", 1),
        RetirementOutcome::Accepted,
        "a and b remain without the absent c"
    );
    harness.node(store("c", 10));
    assert_eq!(
        retire(&mut harness, "a", 1),
        RetirementOutcome::TooFew,
        "c is retiring"
    );
    harness.node(store("d", 1));
    assert_eq!(retire(&mut harness, "a", 1), RetirementOutcome::Accepted);
}

#[test]
fn two_lost_stores_do_not_remain_until_both_successors_are_complete() {
    let mut harness = with_stores(&["a", "b", "c", "d"]);
    harness.changes(&expired("c", 10));
    harness.changes(&expired("d", 10));
    for (name, complete, expected) in [
        ("e", false, RetirementOutcome::TooFew),
        ("f", false, RetirementOutcome::TooFew),
        ("e", true, RetirementOutcome::TooFew),
        ("f", true, RetirementOutcome::Accepted),
    ] {
        harness.node(NodeReport {
            complete,
            ..store(name, 11)
        });
        assert_eq!(
            retire(&mut harness, "a", 2),
            expected,
            "after the report of {name}, complete: {complete}"
        );
    }
}

#[test]
fn a_retirement_is_paused_while_two_others_are_replaced() {
    let mut harness = with_stores(&["a", "b", "c", "d", "e"]);
    assert_eq!(retire(&mut harness, "a", 2), RetirementOutcome::Accepted);
    harness.changes(&expired("d", 10));
    harness.changes(&expired("e", 10));
    assert!(
        !store_entry(&harness, "a").retiring,
        "only two other stores remain"
    );
    assert_eq!(report_empty(&mut harness, "a", 10), []);
    // d returns with an empty disk, and f replaces e.
    let wiped = NodeReport {
        disk: 2,
        complete: false,
        ..store("d", 11)
    };
    harness.node(wiped.clone());
    harness.node(NodeReport {
        complete: false,
        ..store("f", 1)
    });
    assert!(
        !store_entry(&harness, "a").retiring,
        "d and f are not complete yet"
    );
    harness.node(NodeReport {
        complete: true,
        ..wiped
    });
    assert!(
        store_entry(&harness, "a").retiring,
        "three other stores remain"
    );
    report_empty(&mut harness, "a", 10);
    assert_eq!(harness.state.retirement("a"), Some(RetirementState::Done));
    assert_eq!(
        retire(&mut harness, "b", 2),
        RetirementOutcome::TooFew,
        "f is not complete yet"
    );
    harness.node(store("f", 1));
    assert_eq!(retire(&mut harness, "b", 2), RetirementOutcome::Accepted);
}

#[test]
fn a_retirement_that_leaves_too_few_is_paused_until_enough_remain() {
    let mut harness = with_stores(&["a", "b", "c"]);
    retire(&mut harness, "a", 1);
    let before = harness.notifications.len();
    harness.changes(&expired("b", 10));
    assert!(
        !store_entry(&harness, "a").retiring,
        "a paused store is not published as retiring"
    );
    assert!(
        harness.notifications[before..].contains(&Change::Store(store_entry(&harness, "a"))),
        "the pause is published"
    );
    assert_eq!(
        harness.state.retirement("a"),
        Some(RetirementState::Running)
    );
    assert_eq!(
        retire(&mut harness, "a", 1),
        RetirementOutcome::Accepted,
        "a paused retirement stays accepted"
    );
    assert_eq!(
        report_empty(&mut harness, "a", 10),
        [],
        "a paused retirement is not completed"
    );
    harness.node(NodeReport {
        complete: false,
        disk: 2,
        ..store("b", 11)
    });
    assert!(
        !store_entry(&harness, "a").retiring,
        "b does not remain while its new disk is incomplete"
    );
    harness.node(NodeReport {
        disk: 2,
        ..store("b", 11)
    });
    assert!(store_entry(&harness, "a").retiring);
    assert_eq!(report_empty(&mut harness, "a", 10).len(), 1);
    assert_eq!(harness.state.retirement("a"), Some(RetirementState::Done));
}

#[test]
fn two_retirements_are_paused_together_and_complete_one_by_one() {
    let mut harness = with_stores(&["a", "b", "c", "d"]);
    retire(&mut harness, "a", 1);
    retire(&mut harness, "b", 1);
    harness.changes(&expired("c", 10));
    assert!(!store_entry(&harness, "a").retiring && !store_entry(&harness, "b").retiring);
    harness.node(store("c", 10));
    assert!(store_entry(&harness, "a").retiring && store_entry(&harness, "b").retiring);
    let epoch_of_b = store_entry(&harness, "b").epoch;
    assert_eq!(
        report_empty(&mut harness, "a", 10).len(),
        2,
        "the retirement of a and the new epoch of b are published"
    );
    assert_eq!(
        report_empty_in_epoch(&mut harness, "b", 10, epoch_of_b),
        [],
        "the report of b may rely on data that a stored"
    );
    assert_eq!(report_empty(&mut harness, "b", 10).len(), 1);
}

#[test]
fn a_statement_of_an_earlier_epoch_has_no_effect() {
    let events: [fn(&mut Harness) -> Vec<Change>; 4] = [
        |harness| {
            harness.node(NodeReport {
                disk: 2,
                ..store("b", 11)
            })
        },
        |harness| {
            [
                harness.changes(&expired("b", 10)),
                harness.node(store("b", 10)),
            ]
            .concat()
        },
        |harness| {
            harness.node(NodeReport {
                complete: false,
                ..store("b", 10)
            })
        },
        |harness| harness.node(store("e", 10)),
    ];
    for (number, event) in events.into_iter().enumerate() {
        let mut harness = with_stores(&["a", "b", "c", "d"]);
        retire(&mut harness, "a", 1);
        let epoch = store_entry(&harness, "a").epoch;
        event(&mut harness);
        assert!(
            store_entry(&harness, "a").epoch > epoch,
            "case {number}: the new epoch is published"
        );
        assert_eq!(
            report_empty_in_epoch(&mut harness, "a", 10, epoch),
            [],
            "{number}"
        );
        assert_eq!(
            harness.state.retirement("a"),
            Some(RetirementState::Running),
            "{number}"
        );
        assert_eq!(
            report_empty(&mut harness, "a", 10).len(),
            1,
            "case {number}: a report in the new epoch takes effect"
        );
    }
}

#[test]
fn a_retirement_runs_and_is_done() {
    let mut harness = with_stores(&["a", "b", "c"]);
    let before = harness.notifications.len();
    let entry_before_retirement = store_entry(&harness, "a");
    assert_eq!(retire(&mut harness, "a", 1), RetirementOutcome::Accepted);
    let epoch = store_entry(&harness, "a").epoch;
    let retiring = StoreEntry {
        retiring: true,
        epoch,
        ..entry_before_retirement.clone()
    };
    assert_eq!(harness.notifications[before..], [Change::Store(retiring)]);
    assert_eq!(
        harness.state.retirement("a"),
        Some(RetirementState::Running)
    );
    assert_eq!(
        retire(&mut harness, "a", 1),
        RetirementOutcome::Accepted,
        "a repeated request is accepted"
    );

    let retired = StoreEntry {
        retired: true,
        ..entry_before_retirement
    };
    assert_eq!(
        report_empty(&mut harness, "a", 10),
        [Change::Store(retired)]
    );
    assert_eq!(report_empty(&mut harness, "a", 10), []);
    assert_eq!(harness.state.retirement("a"), Some(RetirementState::Done));
    assert_eq!(
        retire(&mut harness, "a", 1),
        RetirementOutcome::Accepted,
        "a request repeated after the retirement is accepted"
    );
    assert_eq!(harness.notifications.len(), before + 2);
}

#[test]
fn a_retirement_is_not_completed_by_an_earlier_incarnation_or_unrequested() {
    let mut harness = with_stores(&["a", "b", "c"]);
    assert_eq!(report_empty(&mut harness, "a", 10), []);
    assert_eq!(report_empty(&mut harness, "nobody", 10), []);
    retire(&mut harness, "a", 1);
    harness.node(store("a", 11));
    assert_eq!(report_empty(&mut harness, "a", 10), []);
    assert_eq!(report_empty(&mut harness, "a", 12), []);
    assert_eq!(
        harness.state.retirement("a"),
        Some(RetirementState::Running)
    );
    assert_eq!(report_empty(&mut harness, "a", 11).len(), 1);
}

#[test]
fn a_retiring_store_goes_on_retiring_after_a_restart_or_a_lost_disk() {
    let mut harness = with_stores(&["a", "b", "c"]);
    retire(&mut harness, "a", 1);
    harness.changes(&expired("a", 10));
    assert!(store_entry(&harness, "a").retiring);
    harness.node(NodeReport {
        disk: 2,
        ..store("a", 11)
    });
    assert!(store_entry(&harness, "a").retiring && store_entry(&harness, "a").present);
}

#[test]
fn a_decommissioned_store_is_removed_and_its_retirement_stays_done() {
    let mut harness = with_stores(&["a", "b", "c"]);
    retire(&mut harness, "a", 1);
    report_empty(&mut harness, "a", 10);
    harness.node(store("a", 10));
    assert!(
        store_entry(&harness, "a").retired,
        "a later report does not undo the retirement"
    );
    assert_eq!(
        harness.changes(&expired("a", 10)),
        [Change::StoreRemoved {
            name: "a".to_owned()
        }]
    );
    assert_eq!(harness.state.retirement("a"), Some(RetirementState::Done));
    assert_eq!(
        harness
            .state
            .stores()
            .map(|store| store.name)
            .collect::<Vec<_>>(),
        ["b", "c"]
    );
    harness.node(store("a", 11));
    assert!(
        store_entry(&harness, "a").retired,
        "the store returned with the same disk"
    );
}

#[test]
fn another_machine_of_a_retired_stores_name_is_a_new_store() {
    let mut harness = with_stores(&["a", "b", "c"]);
    retire(&mut harness, "a", 1);
    report_empty(&mut harness, "a", 10);
    harness.changes(&expired("a", 10));
    harness.node(NodeReport {
        disk: 2,
        ..store("a", 11)
    });
    let new = store_entry(&harness, "a");
    assert!(new.present && !new.retired && !new.retiring);
    assert_eq!(harness.state.retirement("a"), None);
}

#[test]
fn absent_machines_are_bounded() {
    let mut harness = Harness::default();
    for number in 0..2_000 {
        let name = format!("n{number}");
        for report in [store(&name, number), gateway(&name, number)] {
            harness.node(report);
        }
        harness.changes(&expired(&name, number));
    }
    assert_eq!(harness.state.stores().count(), 1_024);
    assert_eq!(
        harness
            .state
            .stores()
            .filter(|store| store.incarnation < 976)
            .count(),
        0,
        "the oldest absent gateway was evicted first"
    );
    assert_eq!(harness.state.gateways().count(), 0);
}

#[test]
fn decommissioned_stores_are_evicted_before_absent_ones() {
    let mut harness = with_stores(&["b", "c"]);
    for number in 0..1_030 {
        let name = format!("n{number}");
        // The first stores, which are the oldest, are only absent; all others are decommissioned.
        harness.node(store(&name, 11 + number));
        if number >= 8 {
            assert_eq!(retire(&mut harness, &name, 1), RetirementOutcome::Accepted);
            report_empty(&mut harness, &name, 11 + number);
        }
        harness.changes(&expired(&name, 11 + number));
    }
    assert_eq!(harness.state.stores().count(), 2 + 8);
    assert_eq!(harness.state.retirement("n8"), None);
    assert_eq!(harness.state.retirement("n14"), Some(RetirementState::Done));
}

#[test]
fn a_duplicate_of_a_rejected_retirement_request_does_not_take_effect_later() {
    let mut harness = with_stores(&["a", "b"]);
    let Outcome::Fenced { fencing_token } = harness.apply(&common::retire("a", 1, 0)) else {
        panic!("the request was not fenced")
    };
    let duplicate = common::retire("a", 1, fencing_token);
    assert_eq!(
        harness.apply(&duplicate),
        Outcome::Retire(RetirementOutcome::TooFew)
    );
    harness.node(store("c", 10));
    assert!(matches!(harness.apply(&duplicate), Outcome::Fenced { .. }));
    assert_eq!(harness.state.retirement("a"), None);
    assert_eq!(
        retire(&mut harness, "a", 1),
        RetirementOutcome::Accepted,
        "a call made after the rejection is accepted"
    );
    assert_eq!(
        harness.apply(&duplicate),
        Outcome::Retire(RetirementOutcome::Accepted),
        "a duplicate of an accepted request is accepted"
    );
}

#[test]
fn a_duplicate_retirement_request_does_not_apply_to_the_next_machine_of_that_name() {
    let mut harness = with_stores(&["a", "b", "c", "d"]);
    let Outcome::Fenced { fencing_token } = harness.apply(&common::retire("a", 1, 0)) else {
        panic!("the request was not fenced")
    };
    let duplicate = common::retire("a", 1, fencing_token);
    assert_eq!(
        harness.apply(&duplicate),
        Outcome::Retire(RetirementOutcome::Accepted)
    );
    report_empty(&mut harness, "a", 10);
    assert_eq!(
        harness.apply(&duplicate),
        Outcome::Retire(RetirementOutcome::Accepted),
        "a duplicate after the retirement is accepted"
    );
    harness.changes(&expired("a", 10));
    assert_eq!(
        harness.apply(&duplicate),
        Outcome::Retire(RetirementOutcome::Accepted),
        "a duplicate after the machine was decommissioned is accepted"
    );
    harness.node(NodeReport {
        disk: 2,
        ..store("a", 20)
    });
    assert!(matches!(harness.apply(&duplicate), Outcome::Fenced { .. }));
    assert_eq!(harness.state.retirement("a"), None);
}
