use super::Written;

/// A socket takes in more than one body unread, so a break before the last byte can't be had on one.
#[test]
fn only_the_last_byte_makes_a_delivery_whole() {
    for (text, body_left) in [
        (&b"GET / HTTP/1.1\r\nhost: a\r\n\r\n"[..], 0),
        (b"P\r\n\r\n\r\n\r\nx", 5),
    ] {
        for split in 0..text.len() {
            let mut written = Written {
                body_left,
                ..Written::default()
            };
            written.count(&text[..split]);
            assert!(!written.whole(), "{split} of {} bytes", text.len());
            written.count(&text[split..]);
            assert!(written.whole(), "all, split at {split}");
        }
    }
}
