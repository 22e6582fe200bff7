use super::Progress;
use crate::disposition::Sent;

const HEAD: &[u8] = b"POST /\r/a HTTP/1.1\r\nHost: h\r\n\r\n";

#[test]
fn a_head_counts_once_its_last_byte_is_written_wherever_it_is_split() {
    for first in 1..HEAD.len() {
        let mut progress = Progress::of_request(5);
        assert_eq!(progress.sent(), Sent::Nothing);
        progress.note_written(&HEAD[..first]);
        assert_eq!(progress.sent(), Sent::PartOfHead, "split at {first}");
        progress.note_written(&HEAD[first..]);
        assert_eq!(progress.sent(), Sent::PartOfBody, "split at {first}");
    }
}

#[test]
fn a_request_is_whole_once_its_body_was_taken_and_all_that_was_taken_is_written() {
    let mut progress = Progress::of_request(5);
    progress.note_written(HEAD);
    progress.note_flushed();
    assert_eq!(progress.sent(), Sent::PartOfBody);
    progress.note_body_taken();
    progress.note_written(b"bod");
    assert_eq!(progress.sent(), Sent::PartOfBody);
    progress.note_written(b"y.");
    progress.note_flushed();
    assert_eq!(progress.sent(), Sent::Whole);
}

#[test]
fn one_without_a_body_is_whole_with_its_head() {
    let mut progress = Progress::of_request(0);
    progress.note_flushed();
    assert_eq!(
        progress.sent(),
        Sent::Nothing,
        "a flush before the first byte says nothing"
    );
    progress.note_written(HEAD);
    progress.note_flushed();
    assert_eq!(progress.sent(), Sent::Whole);
}
