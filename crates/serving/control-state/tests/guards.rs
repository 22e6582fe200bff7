//! Each guard of the retirement of stores taken out in turn brings about what it is against.

mod common;

use common::{store, Trial};
use dunespur_control_state::{
    ControlState, Guards, Operation, Outcome, RetireOutcome, RetireState,
};

fn with_stores(guards: Guards, names: &[&str]) -> Trial {
    let mut trial = Trial {
        state: ControlState::with_guards(guards),
        told: Vec::new(),
    };
    for name in names {
        trial.node(store(name, 10));
    }
    trial
}

fn retire(trial: &mut Trial, name: &str) -> Outcome {
    trial.retire(name, 1)
}

fn gone(trial: &mut Trial, name: &str) {
    trial.changes(&Operation::NodeGone {
        name: name.to_owned(),
        incarnation: 10,
    });
}

/// The present whole stores that turns are placed on.
fn homes(trial: &Trial) -> usize {
    let usable = trial
        .state
        .stores()
        .filter(|store| store.present && store.complete);
    usable
        .filter(|store| !store.retiring && !store.retired)
        .count()
}

fn round_of(trial: &Trial, name: &str) -> u64 {
    trial
        .state
        .stores()
        .find(|store| store.name == name)
        .expect("a known store")
        .epoch
}

fn says_empty(trial: &mut Trial, name: &str, round: u64) {
    trial.changes(&Operation::RetireDone {
        node: name.to_owned(),
        incarnation: 10,
        round,
    });
}

/// A replacement without a plan, then two orders to retire: how many homes are left.
fn replacement_and_two_orders(guards: Guards) -> usize {
    let mut trial = with_stores(guards, &["a", "b", "c"]);
    gone(&mut trial, "c");
    trial.node(store("d", 10));
    for name in ["a", "b"] {
        if retire(&mut trial, name) == Outcome::Retire(RetireOutcome::Taken) {
            let round = round_of(&trial, name);
            says_empty(&mut trial, name, round);
            gone(&mut trial, name);
        }
    }
    homes(&trial)
}

#[test]
fn a_ghost_must_not_remain() {
    assert_eq!(replacement_and_two_orders(Guards::default()), 2);
    let without = Guards {
        remaining_present_and_whole: false,
        ..Guards::default()
    };
    assert_eq!(
        replacement_and_two_orders(without),
        1,
        "the last store but one is emptied"
    );
}

/// The homes that are left while one store is being emptied and another is lost.
fn loss_during_a_retirement(guards: Guards) -> usize {
    let mut trial = with_stores(guards, &["a", "b", "c"]);
    retire(&mut trial, "a");
    gone(&mut trial, "b");
    homes(&trial)
}

#[test]
fn a_retirement_must_stand_still() {
    assert_eq!(loss_during_a_retirement(Guards::default()), 2);
    let without = Guards {
        stands_still: false,
        ..Guards::default()
    };
    assert_eq!(
        loss_during_a_retirement(without),
        1,
        "no turn is kept on two disks any more"
    );
}

/// A store says that it is empty; before that is agreed on, another that it counted on has lost its disk.
fn wiped_after_it_was_asked(guards: Guards) -> Option<RetireState> {
    let mut trial = with_stores(guards, &["a", "b", "c"]);
    retire(&mut trial, "a");
    let round = round_of(&trial, "a");
    trial.node(dunespur_control_state::NodeReport {
        disk: 2,
        whole: false,
        ..store("b", 11)
    });
    trial.node(dunespur_control_state::NodeReport {
        disk: 2,
        ..store("b", 11)
    });
    says_empty(&mut trial, "a", round);
    trial.state.retirement("a")
}

#[test]
fn a_declaration_must_be_of_the_present_round() {
    assert_eq!(
        wiped_after_it_was_asked(Guards::default()),
        Some(RetireState::Running)
    );
    let without = Guards {
        rounds_checked: false,
        ..Guards::default()
    };
    assert_eq!(wiped_after_it_was_asked(without), Some(RetireState::Done));
}
