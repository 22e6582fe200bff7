//! Violations that the checks of a simulation report.

use std::fmt;

/// A description of a violated guarantee.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation(String);

impl Violation {
    /// Creates a violation with this description.
    pub fn new(description: String) -> Violation {
        Violation(description)
    }

    /// Whether the description contains `text`. Tests distinguish violations by their descriptions.
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
