//! Splitting and parsing event streams, for any split of the bytes into chunks.

use bytes::{Bytes, BytesMut};
use dunespur_proxy::{Event, EventSplitter};

const STREAM: &str = "id: 1\ndata: a\n\nversions: 2\nid: 2\ndata:b\ndata: c\n\n: comment\n\nid: 3\r\ndata: d\r\n\r\nid: 10\ndata\n\n";

/// Parses complete events into their ids and data.
fn parse(complete: &[u8]) -> Vec<(Option<u64>, String)> {
    let data = |event: Event| {
        let mut output = BytesMut::new();
        event.append_data(&mut output);
        String::from_utf8(output.to_vec()).unwrap()
    };
    Event::parse_all(complete)
        .map(|event| (event.id, data(event)))
        .collect()
}

#[test]
fn events_are_parsed() {
    let expected = [
        (Some(1), "a\n"),
        (Some(2), "b\nc\n"),
        (Some(3), "d\n"),
        (Some(10), "\n"),
    ];
    let expected: Vec<_> = expected
        .into_iter()
        .map(|(id, data)| (id, data.to_owned()))
        .collect();
    assert_eq!(parse(STREAM.as_bytes()), expected);
}

#[test]
fn wherever_bytes_are_split_the_same_events_come_once() {
    let bytes = Bytes::from_static(STREAM.as_bytes());
    let all = parse(&bytes);
    for first in 0..=bytes.len() {
        for second in first..=bytes.len() {
            let mut splitter = EventSplitter::default();
            let mut received = Vec::new();
            let mut forwarded = Vec::new();
            for chunk in [
                bytes.slice(..first),
                bytes.slice(first..second),
                bytes.slice(second..),
            ] {
                let complete = splitter.push(chunk).unwrap();
                received.extend(parse(&complete));
                forwarded.extend_from_slice(&complete);
            }
            assert_eq!(forwarded, bytes, "split at {first} and {second}");
            assert_eq!(received, all, "split at {first} and {second}");
            assert!(splitter.is_empty());
        }
    }
}

#[test]
fn a_partial_event_is_buffered() {
    let mut splitter = EventSplitter::default();
    let complete = splitter
        .push(Bytes::from_static(b"id: 1\ndata: a\n\nid: 2\ndata: b\n"))
        .unwrap();
    assert_eq!(complete, "id: 1\ndata: a\n\n");
    assert_eq!(splitter.partial_bytes(), "id: 2\ndata: b\n".len());
    splitter.clear();
    assert!(splitter.is_empty());
}

#[test]
fn complete_events_are_not_copied() {
    let bytes = Bytes::from_static(b"id: 1\ndata: a\n\n");
    let complete = EventSplitter::default().push(bytes.clone()).unwrap();
    assert_eq!(complete.as_ptr(), bytes.as_ptr());
}

#[test]
fn an_event_over_the_maximum_length_is_an_error() {
    let mut splitter = EventSplitter::default();
    let chunk = Bytes::from(vec![b'x'; 600 * 1024]);
    assert!(splitter.push(chunk.clone()).is_ok());
    assert!(splitter.push(chunk).is_err());
}
