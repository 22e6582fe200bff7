use super::WriteProgress;

/// Tested without a socket: the kernel buffers more than a whole body, so a write cannot be made to stop before its
/// last byte.
#[test]
fn an_attempt_is_complete_only_with_its_last_byte() {
    for (text, body_left) in [
        (&b"GET / HTTP/1.1\r\nhost: a\r\n\r\n"[..], 0),
        (b"P\r\n\r\n\r\n\r\nx", 5),
    ] {
        for split in 0..text.len() {
            let mut written = WriteProgress {
                body_left,
                ..WriteProgress::default()
            };
            written.record(&text[..split]);
            assert!(!written.is_complete(), "{split} of {} bytes", text.len());
            written.record(&text[split..]);
            assert!(written.is_complete(), "all, split at {split}");
        }
    }
}
