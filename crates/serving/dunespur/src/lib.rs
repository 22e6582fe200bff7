//! `dunespur`: the processes of the serving tier, each a role, and the tools of those who run it.

mod allocator;
mod budgets;
mod check;
mod clock;
mod command;
mod control_api;
mod core;
mod core_membership;
mod data_plane;
mod deadline;
mod directory;
mod explain;
mod founding;
mod gateway;
mod load_exchange;
mod logging;
pub mod messages;
mod registration;
mod request_events;
mod service;
mod settings;
mod signals;
mod sockets;
pub mod status;
mod status_collection;
mod store;
mod store_client;
mod utc;

use command::{Command, Logging};
use logging::Origin;
use settings::{Role, Settings, SETTINGS_VARIABLE};
use std::future::Future;
use std::path::PathBuf;
use std::process::ExitCode;
use tokio::task::LocalSet;

/// Settings that can't be used.
const UNUSABLE_SETTINGS: u8 = 2;

/// Runs the command line of this process; the program's exit code.
pub fn run() -> ExitCode {
    let command = match command::parse() {
        Ok(command) => command,
        Err(code) => return code,
    };
    match command {
        Command::Gateway(logging) => play(Role::Gateway, &logging, gateway::run),
        Command::Store(logging) => play(Role::Store, &logging, store::run),
        Command::Check(check) => check::run(&check),
        Command::Explain(explain) => explain::run(explain),
        Command::Status(query) => ended(block_on(status::run(query))),
    }
}

/// Plays a role with the settings that the environment names.
fn play<F: Future<Output = anyhow::Result<()>>>(
    role: Role,
    logging: &Logging,
    run: impl FnOnce(Settings, PathBuf) -> F,
) -> ExitCode {
    let Some(path) = std::env::var_os(SETTINGS_VARIABLE).map(PathBuf::from) else {
        eprintln!("{SETTINGS_VARIABLE}: is not set");
        return ExitCode::from(UNUSABLE_SETTINGS);
    };
    let settings = match Settings::read(&path, role) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(UNUSABLE_SETTINGS);
        }
    };
    allocator::keep_little();
    logging::start(
        logging.level,
        logging.format,
        Origin {
            node: settings.node.clone(),
            role,
        },
    );
    ended(block_on(run(settings, path)))
}

/// How the program ends; an error is written to standard error.
fn ended(result: anyhow::Result<()>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error:#}");
            ExitCode::FAILURE
        }
    }
}

fn block_on(role: impl Future<Output = anyhow::Result<()>>) -> anyhow::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    LocalSet::new().block_on(&runtime, role)
}
