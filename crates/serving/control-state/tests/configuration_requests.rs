//! Configuration requests: one wins on each generation, and an accepted one is accepted again.

mod common;

use common::{patch, replace, replace_with, Trial};
use dunespur_control_state::{
    Change, ConfigurationRequest, ControlState, Outcome, Safeguard, Safeguards,
};

/// More requests than are recorded.
const MANY_REQUESTS: u64 = 66_000;
const RECORDED: u64 = 65_536;
/// Of all that a snapshot contains beside the configuration, for each recorded request.
const BYTES_PER_REQUEST: usize = 14;

fn current(trial: &Trial) -> Option<u64> {
    trial
        .state
        .configuration()
        .map(|document| document.generation())
}

fn locations(outcome: Outcome) -> Vec<String> {
    match outcome {
        Outcome::Invalid(findings) => findings
            .0
            .into_iter()
            .map(|finding| finding.location)
            .collect(),
        other => panic!("{other:?} is no rejection with findings"),
    }
}

#[test]
fn the_first_configuration_builds_on_nothing() {
    let mut trial = Trial::default();
    assert_eq!(
        trial.request(&replace(3, 7)),
        Outcome::GenerationConflict { current: 0 }
    );
    assert_eq!(current(&trial), None);
    assert_eq!(trial.request(&replace(0, 7)), Outcome::Accepted);
    assert_eq!(current(&trial), Some(7));
}

#[test]
fn a_configuration_is_read_back_and_published_as_received() {
    let mut trial = Trial::default();
    let body = r#"{ "generation": 7, "colour": 1.50 }"#;
    trial.request(&replace_with(0, body));
    assert_eq!(
        trial
            .state
            .configuration()
            .expect("a configuration")
            .to_json(),
        body
    );
    assert_eq!(
        trial.notifications,
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
        assert_eq!(trial.request(&replace(base, generation)), Outcome::Accepted);
        assert_eq!(current(&trial), Some(generation));
    }
}

