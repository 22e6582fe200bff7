//! The bytes of documents and findings inside other messages: they go between processes of different versions and onto
//! disks, by position and order, so no field may move. The files under `encoding/` hold what the version before the
//! renaming wrote.

use dunespur_configuration::{Document, Finding, Findings};
use serde::{de::DeserializeOwned, Serialize};
use std::fmt::Debug;

/// Checks that a value is written as the fixture says, and read back from those bytes.
fn assert_encoded<T>(fixture: &str, value: &T)
where
    T: Serialize + DeserializeOwned + PartialEq + Debug,
{
    let fixture = fixture.trim_end();
    let bytes = postcard::to_stdvec(value).expect("a value is written");
    let hex: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
    assert_eq!(hex, fixture);
    let read: T = postcard::from_bytes(&from_hex(fixture)).expect("a value is read");
    assert_eq!(read, *value);
}

fn from_hex(text: &str) -> Vec<u8> {
    let digits = |at| u8::from_str_radix(&text[at..at + 2], 16).expect("two hexadecimal digits");
    (0..text.len()).step_by(2).map(digits).collect()
}

#[test]
fn findings_keep_their_bytes() {
    let finding = |number: u32| Finding {
        location: format!("place-{number}"),
        problem: format!("problem of {number}"),
    };
    assert_encoded(
        include_str!("encoding/findings.txt"),
        &Findings(vec![finding(1), finding(2)]),
    );
}

#[test]
fn documents_keep_their_bytes() {
    let body = r#"{"generation":11,"routes":[],"services":[{"name":"pool"}],"unknown":[1.50]}"#;
    let document = Document::replace(body.as_bytes()).expect("a valid configuration");
    assert_eq!(document.generation(), 11);
    assert_encoded(include_str!("encoding/document.txt"), &document);
}
