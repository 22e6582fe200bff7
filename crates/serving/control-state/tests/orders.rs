//! The operator's orders: one wins on each generation, and what was taken is accepted again.

mod common;

use common::{patch, replace, replace_with, Trial};
use dunespur_control_state::{Change, ControlState, Guards, Order, Outcome};

/// More orders than are remembered.
const MANY_ORDERS: u64 = 66_000;
const REMEMBERED: u64 = 65_536;
/// Of all that a snapshot holds beside the configuration, for each remembered order.
const BYTES_AN_ORDER: usize = 14;

fn current(trial: &Trial) -> Option<u64> {
    trial
        .state
        .configuration()
        .map(|document| document.generation())
}

fn places(outcome: Outcome) -> Vec<String> {
    match outcome {
        Outcome::Invalid(findings) => findings
            .0
            .into_iter()
            .map(|finding| finding.place)
            .collect(),
        other => panic!("{other:?} is no refusal with findings"),
    }
}

#[test]
fn the_first_configuration_builds_on_nothing() {
    let mut trial = Trial::default();
    assert_eq!(
        trial.order(&replace(3, 7)),
        Outcome::Current { generation: 0 }
    );
    assert_eq!(current(&trial), None);
    assert_eq!(trial.order(&replace(0, 7)), Outcome::Accepted);
    assert_eq!(current(&trial), Some(7));
}

#[test]
fn a_configuration_is_read_back_and_told_as_sent() {
    let mut trial = Trial::default();
    let body = r#"{ "generation": 7, "colour": 1.50 }"#;
    trial.order(&replace_with(0, body));
    assert_eq!(
        trial
            .state
            .configuration()
            .expect("a configuration")
            .to_json(),
        body
    );
    assert_eq!(
        trial.told,
        [Change::Configuration {
            generation: 7,
            json: body.into()
        }]
    );
}

#[test]
fn generations_rise_in_uneven_steps() {
    let mut trial = Trial::default();
    for (base, generation) in [(0, 1), (1, 5), (5, 6), (6, 1_000), (1_000, u64::MAX)] {
        assert_eq!(trial.order(&replace(base, generation)), Outcome::Accepted);
        assert_eq!(current(&trial), Some(generation));
    }
}

