//! Budgets: the counters know how many gateways are present, and answer a repeated request alike.

mod common;

use common::{gateway, Trial};
use dunespur_budget::{CounterChange, CounterReply, CounterRequest, Counters, LimiterId};
use dunespur_control_state::{Operation, Outcome};

const GATEWAYS: u32 = 4;
const LIMITERS: u64 = 8;
const NEEDED: u64 = 10;

/// Twice as many limiters as there are present gateways request more than their share, one after another.
fn requests() -> impl Iterator<Item = CounterRequest> {
    (0..40).map(|sequence| CounterRequest {
        program: "p".to_owned(),
        budget: 1_000,
        limiter: LimiterId {
            node: format!("g{}", sequence % LIMITERS),
            incarnation: 1,
        },
        sequence,
        used: 0,
        change: CounterChange::Lease {
            needed: NEEDED,
            wanted: 400,
            returned: 0,
        },
        at_ms: sequence,
    })
}

fn reply(trial: &mut Trial, request: &CounterRequest) -> CounterReply {
    match trial.apply(&Operation::Budget(request.clone())) {
        Outcome::Budget(reply) => reply,
        other => panic!("{other:?} is no answer of a counter"),
    }
}

#[test]
fn the_counters_know_how_many_gateways_are_present() {
    let mut trial = Trial::default();
    for number in 0..GATEWAYS {
        trial.node(gateway(&format!("g{number}"), 1));
    }
    trial.node(gateway("gone", 1));
    trial.changes(&Operation::NodeExpired {
        name: "gone".to_owned(),
        incarnation: 1,
    });
    let (mut counters, mut uncounted) = (Counters::default(), Counters::default());
    let mut differs = false;
    for request in requests() {
        let expected = counters.apply(&request, GATEWAYS);
        differs |= uncounted.apply(&request, 0) != expected;
        assert_eq!(reply(&mut trial, &request), expected);
    }
    assert!(differs, "the number of gateways matters in this trial");
    assert_eq!(trial.state.counters(), &counters);
}

#[test]
fn a_repeated_request_is_answered_alike_and_changes_nothing() {
    let mut trial = Trial::default();
    for request in requests() {
        let first = reply(&mut trial, &request);
        let leased = trial.state.counters().leased("p");
        assert_eq!(reply(&mut trial, &request), first);
        assert_eq!(trial.state.counters().leased("p"), leased);
    }
}
