//! Removes each safeguard of store retirement in turn and shows that the fault it prevents then happens.

mod common;

use common::{store, Harness};
use dunespur_control_state::{
    ControlState, Operation, Outcome, RetirementOutcome, RetirementState, Safeguard, Safeguards,
};

fn with_stores(safeguards: Safeguards, names: &[&str]) -> Harness {
    let mut harness = Harness {
        state: ControlState::default().with_safeguards(safeguards),
        notifications: Vec::new(),
    };
    for name in names {
        harness.node(store(name, 10));
    }
    harness
}

fn retire(harness: &mut Harness, name: &str) -> Outcome {
    harness.retire(name, 1)
}

fn expired(harness: &mut Harness, name: &str) {
    harness.changes(&Operation::NodeExpired {
        name: name.to_owned(),
        incarnation: 10,
    });
}

/// The number of present and complete stores on which turns are placed.
fn usable_stores(harness: &Harness) -> usize {
    let usable = harness
        .state
        .stores()
        .filter(|store| store.present && store.complete);
    usable
        .filter(|store| !store.retiring && !store.retired)
        .count()
}

fn epoch_of(harness: &Harness, name: &str) -> u64 {
    harness
        .state
        .stores()
        .find(|store| store.name == name)
        .expect("the store is recorded")
        .epoch
}

fn report_empty(harness: &mut Harness, name: &str, epoch: u64) {
    harness.changes(&Operation::RetireDone {
        node: name.to_owned(),
        incarnation: 10,
        epoch,
    });
}

/// The number of usable stores after c is replaced by d and retirements of a and b are requested.
fn usable_after_replacement_and_retirements(safeguards: Safeguards) -> usize {
    let mut harness = with_stores(safeguards, &["a", "b", "c"]);
    expired(&mut harness, "c");
    harness.node(store("d", 10));
    for name in ["a", "b"] {
        if retire(&mut harness, name) == Outcome::Retire(RetirementOutcome::Accepted) {
            let epoch = epoch_of(&harness, name);
            report_empty(&mut harness, name, epoch);
            expired(&mut harness, name);
        }
    }
    usable_stores(&harness)
}

#[test]
fn a_lost_store_must_not_remain() {
    assert_eq!(
        usable_after_replacement_and_retirements(Safeguards::default()),
        2
    );
    let without = Safeguards::without(Safeguard::RemainingPresentAndComplete);
    assert_eq!(
        usable_after_replacement_and_retirements(without),
        1,
        "without the safeguard the second-to-last store is emptied"
    );
}

/// The number of usable stores while a is being emptied and b is lost.
fn usable_after_loss_during_retirement(safeguards: Safeguards) -> usize {
    let mut harness = with_stores(safeguards, &["a", "b", "c"]);
    retire(&mut harness, "a");
    expired(&mut harness, "b");
    usable_stores(&harness)
}

#[test]
fn a_retirement_must_be_paused() {
    assert_eq!(
        usable_after_loss_during_retirement(Safeguards::default()),
        2
    );
    let without = Safeguards::without(Safeguard::RetirementPaused);
    assert_eq!(
        usable_after_loss_during_retirement(without),
        1,
        "without the safeguard turns are stored on one disk only"
    );
}

/// The state of a's retirement after a reports itself empty, and b loses its disk before that report is committed.
fn retirement_after_outdated_report(safeguards: Safeguards) -> Option<RetirementState> {
    let mut harness = with_stores(safeguards, &["a", "b", "c"]);
    retire(&mut harness, "a");
    let epoch = epoch_of(&harness, "a");
    harness.node(dunespur_control_state::NodeReport {
        disk: 2,
        complete: false,
        ..store("b", 11)
    });
    harness.node(dunespur_control_state::NodeReport {
        disk: 2,
        ..store("b", 11)
    });
    report_empty(&mut harness, "a", epoch);
    harness.state.retirement("a")
}

#[test]
fn a_report_of_an_empty_store_must_be_of_the_current_epoch() {
    assert_eq!(
        retirement_after_outdated_report(Safeguards::default()),
        Some(RetirementState::Running)
    );
    let without = Safeguards::without(Safeguard::EpochsChecked);
    assert_eq!(
        retirement_after_outdated_report(without),
        Some(RetirementState::Done)
    );
}
