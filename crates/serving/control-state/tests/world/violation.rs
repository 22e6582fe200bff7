//! What a check of a world reports.

use std::fmt;

/// A guarantee that a world violated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation(String);

impl Violation {
    /// A violation with its description.
    pub fn new(description: String) -> Violation {
        Violation(description)
    }

    /// Whether the description contains a text, by which tests tell violations apart.
    pub fn mentions(&self, text: &str) -> bool {
        self.0.contains(text)
    }
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for Violation {}
