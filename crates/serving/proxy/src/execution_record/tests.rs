//! Whether a request may be sent again after its attempts.

use super::ExecutionRecord;
use crate::classification::{Execution, Idempotency, RetryRule};
use crate::rejection::Rejection;
use crate::safeguards::Safeguards;
use dunespur_routing::ServerId;

fn endpoint(id: &str) -> ServerId {
    id.into()
}

#[test]
fn a_request_that_may_have_run_and_is_not_idempotent_is_not_retried() {
    for execution in [Execution::MayHaveRun, Execution::MayBeRunning] {
        let mut record = ExecutionRecord::new(Idempotency::NotIdempotent, 3, Safeguards::default());
        record.record_attempt(&endpoint("i-1"), execution);
        for rule in [
            RetryRule::Allowed,
            RetryRule::IfIdempotent,
            RetryRule::IfResumable,
            RetryRule::Never,
        ] {
            assert!(!record.may_retry(rule), "{execution:?} {rule:?}");
        }
        assert!(!record.try_take_resend() && !record.may_fail_over());
    }
}

#[test]
fn a_request_counts_as_possibly_run_after_its_endpoint_has_departed() {
    let mut record = ExecutionRecord::new(Idempotency::NotIdempotent, 1, Safeguards::default());
    record.record_attempt(&endpoint("i-1"), Execution::MayHaveRun);
    record.record_departed(&endpoint("i-1"));
    assert!(!record.may_retry(RetryRule::Allowed));
    assert_eq!(record.rejection(), Rejection::BadGateway);
}

#[test]
fn a_request_that_has_not_run_is_retried() {
    let mut record = ExecutionRecord::new(Idempotency::NotIdempotent, 1, Safeguards::default());
    record.record_attempt(&endpoint("i-1"), Execution::NotRun);
    assert!(record.may_retry(RetryRule::Allowed));
    assert!(matches!(record.rejection(), Rejection::RetryLater { .. }));
}

#[test]
fn an_idempotent_request_runs_at_no_more_endpoints_than_its_route_allows() {
    let mut record = ExecutionRecord::new(Idempotency::Idempotent, 2, Safeguards::default());
    record.record_attempt(&endpoint("i-1"), Execution::MayHaveRun);
    assert!(record.may_retry(RetryRule::IfIdempotent) && !record.try_take_resend());
    record.record_attempt(&endpoint("i-2"), Execution::MayHaveRun);
    assert!(!record.may_retry(RetryRule::IfIdempotent) && !record.may_retry(RetryRule::Allowed));
    assert!(record.try_take_resend() && record.try_take_resend() && !record.try_take_resend());
}

#[test]
fn without_the_safeguard_a_request_that_is_not_idempotent_is_retried() {
    let safeguards = Safeguards {
        only_idempotent_retried: false,
        ..Safeguards::default()
    };
    let mut record = ExecutionRecord::new(Idempotency::NotIdempotent, 2, safeguards);
    record.record_attempt(&endpoint("i-1"), Execution::MayHaveRun);
    assert!(record.may_retry(RetryRule::IfIdempotent));
}
