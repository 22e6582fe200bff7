//! Generated exchanges over real sockets. Clients send in chunks and disconnect at any point. Endpoints respond early,
//! in arbitrary chunks, truncate at any byte, send immediate or late duplicates, become unresponsive, close or reset.
//! All results are checked against the rules of the classification.
//!
//! A case is one request with all its attempts. CI runs [`CASES`]; the environment variable `EXCHANGE_CASES` sets
//! another number, for example 100000 in a release build.

mod generated;
mod support;

use dunespur_proxy::Safeguards;
use generated::{run_cases, Violation};

/// The default number of cases.
const CASES: u64 = 4_000;
/// The most cases to run in search of a counterexample.
const COUNTEREXAMPLE_CASES: u64 = 8_000;

fn cases() -> u64 {
    std::env::var("EXCHANGE_CASES")
        .ok()
        .and_then(|cases| cases.parse().ok())
        .unwrap_or(CASES)
}

#[test]
fn generated_exchanges_violate_no_rule() {
    let summary = run_cases(cases(), Safeguards::default());
    eprintln!("{summary}");
    assert_eq!(summary.violations, []);
    assert!(summary.covers_every_end(), "{summary}");
}

/// Asserts that the exchanges without a safeguard violate the expected rule.
fn assert_counterexample(safeguards: Safeguards, is_expected: impl Fn(&Violation) -> bool) {
    let summary = run_cases(COUNTEREXAMPLE_CASES, safeguards);
    let found = summary
        .violations
        .iter()
        .find(|violation| is_expected(violation));
    eprintln!("{found:?}");
    assert!(
        found.is_some(),
        "no violation of the expected kind in {summary}: {:?}",
        summary.violations
    );
}

#[test]
fn without_the_retry_check_a_request_runs_twice() {
    let safeguards = Safeguards {
        only_idempotent_retried: false,
        ..Safeguards::default()
    };
    assert_counterexample(safeguards, |violation| {
        matches!(violation, Violation::RunTwice { .. })
    });
}

#[test]
fn without_the_id_check_a_client_gets_the_response_to_another_request() {
    let safeguards = Safeguards {
        response_ids_compared: false,
        ..Safeguards::default()
    };
    assert_counterexample(safeguards, |violation| {
        matches!(violation, Violation::WrongResponse { .. })
    });
}

#[test]
fn without_the_reset_check_a_partial_body_looks_complete() {
    let safeguards = Safeguards {
        reset_truncates_body: false,
        ..Safeguards::default()
    };
    assert_counterexample(safeguards, |violation| {
        matches!(violation, Violation::WrongResponse { .. })
    });
}