#[test]
fn a_generation_that_does_not_rise_is_invalid() {
    let mut trial = Trial::default();
    assert_eq!(locations(trial.request(&replace(0, 0))), ["generation"]);
    trial.request(&replace(0, 7));
    for generation in [1, 6, 7] {
        assert_eq!(
            locations(trial.request(&replace_with(
                7,
                &format!(r#"{{"generation":{generation}}}"#)
            ))),
            ["generation"]
        );
        assert_eq!(
            locations(trial.request(&patch(7, &format!(r#"{{"generation":{generation}}}"#)))),
            ["generation"]
        );
    }
    assert_eq!(current(&trial), Some(7));
    assert_eq!(trial.notifications.len(), 1);
}

#[test]
fn an_invalid_request_changes_nothing_and_a_valid_one_may_follow() {
    let mut trial = Trial::default();
    trial.request(&replace(0, 7));
    let before = trial.state.clone();
    let bad = r#"{"generation":9,"routes":[{"name":"r","host":"h","path_prefix":"/","kind":"mutating","timeout_ms":0,"backend":"s"}]}"#;
    assert_eq!(
        locations(trial.request(&replace_with(7, bad))),
        ["routes[0].timeout_ms", "routes[0]"]
    );
    assert_eq!(
        locations(trial.request(&replace_with(7, "{"))),
        ["configuration"]
    );
    assert_eq!(trial.state, before);
    assert_eq!(trial.request(&replace(7, 9)), Outcome::Accepted);
}

#[test]
fn of_two_requests_on_one_generation_one_wins() {
    let mut trial = Trial::default();
    trial.request(&replace(0, 7));
    let (first, second) = (
        replace_with(7, r#"{"generation":9,"a":1}"#),
        replace_with(7, r#"{"generation":9,"b":1}"#),
    );
    assert_eq!(trial.request(&first), Outcome::Accepted);
    assert_eq!(
        trial.request(&second),
        Outcome::GenerationConflict { current: 9 }
    );
    assert_eq!(trial.request(&first), Outcome::Accepted);
    assert_eq!(
        trial.request(&second),
        Outcome::GenerationConflict { current: 9 }
    );
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
fn an_accepted_request_is_accepted_again_whatever_came_since_and_changes_nothing() {
    let mut trial = Trial::default();
    let requests: Vec<ConfigurationRequest> =
        (0..200).map(|base| replace(base, base + 1)).collect();
    for request in &requests {
        assert_eq!(trial.request(request), Outcome::Accepted);
    }
    let (before, published) = (trial.state.clone(), trial.notifications.len());
    for request in &requests {
        assert_eq!(trial.request(request), Outcome::Accepted);
    }
    assert_eq!(trial.state, before);
    assert_eq!(trial.notifications.len(), published);
}

#[test]
fn only_the_very_same_request_is_accepted_again() {
    let mut trial = Trial::default();
    let body = r#"{"generation":7}"#;
    trial.request(&replace_with(0, body));
    assert_eq!(
        trial.request(&patch(0, body)),
        Outcome::GenerationConflict { current: 7 }
    );
    assert_eq!(
        trial.request(&replace_with(0, r#"{"generation": 7}"#)),
        Outcome::GenerationConflict { current: 7 }
    );
    let on_it = replace_with(7, body);
    assert_eq!(locations(trial.request(&on_it)), ["generation"]);
}

#[test]
fn a_request_too_old_to_be_recorded_is_never_rejected() {
    let mut trial = Trial::default();
    for base in 0..MANY_REQUESTS {
        assert_eq!(trial.request(&replace(base, base + 1)), Outcome::Accepted);
    }
    let size = trial.state.snapshot().len();
    assert!(
        size <= RECORDED as usize * BYTES_PER_REQUEST,
        "a snapshot of {size} bytes"
    );
    let oldest = MANY_REQUESTS - RECORDED;
    assert_eq!(trial.request(&replace(0, 1)), Outcome::Undetermined);
    assert_eq!(
        trial.request(&replace(oldest - 1, oldest)),
        Outcome::Undetermined
    );
    assert_eq!(
        trial.request(&replace(oldest, oldest + 1)),
        Outcome::Accepted
    );
    assert_eq!(
        trial.request(&replace_with(MANY_REQUESTS - 1, r#"{"generation":100000}"#)),
        Outcome::GenerationConflict {
            current: MANY_REQUESTS
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
    assert_eq!(trial.request(&patch(0, &first)), Outcome::Accepted);
    let second = format!(
        r#"{{"generation":4,"upsert":{{"routes":[{}]}},"remove":{{"routes":["a"]}}}}"#,
        route("c")
    );
    assert_eq!(trial.request(&patch(2, &second)), Outcome::Accepted);
    assert_eq!(trial.request(&patch(2, &second)), Outcome::Accepted);
    assert_eq!(
        locations(trial.request(&patch(4, r#"{"generation":5,"remove":{"services":["s"]}}"#))),
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
fn restored(state: &ControlState) -> ControlState {
    ControlState::restore(&state.snapshot()).expect("a snapshot")
}

#[test]
fn a_member_that_was_restored_from_a_snapshot_knows_the_accepted_requests() {
    let mut trial = Trial::default();
    for base in 0..20_000 {
        trial.request(&replace(base, base + 1));
    }
    trial.state = restored(&trial.state);
    for base in (0..20_000).step_by(997) {
        assert_eq!(trial.request(&replace(base, base + 1)), Outcome::Accepted);
        assert_eq!(
            trial.request(&replace(base, base + 2)),
            Outcome::GenerationConflict { current: 20_000 },
            "the loser on {base}"
        );
    }
}

#[test]
fn a_duplicate_of_a_request_rejected_as_too_early_does_not_take_effect_later() {
    let mut trial = Trial::default();
    trial.request(&replace(0, 5));
    let early = replace(6, 7);
    assert_eq!(
        trial.request(&early),
        Outcome::GenerationConflict { current: 5 }
    );
    trial.request(&replace(5, 6));
    trial.state = restored(&trial.state);
    let Outcome::Fenced { fencing_token } = trial.request(&early) else {
        panic!("a duplicate from before the rejection counts")
    };
    assert_eq!(current(&trial), Some(6));
    // A call made since knows the token.
    let again = ConfigurationRequest {
        fencing_token,
        ..early.clone()
    };
    assert_eq!(trial.request(&again), Outcome::Accepted);
    assert_eq!(
        trial.request(&early),
        Outcome::Accepted,
        "it was accepted since"
    );
    assert_eq!(current(&trial), Some(7));
}

#[test]
fn without_fencing_a_rejected_request_takes_effect() {
    let safeguards = Safeguards::without(Safeguard::RejectionsFenced);
    let mut trial = Trial {
        state: ControlState::default().with_safeguards(safeguards),
        ..Trial::default()
    };
    let early = replace(6, 7);
    assert_eq!(
        trial.request(&early),
        Outcome::GenerationConflict { current: 0 }
    );
    trial.request(&replace(0, 6));
    assert_eq!(trial.request(&early), Outcome::Accepted);
}

#[test]
fn a_fencing_token_is_discarded_once_no_request_on_its_generation_can_be_accepted() {
    let mut trial = Trial::default();
    for base in 1..=1_024 {
        assert_eq!(
            trial.request(&replace(base, base + 1)),
            Outcome::GenerationConflict { current: 0 }
        );
    }
    assert_eq!(
        trial.request(&replace(2_000, 2_001)),
        Outcome::Undetermined,
        "no capacity to record the rejection"
    );
    assert_eq!(
        trial.request(&replace(7, 8)),
        Outcome::GenerationConflict { current: 0 },
        "recorded already"
    );
    assert_eq!(trial.request(&replace(0, 1_024)), Outcome::Accepted);
    assert_eq!(
        trial.request(&replace(2_000, 2_001)),
        Outcome::GenerationConflict { current: 1_024 }
    );
    assert!(matches!(
        trial.request(&replace(1_024, 1_025)),
        Outcome::Fenced { .. }
    ));
}
