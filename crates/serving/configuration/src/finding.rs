//! Findings: what is wrong with a configuration, and where.

use serde::{Deserialize, Serialize};
use std::fmt;

/// One thing that is wrong. Encoded by position in messages between processes: the order of fields may not change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finding {
    /// Where, such as `routes[3].timeout_ms`.
    pub location: String,
    /// What is wrong there.
    pub problem: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.location, self.problem)
    }
}

/// Everything that is wrong, in the order in which it was found. Displayed one a line.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Findings(pub Vec<Finding>);

impl Findings {
    /// Whether nothing is wrong.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Adds one finding.
    pub fn add(&mut self, location: impl fmt::Display, problem: impl Into<String>) {
        self.0.push(Finding {
            location: location.to_string(),
            problem: problem.into(),
        });
    }

    /// `value` if nothing is wrong.
    ///
    /// # Errors
    ///
    /// These findings, if there are any.
    pub fn or_ok<T>(self, value: T) -> Result<T, Findings> {
        match self.is_empty() {
            true => Ok(value),
            false => Err(self),
        }
    }

    /// One finding alone.
    #[must_use]
    pub fn one(location: impl fmt::Display, problem: impl Into<String>) -> Findings {
        let mut findings = Findings::default();
        findings.add(location, problem);
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
