//! Budgets: the counters use the number of present gateways, and a duplicate request gets the same reply.

mod common;

use common::{gateway, Harness};
use dunespur_budget::{CounterChange, CounterReply, CounterRequest, Counters, LimiterId};
use dunespur_control_state::{Operation, Outcome};

const GATEWAYS: u32 = 4;
const LIMITERS: u64 = 8;
const NEEDED: u64 = 10;

/// Lease requests from twice as many limiters as there are present gateways, each for more than its share.
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

fn reply(harness: &mut Harness, request: &CounterRequest) -> CounterReply {
    match harness.apply(&Operation::Budget(request.clone())) {
        Outcome::Budget(reply) => reply,
        other => panic!("expected a counter's reply, got {other:?}"),
    }
}

#[test]
fn the_counters_know_how_many_gateways_are_present() {
    let mut harness = Harness::default();
    for number in 0..GATEWAYS {
        harness.node(gateway(&format!("g{number}"), 1));
    }
    harness.node(gateway("gone", 1));
    harness.changes(&Operation::NodeExpired {
        name: "gone".to_owned(),
        incarnation: 1,
    });
    let (mut counters, mut counters_without_limit) = (Counters::default(), Counters::default());
    let mut differs = false;
    for request in requests() {
        let expected = counters.apply(&request, GATEWAYS);
        differs |= counters_without_limit.apply(&request, 0) != expected;
        assert_eq!(reply(&mut harness, &request), expected);
    }
    assert!(differs, "no reply depended on the number of gateways");
    assert_eq!(harness.state.counters(), &counters);
}

#[test]
fn a_duplicate_request_gets_the_same_reply_and_changes_nothing() {
    let mut harness = Harness::default();
    for request in requests() {
        let first = reply(&mut harness, &request);
        let leased = harness.state.counters().leased("p");
        assert_eq!(reply(&mut harness, &request), first);
        assert_eq!(harness.state.counters().leased("p"), leased);
    }
}
