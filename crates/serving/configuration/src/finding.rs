//! What is wrong with a configuration, and where.

use serde::{Deserialize, Serialize};
use std::fmt;

/// One thing that is wrong.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finding {
    /// Where, such as `routes[3].timeout_ms`.
    pub place: String,
    /// What is wrong there.
    pub problem: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.place, self.problem)
    }
}

/// All that is wrong, in the order in which it was found. Displayed one a line.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Findings(pub Vec<Finding>);

impl Findings {
    /// Whether nothing is wrong.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Adds one finding.
    pub fn add(&mut self, place: impl fmt::Display, problem: impl Into<String>) {
        self.0.push(Finding {
            place: place.to_string(),
            problem: problem.into(),
        });
    }

    /// `value` if nothing is wrong.
    pub fn or_ok<T>(self, value: T) -> Result<T, Findings> {
        match self.is_empty() {
            true => Ok(value),
            false => Err(self),
        }
    }

    /// One finding alone.
    pub fn one(place: impl fmt::Display, problem: impl Into<String>) -> Findings {
        let mut findings = Findings::default();
        findings.add(place, problem);
        findings
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, finding) in self.0.iter().enumerate() {
            if index > 0 {
                f.write_str("\n")?;
            }
            finding.fmt(f)?;
        }
        Ok(())
    }
}

impl std::error::Error for Findings {}
