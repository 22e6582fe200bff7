//! `dunespur-lab`: plays trials of a fleet and says whether its promises held.

mod check;
mod history;
mod measure;
mod processes;
mod quotas;
mod service;
mod trial;
mod world;

use clap::{Parser, Subcommand, ValueEnum};
use std::io::Write;
use std::path::PathBuf;
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
        } => {
            let text = match std::fs::read_to_string(&file) {
                Ok(text) => text,
                Err(e) => return unusable(&format!("{}: {e}", file.display())),
            };
            let trial = match trial::Trial::parse(&text) {
                Ok(trial) => trial,
                Err(e) => return unusable(&format!("{}: {e}", file.display())),
            };
            let mut to: Option<Box<dyn Write>> = match &json {
                None => None,
                Some(p) if p.as_os_str() == "-" => Some(Box::new(std::io::stdout().lock())),
                Some(p) => match std::fs::File::create(p) {
                    Ok(f) => Some(Box::new(std::io::BufWriter::new(f))),
                    Err(e) => return unusable(&format!("{}: {e}", p.display())),
                },
            };
            let lines = match world {
                Kind::Simulated => {
                    if let Err(e) = world::check(&trial) {
                        return unusable(&format!("{}: {e}", file.display()));
                    }
                    let mut w = world::World::new(&trial, seed);
                    w.run();
                    w.lines
                }
                Kind::Processes => match processes::play(&trial, seed) {
                    Ok(lines) => lines,
                    Err(e) => return unusable(&format!("{}: {e}", file.display())),
                },
            };
            let broken = check::check(&trial, &lines);
            if let Some(to) = &mut to {
                for line in &lines {
                    let _ = serde_json::to_writer(&mut *to, line);
                    let _ = to.write_all(b"\n");
                }
                let verdict = if broken.is_empty() { "held" } else { "broken" };
                let mut took = check::handovers(&trial, &lines);
                let handovers = measure::spread(&mut took);
                let mut waited: Vec<f64> = lines
                    .iter()
                    .filter_map(|l| match l {
                        history::Line::Answer {
                            sent,
                            t,
                            status: 200,
                            ..
                        } => Some(t - sent),
                        _ => None,
                    })
                    .collect();
                let latency = measure::spread(&mut waited);
                let used = lines.iter().filter_map(|l| match l {
                    history::Line::Counted { what, value, .. } if what.starts_with("processor") => {
                        Some(value)
                    }
                    _ => None,
                });
                let processor_s: f64 = used.sum();
                let quotas = trial
                    .quota
                    .as_ref()
                    .map(|q| quotas::judge(&trial, q, &lines));
                let last = serde_json::json!({
                    "quotas": quotas,
                    "latency": latency, "processor_s": processor_s,
                    "handovers": handovers,
                    "line": "verdict", "verdict": verdict, "trial": trial.name, "seed": seed, "broken": broken,
                });
                let _ = writeln!(to, "{last}");
                let _ = to.flush();
            }
            broken.iter().for_each(|b| eprintln!("{b}"));
            ExitCode::from(u8::from(!broken.is_empty()))
        }
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
