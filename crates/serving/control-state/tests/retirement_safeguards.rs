//! Each safeguard of the retirement of stores removed in turn lets the fault happen that it prevents.

mod common;

use common::{store, Trial};
use dunespur_control_state::{
    ControlState, Operation, Outcome, RetirementOutcome, RetirementState, Safeguard, Safeguards,
};

fn with_stores(safeguards: Safeguards, names: &[&str]) -> Trial {
    let mut trial = Trial {
        state: ControlState::default().with_safeguards(safeguards),
        notifications: Vec::new(),
    };
    for name in names {
        trial.node(store(name, 10));
    }
    trial
}

fn retire(trial: &mut Trial, name: &str) -> Outcome {
    trial.retire(name, 1)
}

fn expired(trial: &mut Trial, name: &str) {
    trial.changes(&Operation::NodeExpired {
        name: name.to_owned(),
        incarnation: 10,
    });
}

/// The present and complete stores that turns are placed on.
fn usable_stores(trial: &Trial) -> usize {
    let usable = trial
        .state
        .stores()
        .filter(|store| store.present && store.complete);
    usable
        .filter(|store| !store.retiring && !store.retired)
        .count()
}

fn epoch_of(trial: &Trial, name: &str) -> u64 {
    trial
        .state
        .stores()
        .find(|store| store.name == name)
        .expect("a known store")
        .epoch
}

fn says_empty(trial: &mut Trial, name: &str, epoch: u64) {
    trial.changes(&Operation::RetireDone {
        node: name.to_owned(),
        incarnation: 10,
        epoch,
    });
}

/// An unplanned replacement, then two requests to retire: how many usable stores are left.
fn replacement_and_two_orders(safeguards: Safeguards) -> usize {
    let mut trial = with_stores(safeguards, &["a", "b", "c"]);
    expired(&mut trial, "c");
    trial.node(store("d", 10));
    for name in ["a", "b"] {
        if retire(&mut trial, name) == Outcome::Retire(RetirementOutcome::Accepted) {
            let epoch = epoch_of(&trial, name);
            says_empty(&mut trial, name, epoch);
            expired(&mut trial, name);
        }
    }
    usable_stores(&trial)
}

#[test]
fn a_lost_store_must_not_remain() {
    assert_eq!(replacement_and_two_orders(Safeguards::default()), 2);
    let without = Safeguards::without(Safeguard::RemainingPresentAndComplete);
    assert_eq!(
        replacement_and_two_orders(without),
        1,
        "the last store but one is emptied"
    );
}

/// The usable stores that are left while one store is being emptied and another is lost.
fn loss_during_a_retirement(safeguards: Safeguards) -> usize {
    let mut trial = with_stores(safeguards, &["a", "b", "c"]);
    retire(&mut trial, "a");
    expired(&mut trial, "b");
    usable_stores(&trial)
}

#[test]
fn a_retirement_must_be_paused() {
    assert_eq!(loss_during_a_retirement(Safeguards::default()), 2);
    let without = Safeguards::without(Safeguard::RetirementPaused);
    assert_eq!(
        loss_during_a_retirement(without),
        1,
        "no turn is stored on two disks any more"
    );
}

/// A store finds itself empty; before that is committed, another that it relied on has lost its disk.
fn wiped_after_its_statement(safeguards: Safeguards) -> Option<RetirementState> {
    let mut trial = with_stores(safeguards, &["a", "b", "c"]);
    retire(&mut trial, "a");
    let epoch = epoch_of(&trial, "a");
    trial.node(dunespur_control_state::NodeReport {
        disk: 2,
        complete: false,
        ..store("b", 11)
    });
    trial.node(dunespur_control_state::NodeReport {
        disk: 2,
        ..store("b", 11)
    });
    says_empty(&mut trial, "a", epoch);
    trial.state.retirement("a")
}

#[test]
fn a_statement_must_be_of_the_current_epoch() {
    assert_eq!(
        wiped_after_its_statement(Safeguards::default()),
        Some(RetirementState::Running)
    );
    let without = Safeguards::without(Safeguard::EpochsChecked);
    assert_eq!(
        wiped_after_its_statement(without),
        Some(RetirementState::Done)
    );
}
