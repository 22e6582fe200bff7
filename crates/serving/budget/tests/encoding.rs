//! Checks the encoding of the counters' messages and state. Processes of different versions exchange and store these
//! bytes, which depend on the order of fields and variants. The files under `encoding/` hold the expected bytes.

mod common;

use common::{lease, limiter, request, BUDGET};
use dunespur_budget::{CounterChange, CounterReply, CounterRequest, Counters, LimiterId};
use serde::{de::DeserializeOwned, Serialize};
use std::fmt::{Debug, Write};

/// Checks that each value encodes to the bytes on its line of the fixture, and that those bytes decode to the value.
fn assert_encoded<T>(fixture: &str, cases: &[(&str, T)])
where
    T: Serialize + DeserializeOwned + PartialEq + Debug,
{
    let mut encoded = String::new();
    for (name, value) in cases {
        let bytes = postcard::to_stdvec(value).expect("the value is encodable");
        writeln!(encoded, "{name} {}", to_hex(&bytes)).expect("writing to a string succeeds");
    }
    assert_eq!(encoded, fixture);
    for ((name, value), line) in cases.iter().zip(fixture.lines()) {
        let (_, hex) = line.split_once(' ').expect("a line has a name and bytes");
        let decoded: T =
            postcard::from_bytes(&from_hex(hex)).expect("the fixture's bytes are decodable");
        assert_eq!(decoded, *value, "{name}");
    }
}

fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn from_hex(text: &str) -> Vec<u8> {
    let digits = |at| u8::from_str_radix(&text[at..at + 2], 16).expect("two hexadecimal digits");
    (0..text.len()).step_by(2).map(digits).collect()
}

fn full_request(change: CounterChange) -> CounterRequest {
    CounterRequest {
        program: "program-1".to_owned(),
        budget: 2_000,
        limiter: LimiterId {
            node: "node-3".to_owned(),
            incarnation: 400,
        },
        sequence: 5,
        used: 60,
        change,
        at_ms: 70_000,
    }
}

#[test]
fn requests_keep_their_bytes() {
    let change = CounterChange::Lease {
        needed: 81,
        wanted: 182,
        returned: 83,
    };
    let cases = [
        ("lease", full_request(change)),
        ("return", full_request(CounterChange::Return { units: 84 })),
    ];
    assert_encoded(include_str!("encoding/requests.txt"), &cases);
}

#[test]
fn replies_keep_their_bytes() {
    let cases = [
        (
            "granted",
            CounterReply::Granted {
                units: 500,
                left: 6,
            },
        ),
        ("spent", CounterReply::Spent),
        ("elsewhere", CounterReply::LeasedElsewhere { leased: 700 }),
        ("returned", CounterReply::Returned),
        ("stale", CounterReply::Stale),
    ];
    assert_encoded(include_str!("encoding/replies.txt"), &cases);
}

/// Counters with every part populated, built only by applying requests.
fn populated_counters() -> Counters {
    let mut counters = Counters::default();
    let (first, second, second_restarted) =
        (limiter("one", 1), limiter("other", 2), limiter("other", 3));
    let requests = [
        request(&first, 1, BUDGET, lease(40, 90)),
        request(&second, 2, BUDGET, lease(50, 70)),
        CounterRequest {
            used: 7,
            at_ms: 900,
            ..request(&first, 3, BUDGET, lease(60, 80))
        },
        CounterRequest {
            at_ms: 800,
            ..request(&second_restarted, 4, BUDGET, lease(900, 950))
        },
        CounterRequest {
            used: 5,
            ..request(
                &second_restarted,
                5,
                BUDGET,
                CounterChange::Return { units: 0 },
            )
        },
        CounterRequest {
            program: "second".to_owned(),
            ..request(&first, 6, BUDGET, lease(11, 12))
        },
        CounterRequest {
            program: "third".to_owned(),
            ..request(&first, 7, 10, lease(11, 12))
        },
    ];
    for request in requests {
        counters.apply(&request, 2);
    }
    counters
}

#[test]
fn counters_keep_their_bytes() {
    assert_encoded(
        include_str!("encoding/counters.txt"),
        &[("populated", populated_counters())],
    );
}
