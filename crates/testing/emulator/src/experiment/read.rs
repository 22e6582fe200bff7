//! Reads experiment files.

use super::check::check;
use super::file::Experiment;
use anyhow::{bail, Context};
use std::path::Path;

/// Reads and checks an experiment file.
///
/// # Errors
///
/// Fails where the file cannot be read or parsed, or breaks a bound; all findings are reported at once.
pub fn read(path: &Path) -> anyhow::Result<Experiment> {
    let text = std::fs::read_to_string(path).with_context(|| path.display().to_string())?;
    parse(&text).with_context(|| path.display().to_string())
}

fn parse(text: &str) -> anyhow::Result<Experiment> {
    let experiment: Experiment = toml::from_str(text)?;
    let findings = check(&experiment);
    if !findings.is_empty() {
        bail!("{}", findings.join("; "));
    }
    Ok(experiment)
}
