//! Generated exchanges over the real stack: clients that send in chunks and disconnect anywhere, endpoints that read no
//! more than a head, respond in chunks of any bytes, truncate at any byte, send duplicates at once or late, become
//! unresponsive, close or reset. What comes of each is checked by the rules of the classification.
//!
//! A case is one request with all its attempts. CI runs [`CASES`]; `EXCHANGE_CASES=100000` in the environment of a
//! release build runs that many.

mod generated;
mod support;

use dunespur_proxy::Safeguards;
use generated::{run_cases, Violation};

/// Cases that are run unless the environment says otherwise.
const CASES: u64 = 4_000;
/// The most that are run for a counterexample.
const COUNTEREXAMPLE_CASES: u64 = 8_000;

fn cases() -> u64 {
    std::env::var("EXCHANGE_CASES")
        .ok()
        .and_then(|cases| cases.parse().ok())
        .unwrap_or(CASES)
}

#[test]
fn generated_exchanges_keep_the_rules() {
    let summary = run_cases(cases(), Safeguards::default());
    eprintln!("{summary}");
    assert_eq!(summary.violations, []);
    assert!(summary.covers_every_end(), "{summary}");
}

fn counterexample(safeguards: Safeguards, is_wanted: impl Fn(&Violation) -> bool) {
    let summary = run_cases(COUNTEREXAMPLE_CASES, safeguards);
    let found = summary
        .violations
        .iter()
        .find(|violation| is_wanted(violation));
    eprintln!("{found:?}");
    assert!(
        found.is_some(),
        "none of the wanted kind in {summary}: {:?}",
        summary.violations
    );
}

#[test]
fn without_the_retry_check_a_request_runs_twice() {
    let safeguards = Safeguards {
        only_idempotent_retried: false,
        ..Safeguards::default()
    };
    counterexample(safeguards, |violation| {
        matches!(violation, Violation::RunTwice { .. })
    });
}

#[test]
fn without_the_id_check_a_client_gets_another_response() {
    let safeguards = Safeguards {
        response_ids_compared: false,
        ..Safeguards::default()
    };
    counterexample(safeguards, |violation| {
        matches!(violation, Violation::WrongAnswer { .. })
    });
}

#[test]
fn without_the_reset_check_a_partial_body_looks_complete() {
    let safeguards = Safeguards {
        reset_truncates_body: false,
        ..Safeguards::default()
    };
    counterexample(safeguards, |violation| {
        matches!(violation, Violation::WrongAnswer { .. })
    });
}
