//! Reads experiment files.

use super::bounds::problems;
use super::file::Experiment;
use anyhow::{bail, Context};
use std::path::Path;

/// Reads and checks an experiment file.
///
/// # Errors
///
/// Fails where the file cannot be read or parsed, or breaks a bound; the error lists all broken bounds.
pub fn read(path: &Path) -> anyhow::Result<Experiment> {
    let text = std::fs::read_to_string(path)
        .with_context(|| format!("could not read the experiment file {}", path.display()))?;
    parse(&text).with_context(|| format!("invalid experiment file {}", path.display()))
}

fn parse(text: &str) -> anyhow::Result<Experiment> {
    let experiment: Experiment = toml::from_str(text)?;
    let problems = problems(&experiment);
    if !problems.is_empty() {
        bail!("{}", problems.join("; "));
    }
    Ok(experiment)
}
