//! The operator's orders: one wins on each generation, and what was taken is accepted again.

mod common;

use common::{patch, replace, replace_with, Trial};
use dunespur_control::{Change, Order, OrderKind, Outcome};

/// More orders than are remembered.
const MANY_ORDERS: u64 = 9_000;
const REMEMBERED: u64 = 8_192;

fn current(trial: &Trial) -> Option<u64> {
    trial.state.configuration().map(|document| document.generation())
}

fn places(outcome: Outcome) -> Vec<String> {
    match outcome {
        Outcome::Invalid(findings) => findings.0.into_iter().map(|finding| finding.place).collect(),
        other => panic!("{other:?} is no refusal with findings"),
    }
}

#[test]
fn the_first_configuration_builds_on_nothing() {
    let mut trial = Trial::default();
    assert_eq!(trial.order(&replace(3, 7)), Outcome::Current { generation: 0 });
    assert_eq!(current(&trial), None);
    assert_eq!(trial.order(&replace(0, 7)), Outcome::Accepted);
    assert_eq!(current(&trial), Some(7));
}

#[test]
fn a_configuration_is_read_back_and_told_as_sent() {
    let mut trial = Trial::default();
    let body = r#"{ "generation": 7, "colour": 1.50 }"#;
    trial.order(&replace_with(0, body));
    assert_eq!(trial.state.configuration().expect("a configuration").to_json(), body);
    assert_eq!(trial.told, [Change::Configuration { generation: 7, json: body.into() }]);
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
            places(trial.order(&replace_with(7, &format!(r#"{{"generation":{generation}}}"#)))),
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
    assert_eq!(places(trial.order(&replace_with(7, bad))), ["routes[0].timeout_ms", "routes[0]"]);
    assert_eq!(places(trial.order(&replace_with(7, "{"))), ["configuration"]);
    assert_eq!(trial.state, before);
    assert_eq!(trial.order(&replace(7, 9)), Outcome::Accepted);
}

#[test]
fn of_two_orders_on_one_generation_one_wins() {
    let mut trial = Trial::default();
    trial.order(&replace(0, 7));
    let (first, second) =
        (replace_with(7, r#"{"generation":9,"a":1}"#), replace_with(7, r#"{"generation":9,"b":1}"#));
    assert_eq!(trial.order(&first), Outcome::Accepted);
    assert_eq!(trial.order(&second), Outcome::Current { generation: 9 });
    assert_eq!(trial.order(&first), Outcome::Accepted);
    assert_eq!(trial.order(&second), Outcome::Current { generation: 9 });
    assert_eq!(trial.state.configuration().expect("a configuration").to_json(), r#"{"generation":9,"a":1}"#);
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
    assert_eq!(trial.order(&patch(0, body)), Outcome::Current { generation: 7 });
    assert_eq!(trial.order(&replace_with(0, r#"{"generation": 7}"#)), Outcome::Current { generation: 7 });
    let on_it = Order { base: 7, kind: OrderKind::Replace, body: body.as_bytes().to_vec() };
    assert_eq!(places(trial.order(&on_it)), ["generation"]);
}

#[test]
fn an_order_too_old_to_be_remembered_is_never_refused() {
    let mut trial = Trial::default();
    for base in 0..MANY_ORDERS {
        assert_eq!(trial.order(&replace(base, base + 1)), Outcome::Accepted);
    }
    let oldest = MANY_ORDERS - REMEMBERED;
    assert_eq!(trial.order(&replace(0, 1)), Outcome::Forgotten);
    assert_eq!(trial.order(&replace(oldest - 1, oldest)), Outcome::Forgotten);
    assert_eq!(trial.order(&replace(oldest, oldest + 1)), Outcome::Accepted);
    assert_eq!(
        trial.order(&replace_with(MANY_ORDERS - 1, r#"{"generation":100000}"#)),
        Outcome::Current { generation: MANY_ORDERS }
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
    let second =
        format!(r#"{{"generation":4,"upsert":{{"routes":[{}]}},"remove":{{"routes":["a"]}}}}"#, route("c"));
    assert_eq!(trial.order(&patch(2, &second)), Outcome::Accepted);
    assert_eq!(trial.order(&patch(2, &second)), Outcome::Accepted);
    assert_eq!(
        places(trial.order(&patch(4, r#"{"generation":5,"remove":{"services":["s"]}}"#))),
        ["routes[0]", "routes[1]"]
    );
    let expected =
        format!(r#"{{"generation":4,"routes":[{},{}],"services":[{{"name":"s"}}]}}"#, route("b"), route("c"));
    assert_eq!(trial.state.configuration().expect("a configuration").to_json(), expected);
}
