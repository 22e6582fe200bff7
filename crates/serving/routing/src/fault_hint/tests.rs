//! Expiry and refutation of fault hints, and trial requests.

use super::*;

#[test]
fn a_suspected_server_counts_as_slower_until_the_hint_expires() {
    let mut hint = FaultHint::default();
    assert_eq!(hint.slowness(0), 1.0);
    hint.record(0);
    assert_eq!(hint.slowness(0), HINTED_SLOWNESS);
    hint.record(HINT_TTL_MS - 1);
    assert_eq!(hint.slowness(2 * HINT_TTL_MS - 2), HINTED_SLOWNESS);
    assert_eq!(hint.slowness(2 * HINT_TTL_MS - 1), 1.0);
}

#[test]
fn a_served_request_that_was_dispatched_after_the_hint_refutes_it_while_it_is_repeated() {
    let mut hint = FaultHint::default();
    hint.record(100);
    hint.refute(99, 150);
    assert_eq!(
        hint.slowness(150),
        HINTED_SLOWNESS,
        "the request was dispatched before the hint"
    );
    hint.refute(100, 200);
    assert_eq!(hint.slowness(200), 1.0);
    for repeat in 1..20 {
        hint.record(200 + repeat * HINT_TTL_MS / 2);
        assert_eq!(hint.slowness(200 + repeat * HINT_TTL_MS / 2), 1.0);
    }
}

#[test]
fn a_hint_after_an_interval_without_hints_counts_again() {
    let mut hint = FaultHint::default();
    hint.record(0);
    hint.refute(10, 20);
    hint.record(20 + 2 * HINT_TTL_MS);
    assert_eq!(hint.slowness(20 + 2 * HINT_TTL_MS), HINTED_SLOWNESS);
}

#[test]
fn trial_requests_are_dispatched_however_long_the_hint_is_repeated() {
    let mut hint = FaultHint::default();
    let mut trials = 0;
    for now in (0..60_000).step_by(50) {
        hint.record(now);
        if hint.slowness(now) == 1.0 {
            hint.record_dispatch(now);
            assert_eq!(
                hint.slowness(now),
                HINTED_SLOWNESS,
                "only one trial request per interval"
            );
            trials += 1;
        }
    }
    assert_eq!(trials, 60_000 / TRIAL_INTERVAL_MS - 1);
}

#[test]
fn requests_dispatched_during_an_interval_do_not_postpone_the_next_trial() {
    let mut hint = FaultHint::default();
    for now in (0..=TRIAL_INTERVAL_MS).step_by(100) {
        hint.record(now);
        if now < TRIAL_INTERVAL_MS {
            hint.record_dispatch(now);
        }
    }
    assert_eq!(hint.slowness(TRIAL_INTERVAL_MS), 1.0);
}
