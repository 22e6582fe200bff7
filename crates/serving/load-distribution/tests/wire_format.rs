//! The encoding of each message between gateways. Postcard depends on the order of fields and variants, and gateways of
//! two versions are compatible only if these bytes do not change.
//!
//! `tests/fixtures/*.hex` are the bytes that an earlier version wrote; a fixture must never be changed.

use dunespur_load_distribution::{KnownVersion, LoadTable, Report, Reporter, ServerLoad, Update};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::fmt::{Debug, Write};

fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        write!(text, "{byte:02x}").expect("writing to a string must succeed");
        text
    })
}

fn from_hex(text: &str) -> Vec<u8> {
    let digits = text.trim();
    assert_eq!(
        digits.len() % 2,
        0,
        "a fixture must have two digits per byte"
    );
    let starts = (0..digits.len()).step_by(2);
    starts
        .map(|start| {
            u8::from_str_radix(&digits[start..start + 2], 16)
                .expect("a fixture must have hexadecimal digits")
        })
        .collect()
}

/// Asserts that the value is encoded as the fixture's bytes, and that these bytes are decoded as the value.
fn assert_wire<T: Serialize + DeserializeOwned + PartialEq + Debug>(value: &T, fixture: &str) {
    let written = postcard::to_stdvec(value).expect("every message must be encodable");
    assert_eq!(hex(&written), fixture.trim(), "encoding of {value:?}");
    let bytes = from_hex(fixture);
    let (read, rest) =
        postcard::take_from_bytes::<T>(&bytes).expect("the fixture must be decodable");
    assert_eq!(&read, value);
    assert!(
        rest.is_empty(),
        "{} bytes are left after decoding",
        rest.len()
    );
}

fn load_of(server: &str, first: u32) -> ServerLoad {
    ServerLoad {
        server: server.into(),
        in_flight: first,
        prefill_tokens: u64::from(first) + 70_000,
        ejected_by: first + 2,
    }
}

#[test]
fn a_subscribers_report_with_its_table_keeps_its_bytes() {
    let report = Report {
        service: "pool".into(),
        reporter: Reporter::Subscriber {
            gateway: "north-1".into(),
        },
        incarnation: 1_764_659_000_001,
        version: 5_002,
        table: Some(LoadTable {
            version: 5_003,
            loads: vec![load_of("s1", 11), load_of("s2", 300)],
        }),
        known: KnownVersion {
            incarnation: 1_764_659_000_004,
            version: 6_005,
        },
    };
    assert_wire(&report, include_str!("fixtures/report_of_subscriber.hex"));
}

#[test]
fn an_aggregators_report_without_a_table_keeps_its_bytes() {
    let report = Report {
        service: "apps".into(),
        reporter: Reporter::Aggregator {
            zone: "north".into(),
            gateway: "north-2".into(),
        },
        incarnation: 21,
        version: 22,
        table: None,
        known: KnownVersion {
            incarnation: 23,
            version: 24,
        },
    };
    assert_wire(&report, include_str!("fixtures/report_of_aggregator.hex"));
}

#[test]
fn a_complete_update_keeps_its_bytes() {
    let update = Update {
        incarnation: 1_764_659_000_031,
        version: 32,
        complete: true,
        loads: vec![load_of("s3", 33), load_of("s4", 44)],
        wants_table: false,
    };
    assert_wire(&update, include_str!("fixtures/update_complete.hex"));
}

#[test]
fn an_incremental_update_that_wants_the_table_keeps_its_bytes() {
    let update = Update {
        incarnation: 41,
        version: 4_200,
        complete: false,
        loads: vec![],
        wants_table: true,
    };
    assert_wire(&update, include_str!("fixtures/update_incremental.hex"));
}

#[test]
fn a_servers_load_keeps_its_bytes() {
    assert_wire(
        &load_of("s5", 128),
        include_str!("fixtures/server_load.hex"),
    );
}

#[test]
fn a_table_of_loads_keeps_its_bytes() {
    let table = LoadTable {
        version: 52,
        loads: vec![load_of("s6", 53)],
    };
    assert_wire(&table, include_str!("fixtures/load_table.hex"));
}

#[test]
fn a_known_version_keeps_its_bytes() {
    assert_wire(
        &KnownVersion {
            incarnation: 61,
            version: 62,
        },
        include_str!("fixtures/known_version.hex"),
    );
}

#[test]
fn the_variants_of_a_reporter_keep_their_bytes() {
    let subscriber = Reporter::Subscriber {
        gateway: "west-1".into(),
    };
    assert_wire(
        &subscriber,
        include_str!("fixtures/reporter_subscriber.hex"),
    );
    let aggregator = Reporter::Aggregator {
        zone: "west".into(),
        gateway: "west-2".into(),
    };
    assert_wire(
        &aggregator,
        include_str!("fixtures/reporter_aggregator.hex"),
    );
}
