//! How much of a request counts as sent, for any split of its bytes into writes.

use super::SendTracker;
use crate::classification::SendProgress;

const HEAD: &[u8] = b"POST /\r/a HTTP/1.1\r\nHost: h\r\n\r\n";

#[test]
fn a_head_counts_as_sent_after_its_last_byte_for_any_split() {
    for first in 1..HEAD.len() {
        let mut tracker = SendTracker::new(5);
        assert_eq!(tracker.progress(), SendProgress::Nothing);
        tracker.record_written(&HEAD[..first]);
        assert_eq!(
            tracker.progress(),
            SendProgress::PartialHead,
            "split at {first}"
        );
        tracker.record_written(&HEAD[first..]);
        assert_eq!(
            tracker.progress(),
            SendProgress::PartialBody,
            "split at {first}"
        );
    }
}

#[test]
fn a_request_is_complete_once_its_whole_body_is_taken_and_written() {
    let mut tracker = SendTracker::new(5);
    tracker.record_written(HEAD);
    tracker.record_flushed();
    assert_eq!(tracker.progress(), SendProgress::PartialBody);
    tracker.record_body_taken();
    tracker.record_written(b"bod");
    assert_eq!(tracker.progress(), SendProgress::PartialBody);
    tracker.record_written(b"y.");
    tracker.record_flushed();
    assert_eq!(tracker.progress(), SendProgress::Complete);
}

#[test]
fn a_request_without_a_body_is_complete_with_its_head() {
    let mut tracker = SendTracker::new(0);
    tracker.record_flushed();
    assert_eq!(
        tracker.progress(),
        SendProgress::Nothing,
        "a flush before the first byte has no effect"
    );
    tracker.record_written(HEAD);
    tracker.record_flushed();
    assert_eq!(tracker.progress(), SendProgress::Complete);
}
