//! `dunespur check`: checks a settings file or an operator's configuration, with the same code that a process runs at
//! its start and that the core runs on a submitted configuration.

use crate::settings::{Role, Settings};
use dunespur_configuration::{check_document_size, check_request_size, Document, Findings};
use serde_json::Value;
use std::io::Read;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Exit code if the file has findings.
const EXIT_HAS_FINDINGS: u8 = 1;
/// Exit code if the file can't be read, or its kind can't be told.
const EXIT_UNREADABLE: u8 = 2;

/// The file name that stands for standard input.
const STANDARD_INPUT: &str = "-";

/// The kind of a checked file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FileKind {
    /// Settings of a process.
    Settings,
    /// An operator's configuration.
    Configuration,
}

impl FileKind {
    fn name(self) -> &'static str {
        match self {
            FileKind::Settings => "settings",
            FileKind::Configuration => "configuration",
        }
    }
}

/// Arguments of `dunespur check`.
#[derive(Clone, Debug)]
pub struct Check {
    /// Path of the file; `-` for standard input.
    pub file: PathBuf,
    /// Kind of the file; guessed from its content if not given.
    pub kind: Option<FileKind>,
    /// For settings: the role whose required fields are checked as well.
    pub role: Option<Role>,
}

/// Checks a file and prints all findings on standard output, one per line, as file name, place and problem.
pub fn run(check: &Check) -> ExitCode {
    let name = check.file.display();
    let bytes = match read(&check.file) {
        Ok(bytes) => bytes,
        Err(error) => {
            eprintln!("{name}: {error}");
            return ExitCode::from(EXIT_UNREADABLE);
        }
    };
    let Some(kind) = check.kind.or_else(|| guess_kind(&bytes)) else {
        eprintln!(
            "{name}: neither settings nor a configuration by its fields; use --settings or --configuration to choose"
        );
        return ExitCode::from(EXIT_UNREADABLE);
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
            ExitCode::from(EXIT_HAS_FINDINGS)
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

/// Guesses the kind of a file from its top-level fields. Invalid JSON yields the same finding for either kind.
fn guess_kind(bytes: &[u8]) -> Option<FileKind> {
    let Ok(value) = serde_json::from_slice::<Value>(bytes) else {
        return Some(FileKind::Configuration);
    };
    let has = |name: &&str| value.get(*name).is_some();
    if ["routes", "services", "generation"].iter().any(has) {
        return Some(FileKind::Configuration);
    }
    ["node", "port_range", "listen", "seeds"]
        .iter()
        .any(has)
        .then_some(FileKind::Settings)
}

/// Summarizes a usable file.
fn summary(bytes: &[u8], kind: FileKind, role: Option<Role>) -> Result<String, Findings> {
    let subject = match kind {
        FileKind::Settings => format!("{} of {}", kind.name(), Settings::parse(bytes, role)?.node),
        FileKind::Configuration => {
            let document = Document::replace(bytes)?;
            check_document_size(bytes.len())?;
            check_request_size(bytes.len())?;
            format!("{} {}", kind.name(), document.generation())
        }
    };
    Ok(format!("{subject}, no findings"))
}
