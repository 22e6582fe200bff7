//! Findings: the problems of a configuration and their locations.

use serde::{Deserialize, Serialize};
use std::fmt;

/// One problem of a configuration. Its encoding in messages between processes depends on the order of the fields, so
/// the order may not change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finding {
    /// The location of the problem, such as `routes[3].timeout_ms`.
    pub location: String,
    /// The description of the problem.
    pub problem: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.location, self.problem)
    }
}

/// All problems of a configuration, in the order in which they were found. Displayed with one finding per line.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Findings(pub Vec<Finding>);

impl Findings {
    /// Whether there are no findings.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Adds a finding.
    pub fn add(&mut self, location: impl fmt::Display, problem: impl Into<String>) {
        self.0.push(Finding {
            location: location.to_string(),
            problem: problem.into(),
        });
    }

    /// Returns `value` if there are no findings.
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

    /// Creates findings with a single finding.
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
