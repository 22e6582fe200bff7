//! Compares the encoded messages between processes with recorded bytes of earlier versions.
//!
//! Messages are encoded with postcard: moving a field or variant, or changing the size of a type, changes the bytes, and
//! processes of an earlier version could not decode them. No other test would detect that.

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
    let digits = |start: usize| {
        u8::from_str_radix(&hex[start..start + 2], 16).expect("two hexadecimal digits")
    };
    (0..hex.len()).step_by(2).map(digits).collect()
}

/// Asserts that each value is encoded to the bytes of its recorded line and decoded from them.
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
fn requests_are_encoded_and_decoded_as_recorded() {
    expect_recorded(requests::all(), REQUESTS);
}

#[test]
fn replies_are_encoded_and_decoded_as_recorded() {
    expect_recorded(replies::all(), REPLIES);
}

#[test]
fn a_status_is_encoded_and_decoded_as_recorded() {
    for (status, recorded) in [
        (status::complete(), STATUS),
        (Status::default(), EMPTY_STATUS),
    ] {
        assert_eq!(status.to_json(), recorded.trim_end());
        assert_eq!(serde_json::from_str::<Status>(recorded).unwrap(), status);
    }
}

/// Fields that an earlier version lacks have their defaults, and fields that a later version adds are ignored.
#[test]
fn a_status_of_another_version_is_read_as_far_as_known() {
    let status: Status = serde_json::from_str(r#"{"node":"core-1","colour":"blue"}"#).unwrap();
    assert_eq!(
        status,
        Status {
            node: "core-1".to_owned(),
            ..Status::default()
        }
    );
}
