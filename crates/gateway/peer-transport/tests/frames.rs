//! Encoded frames decode to the same frames and have the bytes of revision 52a1591, which wrote the files under
//! `tests/fixtures`. Corrupt frames are rejected.

use dunespur_peer_transport::frame::{StreamHeader, HEADER_BYTES};
use dunespur_peer_transport::{Frame, FrameError, Kind};
use dunespur_test_fixtures::Fixtures;
use std::net::SocketAddrV4;

const KINDS: [(Kind, u16, &str); 4] = [
    (Kind::Gossip, 1, "gossip"),
    (Kind::SingletonRoles, 2, "duties"),
    (Kind::Watch, 3, "watch"),
    (Kind::Work, 4, "work"),
];

fn frame(kind: u16) -> Frame {
    Frame {
        version: 300,
        fleet: "fleet-1".to_owned(),
        sender: "limiter-2".to_owned(),
        sender_address: SocketAddrV4::new([10, 20, 30, 40].into(), 5_060),
        kind,
        body: vec![7, 8, 9, 255],
    }
}

fn fixtures() -> Fixtures {
    Fixtures::of_package(env!("CARGO_MANIFEST_DIR"))
}

#[test]
fn datagrams_have_the_bytes_of_the_earlier_revision() {
    for (kind, number, name) in KINDS {
        assert_eq!(
            (kind.number(), Kind::from_number(number)),
            (number, Some(kind))
        );
        let name = format!("datagram-{name}.hex");
        fixtures().assert_bytes(&name, &frame(number).to_datagram());
        let decoded = Frame::from_datagram(&fixtures().bytes(&name), "fleet-1").unwrap();
        assert_eq!((decoded.kind(), decoded), (Ok(kind), frame(number)));
    }
}

#[test]
fn frames_of_a_stream_have_the_bytes_of_the_earlier_revision() {
    for (kind, number, name) in KINDS {
        let name = format!("stream-{name}.hex");
        fixtures().assert_bytes(&name, &frame(number).to_stream());
        let bytes = fixtures().bytes(&name);
        let (header, body) = bytes.split_first_chunk::<HEADER_BYTES>().unwrap();
        let header = StreamHeader::decode(header, 1_000).unwrap();
        assert_eq!(header.length, body.len());
        let decoded = Frame::decode(header.checksum, body, "fleet-1").unwrap();
        assert_eq!((decoded.kind(), decoded), (Ok(kind), frame(number)));
    }
}

#[test]
fn unassigned_kind_numbers_are_unknown() {
    for number in [0, 5, 999, u16::MAX] {
        assert_eq!(Kind::from_number(number), None);
        assert_eq!(frame(number).kind(), Err(FrameError::UnknownKind));
    }
}

#[test]
fn a_frame_is_decoded_and_any_flipped_bit_is_detected() {
    let newer = frame(Kind::SingletonRoles.number());
    let bytes = newer.to_datagram();
    let decoded = Frame::from_datagram(&bytes, "fleet-1");
    assert_eq!(
        decoded,
        Ok(newer),
        "the envelope of a newer version is decoded"
    );
    let other_fleet = Frame::from_datagram(&bytes, "fleet-2");
    assert_eq!(other_fleet, Err(FrameError::OtherFleet));
    for bit in 0..bytes.len() * 8 {
        let mut flipped = bytes.clone();
        flipped[bit / 8] ^= 1 << (bit % 8);
        let decoded = Frame::from_datagram(&flipped, "fleet-1");
        assert!(decoded.is_err(), "flipped bit {bit} is not detected");
    }
    for length in 0..bytes.len() {
        assert!(Frame::from_datagram(&bytes[..length], "fleet-1").is_err());
    }
}

#[test]
fn a_newer_kind_is_distinguished_from_a_corrupt_frame() {
    let newer = frame(999);
    let decoded = Frame::from_datagram(&newer.to_datagram(), "fleet-1").unwrap();
    assert_eq!(decoded.kind(), Err(FrameError::UnknownKind));
    let known = frame(Kind::SingletonRoles.number());
    let stream = known.to_stream();
    let header: [u8; HEADER_BYTES] = stream[..HEADER_BYTES].try_into().unwrap();
    let too_large = StreamHeader::decode(&header, 4);
    assert_eq!(too_large, Err(FrameError::TooLarge));
    let header = StreamHeader::decode(&header, 1000).unwrap();
    assert_eq!(header.length, stream.len() - HEADER_BYTES);
    let decoded = Frame::decode(header.checksum, &stream[HEADER_BYTES..], "fleet-1");
    assert_eq!(decoded, Ok(known));
}
