//! Fixture files with the exact expected output of the data plane.
//!
//! With `WRITE_FIXTURES=1` in the environment, missing fixtures are written; existing ones are never changed.

use std::path::PathBuf;

/// Asserts that `bytes` equal the fixture file `name`.
pub fn assert_fixture(name: &str, bytes: &[u8]) {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("tests/fixtures")
        .join(name);
    if !path.exists() && std::env::var_os("WRITE_FIXTURES").is_some() {
        std::fs::write(&path, bytes).unwrap();
    }
    let expected = std::fs::read(&path)
        .unwrap_or_else(|error| panic!("reading fixture {name} failed: {error}"));
    assert_eq!(
        bytes.escape_ascii().to_string(),
        expected.escape_ascii().to_string(),
        "{name}"
    );
}

/// Replaces the digits after each label by `N`, because times differ from run to run.
pub fn without_times(text: &str, labels: &[&str]) -> String {
    labels.iter().fold(text.to_owned(), |text, label| {
        let mut sections = text.split(label);
        let mut output = sections.next().unwrap_or_default().to_owned();
        for section in sections {
            output.push_str(label);
            output.push('N');
            output
                .push_str(section.trim_start_matches(|character: char| character.is_ascii_digit()));
        }
        output
    })
}
