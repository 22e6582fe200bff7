//! Files with the expected output of the data plane, byte by byte.
//!
//! `WRITE_FIXTURES=1` in the environment writes those that are missing; one that exists is never changed.

use std::path::PathBuf;

/// Compares these bytes with the file of this name.
pub fn assert_fixture(name: &str, bytes: &[u8]) {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("tests/fixtures")
        .join(name);
    if !path.exists() && std::env::var_os("WRITE_FIXTURES").is_some() {
        std::fs::write(&path, bytes).unwrap();
    }
    let expected = std::fs::read(&path).unwrap_or_else(|error| panic!("{name}: {error}"));
    assert_eq!(
        bytes.escape_ascii().to_string(),
        expected.escape_ascii().to_string(),
        "{name}"
    );
}

/// The text with the digits behind each of these labels replaced by `N`: times differ from run to run.
pub fn without_times(text: &str, labels: &[&str]) -> String {
    labels.iter().fold(text.to_owned(), |text, label| {
        let mut sections = text.split(label);
        let mut output = sections.next().unwrap_or_default().to_owned();
        for section in sections {
            output.push_str(label);
            output.push('N');
            output.push_str(section.trim_start_matches(|c: char| c.is_ascii_digit()));
        }
        output
    })
}