#[test]
fn a_generation_that_does_not_rise_is_invalid() {
    let mut trial = Trial::default();
    assert_eq!(places(trial.order(&replace(0, 0))), ["generation"]);
    trial.order(&replace(0, 7));
    for generation in [1, 6, 7] {
        assert_eq!(
            places(trial.order(&replace_with(
                7,
                &format!(r#"{{"generation":{generation}}}"#)
            ))),
            ["generation"]
        );
        assert_eq!(
            places(trial.order(&patch(7, &format!(r#"{{"generation":{generation}}}"#)))),
            ["generation"]
        );
    }
    assert_eq!(current(&trial), Some(7));
    assert_eq!(trial.told.len(), 1);
}

#[test]
fn an_invalid_order_changes_nothing_and_a_better_one_may_follow() {
    let mut trial = Trial::default();
    trial.order(&replace(0, 7));
    let before = trial.state.clone();
    let bad = r#"{"generation":9,"routes":[{"name":"r","host":"h","path_prefix":"/","kind":"mutating","timeout_ms":0,"backend":"s"}]}"#;
    assert_eq!(
        places(trial.order(&replace_with(7, bad))),
        ["routes[0].timeout_ms", "routes[0]"]
    );
    assert_eq!(
        places(trial.order(&replace_with(7, "{"))),
        ["configuration"]
    );
    assert_eq!(trial.state, before);
    assert_eq!(trial.order(&replace(7, 9)), Outcome::Accepted);
}

#[test]
fn of_two_orders_on_one_generation_one_wins() {
    let mut trial = Trial::default();
    trial.order(&replace(0, 7));
    let (first, second) = (
        replace_with(7, r#"{"generation":9,"a":1}"#),
        replace_with(7, r#"{"generation":9,"b":1}"#),
    );
    assert_eq!(trial.order(&first), Outcome::Accepted);
    assert_eq!(trial.order(&second), Outcome::Current { generation: 9 });
    assert_eq!(trial.order(&first), Outcome::Accepted);
    assert_eq!(trial.order(&second), Outcome::Current { generation: 9 });
    assert_eq!(
        trial
            .state
            .configuration()
            .expect("a configuration")
            .to_json(),
        r#"{"generation":9,"a":1}"#
    );
}

#[test]
fn a_taken_order_is_accepted_again_whatever_came_since_and_changes_nothing() {
    let mut trial = Trial::default();
    let orders: Vec<Order> = (0..200).map(|base| replace(base, base + 1)).collect();
    for order in &orders {
        assert_eq!(trial.order(order), Outcome::Accepted);
    }
    let (before, told) = (trial.state.clone(), trial.told.len());
    for order in &orders {
        assert_eq!(trial.order(order), Outcome::Accepted);
    }
    assert_eq!(trial.state, before);
    assert_eq!(trial.told.len(), told);
}

#[test]
fn only_the_very_same_order_is_accepted_again() {
    let mut trial = Trial::default();
    let body = r#"{"generation":7}"#;
    trial.order(&replace_with(0, body));
    assert_eq!(
        trial.order(&patch(0, body)),
        Outcome::Current { generation: 7 }
    );
    assert_eq!(
        trial.order(&replace_with(0, r#"{"generation": 7}"#)),
        Outcome::Current { generation: 7 }
    );
    let on_it = replace_with(7, body);
    assert_eq!(places(trial.order(&on_it)), ["generation"]);
}

#[test]
fn an_order_too_old_to_be_remembered_is_never_refused() {
    let mut trial = Trial::default();
    for base in 0..MANY_ORDERS {
        assert_eq!(trial.order(&replace(base, base + 1)), Outcome::Accepted);
    }
    let size = trial.state.snapshot().len();
    assert!(
        size <= REMEMBERED as usize * BYTES_AN_ORDER,
        "a snapshot of {size} bytes"
    );
    let oldest = MANY_ORDERS - REMEMBERED;
    assert_eq!(trial.order(&replace(0, 1)), Outcome::Forgotten);
    assert_eq!(
        trial.order(&replace(oldest - 1, oldest)),
        Outcome::Forgotten
    );
    assert_eq!(trial.order(&replace(oldest, oldest + 1)), Outcome::Accepted);
    assert_eq!(
        trial.order(&replace_with(MANY_ORDERS - 1, r#"{"generation":100000}"#)),
        Outcome::Current {
            generation: MANY_ORDERS
        }
    );
}

#[test]
fn patches_build_on_what_is_there() {
    let mut trial = Trial::default();
    let route = |name: &str| {
        format!(
            r#"{{"name":"{name}","host":"h","path_prefix":"/{name}/","kind":"mutating","timeout_ms":9,"backend":"s"}}"#
        )
    };
    let first = format!(
        r#"{{"generation":2,"upsert":{{"services":[{{"name":"s"}}],"routes":[{},{}]}}}}"#,
        route("a"),
        route("b")
    );
    assert_eq!(trial.order(&patch(0, &first)), Outcome::Accepted);
    let second = format!(
        r#"{{"generation":4,"upsert":{{"routes":[{}]}},"remove":{{"routes":["a"]}}}}"#,
        route("c")
    );
    assert_eq!(trial.order(&patch(2, &second)), Outcome::Accepted);
    assert_eq!(trial.order(&patch(2, &second)), Outcome::Accepted);
    assert_eq!(
        places(trial.order(&patch(4, r#"{"generation":5,"remove":{"services":["s"]}}"#))),
        ["routes[0]", "routes[1]"]
    );
    let expected = format!(
        r#"{{"generation":4,"routes":[{},{}],"services":[{{"name":"s"}}]}}"#,
        route("b"),
        route("c")
    );
    assert_eq!(
        trial
            .state
            .configuration()
            .expect("a configuration")
            .to_json(),
        expected
    );
}

/// The state of a member that was brought up by a snapshot.
fn brought_up(state: &ControlState) -> ControlState {
    ControlState::restore(&state.snapshot()).expect("a snapshot")
}

#[test]
fn a_member_that_was_brought_up_by_a_snapshot_knows_the_orders_that_were_taken() {
    let mut trial = Trial::default();
    for base in 0..20_000 {
        trial.order(&replace(base, base + 1));
    }
    trial.state = brought_up(&trial.state);
    for base in (0..20_000).step_by(997) {
        assert_eq!(trial.order(&replace(base, base + 1)), Outcome::Accepted);
        assert_eq!(
            trial.order(&replace(base, base + 2)),
            Outcome::Current { generation: 20_000 },
            "the loser on {base}"
        );
    }
}

#[test]
fn a_copy_of_an_order_that_was_refused_as_too_early_does_not_take_effect_later() {
    let mut trial = Trial::default();
    trial.order(&replace(0, 5));
    let early = replace(6, 7);
    assert_eq!(trial.order(&early), Outcome::Current { generation: 5 });
    trial.order(&replace(5, 6));
    trial.state = brought_up(&trial.state);
    let Outcome::Fenced { fence } = trial.order(&early) else {
        panic!("a copy from before the refusal counts")
    };
    assert_eq!(current(&trial), Some(6));
    // A call made since knows the fence.
    let again = Order {
        fence,
        ..early.clone()
    };
    assert_eq!(trial.order(&again), Outcome::Accepted);
    assert_eq!(trial.order(&early), Outcome::Accepted, "it was taken since");
    assert_eq!(current(&trial), Some(7));
}

#[test]
fn without_the_fence_a_refused_order_takes_effect() {
    let guards = Guards {
        refusals_fenced: false,
        ..Guards::default()
    };
    let mut trial = Trial {
        state: ControlState::with_guards(guards),
        ..Trial::default()
    };
    let early = replace(6, 7);
    assert_eq!(trial.order(&early), Outcome::Current { generation: 0 });
    trial.order(&replace(0, 6));
    assert_eq!(trial.order(&early), Outcome::Accepted);
}

#[test]
fn a_fence_is_forgotten_once_no_order_on_its_generation_can_be_taken() {
    let mut trial = Trial::default();
    for base in 1..=1_024 {
        assert_eq!(
            trial.order(&replace(base, base + 1)),
            Outcome::Current { generation: 0 }
        );
    }
    assert_eq!(
        trial.order(&replace(2_000, 2_001)),
        Outcome::Forgotten,
        "no room to remember the refusal"
    );
    assert_eq!(
        trial.order(&replace(7, 8)),
        Outcome::Current { generation: 0 },
        "remembered already"
    );
    assert_eq!(trial.order(&replace(0, 1_024)), Outcome::Accepted);
    assert_eq!(
        trial.order(&replace(2_000, 2_001)),
        Outcome::Current { generation: 1_024 }
    );
    assert!(matches!(
        trial.order(&replace(1_024, 1_025)),
        Outcome::Fenced { .. }
    ));
}
