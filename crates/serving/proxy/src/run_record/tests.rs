use super::RunRecord;
use crate::disposition::{Execution, Repeat};
use crate::guards::Guards;
use crate::refusal::Refusal;
use dunespur_routing::ServerId;

fn server(id: &str) -> ServerId {
    id.into()
}

#[test]
fn what_may_have_run_and_can_not_be_repeated_goes_nowhere() {
    for execution in [Execution::MayHaveRun, Execution::MayBeRunning] {
        let mut record = RunRecord::new(false, 3, Guards::default());
        record.note(&server("i-1"), execution);
        for repeat in [
            Repeat::Allowed,
            Repeat::IfIdempotent,
            Repeat::IfResumable,
            Repeat::No,
        ] {
            assert!(!record.may_go_on(repeat), "{execution:?} {repeat:?}");
        }
        assert!(!record.may_resend() && !record.may_leave());
    }
}

#[test]
fn a_server_that_is_gone_does_not_make_an_unrepeatable_request_unrun() {
    let mut record = RunRecord::new(false, 1, Guards::default());
    record.note(&server("i-1"), Execution::MayHaveRun);
    record.note_gone(&server("i-1"));
    assert!(!record.may_go_on(Repeat::Allowed));
    assert_eq!(record.refusal(), Refusal::MayHaveRun);
}

#[test]
fn what_has_not_run_goes_on() {
    let mut record = RunRecord::new(false, 1, Guards::default());
    record.note(&server("i-1"), Execution::NotRun);
    assert!(record.may_go_on(Repeat::Allowed));
    assert!(matches!(record.refusal(), Refusal::Later { .. }));
}

#[test]
fn what_can_be_repeated_runs_on_no_more_servers_than_it_may() {
    let mut record = RunRecord::new(true, 2, Guards::default());
    record.note(&server("i-1"), Execution::MayHaveRun);
    assert!(record.may_go_on(Repeat::IfIdempotent) && !record.may_resend());
    record.note(&server("i-2"), Execution::MayHaveRun);
    assert!(!record.may_go_on(Repeat::IfIdempotent) && !record.may_go_on(Repeat::Allowed));
    assert!(record.may_resend() && record.may_resend() && !record.may_resend());
}

#[test]
fn without_its_guard_an_unrepeatable_request_goes_on() {
    let guards = Guards {
        unrepeatable_sent_once: false,
        ..Guards::default()
    };
    let mut record = RunRecord::new(false, 2, guards);
    record.note(&server("i-1"), Execution::MayHaveRun);
    assert!(record.may_go_on(Repeat::IfIdempotent));
}
