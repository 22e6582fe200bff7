//! The time limits of each stage of a client connection.

use super::{Command, Stage};

const HEADER_TIMEOUT_MS: u64 = 3_000;
const IDLE_TIMEOUT_MS: u64 = 15_000;

fn overdue_command(stage: Stage, now_ms: u64) -> Command {
    stage.overdue_command(now_ms, HEADER_TIMEOUT_MS, IDLE_TIMEOUT_MS)
}

#[test]
fn a_client_may_be_idle_for_the_idle_timeout() {
    let stage = Stage::Idle { since_ms: 100 };
    assert_eq!(overdue_command(stage, 15_099), Command::Continue);
    assert_eq!(overdue_command(stage, 15_100), Command::Close);
}

#[test]
fn a_head_may_take_the_header_timeout() {
    let stage = Stage::ReadingHead { since_ms: 100 };
    assert_eq!(overdue_command(stage, 3_099), Command::Continue);
    assert_eq!(overdue_command(stage, 3_100), Command::RejectSlowHead);
}

#[test]
fn a_request_being_handled_has_no_connection_timeout() {
    assert_eq!(
        overdue_command(Stage::Handling, u64::MAX),
        Command::Continue
    );
}

#[test]
fn a_response_that_the_client_does_not_read_is_aborted() {
    for stage in [
        Stage::Responding { abort_at_ms: 500 },
        Stage::Flushing { abort_at_ms: 500 },
    ] {
        assert_eq!(overdue_command(stage, 499), Command::Continue);
        assert_eq!(overdue_command(stage, 500), Command::Abort);
    }
}
