//! The bytes that processes of this program exchange, against those that the program before wrote.
//!
//! Messages between processes are postcard: a field or variant that moves, or a type that changes its size, changes
//! these bytes, and no other test would see it. A process of an earlier version would not read them.

mod replies;
mod requests;
mod status;
mod values;

use dunespur::messages::{decode, encode};
use dunespur::status::report::Status;
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::fmt::Debug;

const REQUESTS: &str = include_str!("requests.txt");
const REPLIES: &str = include_str!("replies.txt");
const STATUS: &str = include_str!("status.json");
const EMPTY_STATUS: &str = include_str!("empty-status.json");

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn bytes_of(hex: &str) -> Vec<u8> {
    let digits =
        |at: usize| u8::from_str_radix(&hex[at..at + 2], 16).expect("two hexadecimal digits");
    (0..hex.len()).step_by(2).map(digits).collect()
}

/// Each value is written to the bytes of its line, and read from them.
fn expect_recorded<T>(values: Vec<(&'static str, T)>, recorded: &str)
where
    T: Serialize + DeserializeOwned + PartialEq + Debug,
{
    let written: String = values
        .iter()
        .map(|(name, value)| format!("{name}: {}\n", hex(&encode(value))))
        .collect();
    assert_eq!(written, recorded);
    for ((name, value), line) in values.into_iter().zip(recorded.lines()) {
        let (_, bytes) = line.split_once(": ").expect("a name and bytes");
        assert_eq!(decode::<T>(&bytes_of(bytes)), Some(value), "{name}");
    }
}

#[test]
fn requests_are_written_and_read_as_before() {
    expect_recorded(requests::all(), REQUESTS);
}

#[test]
fn replies_are_written_and_read_as_before() {
    expect_recorded(replies::all(), REPLIES);
}

#[test]
fn a_status_is_written_and_read_as_before() {
    for (status, recorded) in [
        (status::complete(), STATUS),
        (Status::default(), EMPTY_STATUS),
    ] {
        assert_eq!(status.to_json(), recorded.trim_end());
        assert_eq!(serde_json::from_str::<Status>(recorded).unwrap(), status);
    }
}

/// What an earlier version does not say has its default, and what a later one adds is passed over.
#[test]
fn a_status_of_another_version_is_read_as_far_as_it_is_known() {
    let status: Status = serde_json::from_str(r#"{"node":"core-1","colour":"blue"}"#).unwrap();
    assert_eq!(
        status,
        Status {
            node: "core-1".to_owned(),
            ..Status::default()
        }
    );
}
