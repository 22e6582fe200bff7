//! Checks the encoding of documents and findings inside other messages. Processes of different versions exchange and
//! store these bytes, which depend on the order of fields. The files under `encoding/` hold the expected bytes.

use dunespur_configuration::{Document, Finding, Findings};
use serde::{de::DeserializeOwned, Serialize};
use std::fmt::Debug;

/// Checks that a value encodes to the fixture's bytes, and that those bytes decode to the value.
fn assert_encoded<T>(fixture: &str, value: &T)
where
    T: Serialize + DeserializeOwned + PartialEq + Debug,
{
    let fixture = fixture.trim_end();
    let bytes = postcard::to_stdvec(value).expect("the value is encodable");
    let hex: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
    assert_eq!(hex, fixture);
    let decoded: T =
        postcard::from_bytes(&from_hex(fixture)).expect("the fixture's bytes are decodable");
    assert_eq!(decoded, *value);
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
