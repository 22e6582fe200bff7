//! Plays an experiment file against real processes of the serving tier on loopback, and tells what it measured.

mod experiment;

use anyhow::Context;
use bpaf::Bpaf;
use std::path::PathBuf;
use std::process::ExitCode;

/// Rules were broken.
const RULES_BROKEN: u8 = 3;

/// Plays an experiment against real processes on loopback.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct Arguments {
    /// The program of the serving tier; target/release/dunespur where it is left out
    #[bpaf(long, argument("PATH"), fallback(PathBuf::from("target/release/dunespur")))]
    program: PathBuf,
    /// Where the measurements are written as JSON
    #[bpaf(long, argument("PATH"))]
    json: Option<PathBuf>,
    /// The experiment (TOML)
    #[bpaf(positional("EXPERIMENT"))]
    experiment: PathBuf,
}

fn main() -> ExitCode {
    match play(&arguments().run()) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(RULES_BROKEN),
        Err(error) => {
            eprintln!("{error:#}");
            ExitCode::FAILURE
        }
    }
}

/// Plays the experiment; false where rules were broken.
fn play(arguments: &Arguments) -> anyhow::Result<bool> {
    let program =
        arguments.program.canonicalize().with_context(|| arguments.program.display().to_string())?;
    let experiment = experiment::Experiment::read(&arguments.experiment)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let findings = runtime.block_on(experiment::play(&program, &experiment))?;
    print!("{}", findings.table());
    if let Some(path) = &arguments.json {
        std::fs::write(path, findings.json()).with_context(|| path.display().to_string())?;
    }
    Ok(findings.violations.is_empty())
}
