//! Plays an experiment file against real processes of the serving tier on loopback, and reports what it measured.

mod experiment;

use anyhow::Context;
use bpaf::Bpaf;
use experiment::{Experiment, Findings};
use std::ops::Range;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Exit code where rules were broken.
const RULES_BROKEN: u8 = 3;

/// Plays experiments against real processes on loopback.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct Arguments {
    /// Path of the serving tier's program; target/release/dunespur if omitted
    #[bpaf(
        long,
        argument("PATH"),
        fallback(PathBuf::from("target/release/dunespur"))
    )]
    program: PathBuf,
    /// File to which all attempts of the last experiment are written, one per line
    #[bpaf(long("tries"), argument("PATH"))]
    attempts: Option<PathBuf>,
    #[bpaf(external)]
    command: Command,
}

#[derive(Clone, Debug, Bpaf)]
enum Command {
    /// Plays one experiment
    #[bpaf(command)]
    Play {
        /// File to which the measurements are written as JSON
        #[bpaf(long, argument("PATH"))]
        json: Option<PathBuf>,
        /// The experiment file (TOML)
        #[bpaf(positional("EXPERIMENT"))]
        experiment: PathBuf,
    },
    /// Plays experiments drawn from seeds until one breaks a rule
    #[bpaf(command)]
    Hunt {
        /// The first seed
        #[bpaf(long, argument("SEED"), fallback(1), display_fallback)]
        first: u64,
        /// Number of seeds
        #[bpaf(long, argument("COUNT"), fallback(10), display_fallback)]
        count: u64,
        /// Duration of each experiment's traffic
        #[bpaf(long, argument("SECONDS"), fallback(40.0), display_fallback)]
        seconds: f64,
    },
}

fn main() -> ExitCode {
    match run(&arguments().run()) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(RULES_BROKEN),
        Err(error) => {
            eprintln!("{error:#}");
            ExitCode::FAILURE
        }
    }
}

/// Runs the command; returns false where rules were broken.
fn run(arguments: &Arguments) -> anyhow::Result<bool> {
    let program = arguments
        .program
        .canonicalize()
        .with_context(|| format!("could not find the program {}", arguments.program.display()))?;
    match &arguments.command {
        Command::Play { json, experiment } => {
            let findings = arguments.play(&program, &experiment::read(experiment)?)?;
            if let Some(path) = json {
                std::fs::write(path, findings.json()).with_context(|| {
                    format!("could not write the measurements to {}", path.display())
                })?;
            }
            Ok(findings.violations.is_empty())
        }
        Command::Hunt {
            first,
            count,
            seconds,
        } => arguments.hunt(&program, *first..first + count, *seconds),
    }
}

impl Arguments {
    fn play(&self, program: &Path, experiment: &Experiment) -> anyhow::Result<Findings> {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let findings = runtime.block_on(experiment::play(program, experiment))?;
        print!("{}", findings.table());
        if let Some(path) = &self.attempts {
            std::fs::write(path, &findings.attempts)
                .with_context(|| format!("could not write the attempts to {}", path.display()))?;
        }
        Ok(findings)
    }

    fn hunt(&self, program: &Path, seeds: Range<u64>, seconds: f64) -> anyhow::Result<bool> {
        for seed in seeds {
            let experiment = experiment::draw(seed, seconds);
            println!("seed {seed}: {}", experiment.summary());
            let findings = self
                .play(program, &experiment)
                .with_context(|| format!("seed {seed}"))?;
            if !findings.violations.is_empty() {
                return Ok(false);
            }
        }
        Ok(true)
    }
}
