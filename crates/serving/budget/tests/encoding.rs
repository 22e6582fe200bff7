//! The bytes of the counter's messages and of its state: they go between processes of different versions and onto
//! disks, by position and order, so no field or variant may move. The files under `encoding/` hold what the version
//! before the renaming wrote.

mod common;

use common::{lease, limiter, request, BUDGET};
use dunespur_budget::{CounterChange, CounterReply, CounterRequest, Counters, LimiterId};
use serde::{de::DeserializeOwned, Serialize};
use std::fmt::{Debug, Write};

/// Checks that each value is written as the line of its name in the fixture says, and read back from those bytes.
fn assert_encoded<T>(fixture: &str, cases: &[(&str, T)])
where
    T: Serialize + DeserializeOwned + PartialEq + Debug,
{
    let mut written = String::new();
    for (name, value) in cases {
        let bytes = postcard::to_stdvec(value).expect("a value is written");
        writeln!(written, "{name} {}", to_hex(&bytes)).expect("a string takes text");
    }
    assert_eq!(written, fixture);
    for ((name, value), line) in cases.iter().zip(fixture.lines()) {
        let (_, hex) = line.split_once(' ').expect("a name and bytes");
        let read: T = postcard::from_bytes(&from_hex(hex)).expect("a value is read");
        assert_eq!(read, *value, "{name}");
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

/// Counters in which each part holds something, made by requests alone.
fn populated_counters() -> Counters {
    let mut counters = Counters::default();
    let (one, other, newer) = (limiter("one", 1), limiter("other", 2), limiter("other", 3));
    let requests = [
        request(&one, 1, BUDGET, lease(40, 90)),
        request(&other, 2, BUDGET, lease(50, 70)),
        CounterRequest {
            used: 7,
            at_ms: 900,
            ..request(&one, 3, BUDGET, lease(60, 80))
        },
        CounterRequest {
            at_ms: 800,
            ..request(&newer, 4, BUDGET, lease(900, 950))
        },
        CounterRequest {
            used: 5,
            ..request(&newer, 5, BUDGET, CounterChange::Return { units: 0 })
        },
        CounterRequest {
            program: "second".to_owned(),
            ..request(&one, 6, BUDGET, lease(11, 12))
        },
        CounterRequest {
            program: "third".to_owned(),
            ..request(&one, 7, 10, lease(11, 12))
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
