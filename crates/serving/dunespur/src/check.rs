//! `dunespur check`: whether a settings file or an operator's configuration can be used. Judges by the very code
//! that a process runs at its start, and that the core runs on a submitted configuration.

use crate::settings::{Role, Settings};
use dunespur_configuration::{Document, Findings};
use serde_json::Value;
use std::io::Read;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Something in it can't be used.
const HAS_FINDINGS: u8 = 1;
/// It can't be read, or is neither of the two.
const UNREADABLE: u8 = 2;

/// The file name that stands for standard input.
const STANDARD_INPUT: &str = "-";

/// What a file contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Settings of a process.
    Settings,
    /// A configuration of the operator.
    Configuration,
}

impl Kind {
    fn name(self) -> &'static str {
        match self {
            Kind::Settings => "settings",
            Kind::Configuration => "configuration",
        }
    }
}

/// Which file is checked, and as what.
#[derive(Clone, Debug)]
pub struct Check {
    /// Its path; `-` for standard input.
    pub file: PathBuf,
    /// Guessed from the content where it is not given.
    pub kind: Option<Kind>,
    /// Of settings: the role whose needs are checked as well.
    pub role: Option<Role>,
}

/// Checks a file; prints all findings on standard output, one a line, each behind the file's name and its place.
pub fn run(check: &Check) -> ExitCode {
    let name = check.file.display();
    let bytes = match read(&check.file) {
        Ok(bytes) => bytes,
        Err(error) => {
            eprintln!("{name}: {error}");
            return ExitCode::from(UNREADABLE);
        }
    };
    let Some(kind) = check.kind.or_else(|| guess(&bytes)) else {
        eprintln!(
            "{name}: neither settings nor a configuration; --settings or --configuration checks it as such"
        );
        return ExitCode::from(UNREADABLE);
    };
    match summary(&bytes, kind, check.role) {
        Ok(summary) => {
            println!("{name}: {summary}");
            ExitCode::SUCCESS
        }
        Err(findings) => {
            for finding in &findings.0 {
                println!("{name}: {finding}");
            }
            ExitCode::from(HAS_FINDINGS)
        }
    }
}

fn read(file: &Path) -> std::io::Result<Vec<u8>> {
    if file.as_os_str() != STANDARD_INPUT {
        return std::fs::read(file);
    }
    let mut bytes = Vec::new();
    std::io::stdin().read_to_end(&mut bytes)?;
    Ok(bytes)
}

/// Which of the two the content looks like. What is no JSON is the same finding for either.
fn guess(bytes: &[u8]) -> Option<Kind> {
    let Ok(value) = serde_json::from_slice::<Value>(bytes) else {
        return Some(Kind::Configuration);
    };
    let has = |name: &&str| value.get(*name).is_some();
    if ["routes", "services", "generation"].iter().any(has) {
        return Some(Kind::Configuration);
    }
    ["node", "port_range", "listen", "seeds"]
        .iter()
        .any(has)
        .then_some(Kind::Settings)
}

/// The summary of a file that can be used.
fn summary(bytes: &[u8], kind: Kind, role: Option<Role>) -> Result<String, Findings> {
    let subject = match kind {
        Kind::Settings => format!("{} of {}", kind.name(), Settings::parse(bytes, role)?.node),
        Kind::Configuration => {
            format!("{} {}", kind.name(), Document::replace(bytes)?.generation())
        }
    };
    Ok(format!("{subject}, no findings"))
}
