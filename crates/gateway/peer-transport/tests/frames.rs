//! Frames between limiters have the bytes of revision 52a1591, which wrote the files under `tests/fixtures`.

use dunespur_peer_transport::frame::{Refused, HEAD};
use dunespur_peer_transport::{Frame, Kind};
use std::net::SocketAddrV4;
use std::path::{Path, PathBuf};

/// With this variable in the environment the fixtures are written instead of read (with `--test-threads=1`).
const WRITE_FIXTURES: &str = "WRITE_FIXTURES";
const KINDS: [(Kind, u16, &str); 4] = [
    (Kind::Gossip, 1, "gossip"),
    (Kind::Duties, 2, "duties"),
    (Kind::Watch, 3, "watch"),
    (Kind::Work, 4, "work"),
];

fn frame(kind: u16) -> Frame {
    Frame {
        version: 300,
        fleet: "fleet-1".to_owned(),
        from: "limiter-2".to_owned(),
        at: SocketAddrV4::new([10, 20, 30, 40].into(), 5_060),
        kind,
        body: vec![7, 8, 9, 255],
    }
}

fn fixture_path(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/fixtures")
        .join(name)
}

fn assert_is_fixture(name: &str, bytes: &[u8]) {
    if std::env::var_os(WRITE_FIXTURES).is_some() {
        let text: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
        std::fs::write(fixture_path(name), text + "\n").expect("the fixture is written");
    }
    assert_eq!(bytes, fixture(name), "bytes on the wire differ from {name}");
}

/// A fixture's bytes, which stand there in hexadecimal.
fn fixture(name: &str) -> Vec<u8> {
    let text = std::fs::read_to_string(fixture_path(name)).expect("the fixture is there");
    let digits = text.trim().as_bytes().chunks(2);
    digits
        .map(|digits| std::str::from_utf8(digits).expect("digits"))
        .map(|digits| u8::from_str_radix(digits, 16).expect("hexadecimal"))
        .collect()
}

#[test]
fn datagrams_have_the_bytes_of_the_earlier_revision() {
    for (kind, number, name) in KINDS {
        assert_eq!((kind.number(), Kind::of(number)), (number, Some(kind)));
        let name = format!("datagram-{name}.hex");
        assert_is_fixture(&name, &frame(number).datagram());
        let read = Frame::from_datagram(&fixture(&name), "fleet-1").unwrap();
        assert_eq!((read.kind(), read), (Ok(kind), frame(number)));
    }
}

#[test]
fn frames_of_a_stream_have_the_bytes_of_the_earlier_revision() {
    for (kind, number, name) in KINDS {
        let name = format!("stream-{name}.hex");
        assert_is_fixture(&name, &frame(number).stream());
        let bytes = fixture(&name);
        let (head, body) = bytes.split_first_chunk::<HEAD>().unwrap();
        let (length, checksum) = Frame::head(head, 1_000).unwrap();
        assert_eq!(length, body.len());
        let read = Frame::checked(checksum, body, "fleet-1").unwrap();
        assert_eq!((read.kind(), read), (Ok(kind), frame(number)));
    }
}

#[test]
fn numbers_of_no_kind_are_unknown() {
    for number in [0, 5, 999, u16::MAX] {
        assert_eq!(Kind::of(number), None);
        assert_eq!(frame(number).kind(), Err(Refused::Unknown));
    }
}
