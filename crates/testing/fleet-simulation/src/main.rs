//! `dunespur-lab`: plays trials of a fleet and says whether its promises held.

mod check;
mod error;
mod history;
mod measure;
mod processes;
mod quotas;
mod service;
mod trial;
mod world;

use clap::{Parser, Subcommand, ValueEnum};
use history::Line;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

#[derive(Parser)]
#[command(
    name = "dunespur-lab",
    version,
    about = "Trials of a fleet of limiters, with faults between them"
)]
struct Args {
    #[command(subcommand)]
    command: Command,
}

#[derive(Clone, Copy, PartialEq, ValueEnum)]
enum Kind {
    /// Real gateway processes on loopback.
    Processes,
    /// The same state machines under one seed.
    Simulated,
}

#[derive(Subcommand)]
enum Command {
    /// Play one trial; exit code 0 if all held, 1 if something broke, 2 for a file that can't be used.
    Trial {
        file: PathBuf,
        #[arg(long, value_enum, default_value = "simulated")]
        world: Kind,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Where the history goes, a JSON line each; `-` is standard output.
        #[arg(long)]
        json: Option<PathBuf>,
    },
    /// Play trials with faults drawn by seed in the simulated world, on all cores.
    Sweep {
        #[arg(long, default_value_t = 1)]
        seed: u64,
        #[arg(long, default_value_t = 200)]
        count: u64,
        /// Faults in each.
        #[arg(long, default_value_t = 5)]
        faults: usize,
        /// Where trials that broke are written.
        #[arg(long)]
        keep: Option<PathBuf>,
    },
    /// Measure quotas at a scarce counter, with nothing shared and with brokers (simulated).
    Quotas {
        #[arg(long, value_delimiter = ',', default_value = "30,100,300")]
        limiters: Vec<usize>,
        #[arg(long, value_delimiter = ',', default_value = "0")]
        loss: Vec<f64>,
        /// Limiters that each customer comes in by.
        #[arg(long, default_value_t = 1000)]
        spread: usize,
        /// Load as a multiple of all quotas.
        #[arg(long, default_value_t = 2.0)]
        times: f64,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        #[arg(long, default_value_t = 45.0)]
        seconds: f64,
    },
    /// Stop the leader at each step of a grant, one play for each moment.
    Steps {
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// One limiter, as the trials start it; reads the gateway's environment.
    #[command(hide = true)]
    Gateway,
    /// Measure a simulated fleet: detection, false suspicions, bytes, time until all duties are held.
    Measure {
        #[arg(long, value_delimiter = ',', default_value = "30,100,300,1000")]
        limiters: Vec<usize>,
        #[arg(long, value_delimiter = ',', default_value = "0,0.01,0.05")]
        loss: Vec<f64>,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        #[arg(long, default_value_t = 60.0)]
        seconds: f64,
    },
}

fn unusable(what: &str) -> ExitCode {
    eprintln!("dunespur-lab: {what}");
    ExitCode::from(2)
}

fn main() -> ExitCode {
    let args = Args::parse();
    if matches!(args.command, Command::Gateway) {
        // Whoever started it is gone: so is this.
        let _ =
            rustix::process::set_parent_process_death_signal(Some(rustix::process::Signal::KILL));
        return dunespur_gateway::main();
    }
    tracing_subscriber::fmt()
        .json()
        .with_writer(std::io::stderr)
        .with_max_level(tracing::Level::INFO)
        .init();
    match args.command {
        Command::Gateway => ExitCode::SUCCESS,
        Command::Trial {
            file,
            world,
            seed,
            json,
        } => play_trial(&file, world, seed, json.as_deref()),
        Command::Quotas {
            limiters,
            loss,
            spread,
            times,
            seed,
            seconds,
        } => measure::quotas(&limiters, &loss, spread, times, seed, seconds),
        Command::Steps { seed } => measure::steps(seed),
        Command::Sweep {
            seed,
            count,
            faults,
            keep,
        } => measure::sweep(seed, count, faults, keep),
        Command::Measure {
            limiters,
            loss,
            seed,
            seconds,
        } => measure::fleet(&limiters, &loss, seed, seconds),
    }
}

/// Why a trial gave no verdict.
#[derive(Debug, thiserror::Error)]
enum Unplayable {
    #[error(transparent)]
    File(#[from] std::io::Error),
    #[error(transparent)]
    Trial(#[from] error::TrialError),
    #[error(transparent)]
    World(#[from] error::PlayError),
}

/// Plays one trial, writes its history where it is wanted, and says what broke.
fn play_trial(file: &Path, world: Kind, seed: u64, json: Option<&Path>) -> ExitCode {
    let unusable_file = |error: Unplayable| unusable(&format!("{}: {error}", file.display()));
    let trial = match read_trial(file) {
        Ok(trial) => trial,
        Err(error) => return unusable_file(error),
    };
    let mut to: Option<Box<dyn Write>> = match json {
        None => None,
        Some(path) if path.as_os_str() == "-" => Some(Box::new(std::io::stdout().lock())),
        Some(path) => match std::fs::File::create(path) {
            Ok(file) => Some(Box::new(std::io::BufWriter::new(file))),
            Err(e) => return unusable(&format!("{}: {e}", path.display())),
        },
    };
    let lines = match play_in(world, &trial, seed) {
        Ok(lines) => lines,
        Err(error) => return unusable_file(error),
    };
    let broken = check::check(&trial, &lines);
    if let Some(to) = &mut to {
        write_history(to, &trial, seed, &lines, &broken);
    }
    broken.iter().for_each(|b| eprintln!("{b}"));
    ExitCode::from(u8::from(!broken.is_empty()))
}

fn read_trial(file: &Path) -> Result<trial::Trial, Unplayable> {
    let text = std::fs::read_to_string(file)?;
    Ok(trial::Trial::parse(&text)?)
}

fn play_in(world: Kind, trial: &trial::Trial, seed: u64) -> Result<Vec<Line>, Unplayable> {
    match world {
        Kind::Simulated => {
            world::check(trial)?;
            let mut world = world::World::new(trial, seed);
            world.run();
            Ok(world.lines)
        }
        Kind::Processes => Ok(processes::play(trial, seed)?),
    }
}

/// A line of JSON for each thing seen, and the verdict with what was measured as the last. Whoever reads may
/// go away: then the rest is not written.
fn write_history(
    to: &mut dyn Write,
    trial: &trial::Trial,
    seed: u64,
    lines: &[Line],
    broken: &[String],
) {
    for line in lines {
        let _ = serde_json::to_writer(&mut *to, line);
        let _ = to.write_all(b"\n");
    }
    let verdict = if broken.is_empty() { "held" } else { "broken" };
    let handovers = measure::spread(&mut check::handovers(trial, lines));
    let latencies = lines.iter().filter_map(|line| match line {
        Line::Answer {
            sent,
            t,
            status: 200,
            ..
        } => Some(t - sent),
        _ => None,
    });
    let latency = measure::spread(&mut latencies.collect::<Vec<f64>>());
    let processor_times = lines.iter().filter_map(|line| match line {
        Line::Counted { what, value, .. } if what.starts_with("processor") => Some(value),
        _ => None,
    });
    let processor_s: f64 = processor_times.sum();
    let quota = trial.quota.as_ref();
    let quotas = quota.map(|quota| quotas::judge(trial, quota, lines));
    let last = serde_json::json!({
        "quotas": quotas,
        "latency": latency, "processor_s": processor_s,
        "handovers": handovers,
        "line": "verdict", "verdict": verdict, "trial": trial.name, "seed": seed, "broken": broken,
    });
    let _ = writeln!(to, "{last}");
    let _ = to.flush();
}
