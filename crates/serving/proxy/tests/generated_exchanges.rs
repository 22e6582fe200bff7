//! Generated exchanges over the real stack: clients that send in pieces and leave anywhere, servers that read no more
//! than a head, answer in pieces of any bytes, break off at any byte, send surplus answers at once or late, fall
//! silent, close or reset. What comes of each is held against the rules of the table of dispositions.
//!
//! A case is one request with all its attempts. CI plays [`CASES`]; `EXCHANGE_CASES=100000` in the environment of a
//! release build plays that many.

mod generated;
mod support;

use dunespur_proxy::Safeguards;
use generated::{play_cases, Violation};

/// Cases that are played unless the environment says otherwise.
const CASES: u64 = 4_000;
/// The most that are played for a counterexample.
const COUNTEREXAMPLE_CASES: u64 = 8_000;

fn cases() -> u64 {
    std::env::var("EXCHANGE_CASES")
        .ok()
        .and_then(|cases| cases.parse().ok())
        .unwrap_or(CASES)
}

#[test]
fn generated_exchanges_keep_the_rules() {
    let played = play_cases(cases(), Safeguards::default());
    eprintln!("{played}");
    assert_eq!(played.violations, []);
    assert!(played.has_seen_everything(), "{played}");
}

fn counterexample(safeguards: Safeguards, is_wanted: impl Fn(&Violation) -> bool) {
    let played = play_cases(COUNTEREXAMPLE_CASES, safeguards);
    let found = played
        .violations
        .iter()
        .find(|violation| is_wanted(violation));
    eprintln!("{found:?}");
    assert!(
        found.is_some(),
        "none of the wanted kind in {played}: {:?}",
        played.violations
    );
}

#[test]
fn without_one_send_a_request_runs_twice() {
    let safeguards = Safeguards {
        only_idempotent_retried: false,
        ..Safeguards::default()
    };
    counterexample(safeguards, |violation| {
        matches!(violation, Violation::RunTwice { .. })
    });
}

#[test]
fn without_ids_a_client_gets_another_answer() {
    let safeguards = Safeguards {
        response_ids_compared: false,
        ..Safeguards::default()
    };
    counterexample(safeguards, |violation| {
        matches!(violation, Violation::WrongAnswer { .. })
    });
}

#[test]
fn without_a_reset_that_is_no_end_a_part_looks_whole() {
    let safeguards = Safeguards {
        reset_truncates_body: false,
        ..Safeguards::default()
    };
    counterexample(safeguards, |violation| {
        matches!(violation, Violation::WrongAnswer { .. })
    });
}
