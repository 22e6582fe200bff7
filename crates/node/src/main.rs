//! `dunespur`: the processes of the serving tier, each a role.

mod api;
mod budgets;
mod clock;
mod core;
mod directory;
mod founding;
mod gateway;
mod joining;
mod keeping;
mod logging;
mod messages;
mod plane;
mod registry;
mod service;
mod settings;
mod signals;
mod store;

use bpaf::Bpaf;
use settings::{Settings, SETTINGS_VARIABLE};
use simplelog::LevelFilter;
use std::future::Future;
use std::path::PathBuf;
use std::process::ExitCode;
use tokio::task::LocalSet;

/// Settings that can't be used.
const UNUSABLE_SETTINGS: u8 = 2;

/// A serving tier for agent programs.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
enum Command {
    /// Takes the requests of clients, and is a member of the core where it has a disk
    #[bpaf(command)]
    Gateway {
        /// Log level on standard error: off, error, warn, info, debug or trace
        #[bpaf(long, argument("LEVEL"), fallback(LevelFilter::Info))]
        log: LevelFilter,
    },
    /// Keeps turns of programs on a disk
    #[bpaf(command)]
    Store {
        /// Log level on standard error: off, error, warn, info, debug or trace
        #[bpaf(long, argument("LEVEL"), fallback(LevelFilter::Info))]
        log: LevelFilter,
    },
}

fn main() -> ExitCode {
    match command().run() {
        Command::Gateway { log } => with_settings(log, gateway::run),
        Command::Store { log } => with_settings(log, store::run),
    }
}

/// Runs a role with the settings that the environment names.
fn with_settings<F: Future<Output = anyhow::Result<()>>>(
    level: LevelFilter,
    role: impl FnOnce(Settings, PathBuf) -> F,
) -> ExitCode {
    logging::start(level);
    let Some(path) = std::env::var_os(SETTINGS_VARIABLE).map(PathBuf::from) else {
        eprintln!("{SETTINGS_VARIABLE}: is not set");
        return ExitCode::from(UNUSABLE_SETTINGS);
    };
    let settings = match Settings::read(&path) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(UNUSABLE_SETTINGS);
        }
    };
    match block_on(role(settings, path)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error:#}");
            ExitCode::FAILURE
        }
    }
}

fn block_on(role: impl Future<Output = anyhow::Result<()>>) -> anyhow::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, role)
}
