//! `dunespur`: the processes of the serving tier, one role each, and the command-line tools for operators.

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
use logging::LogOrigin;
use settings::{Role, Settings, SETTINGS_VARIABLE};
use std::future::Future;
use std::path::PathBuf;
use std::process::ExitCode;
use tokio::task::LocalSet;

/// Exit code for unusable settings.
const EXIT_UNUSABLE_SETTINGS: u8 = 2;

/// Runs the command line of this process and returns its exit code.
pub fn run() -> ExitCode {
    let command = match command::parse() {
        Ok(command) => command,
        Err(code) => return code,
    };
    match command {
        Command::Gateway(logging) => run_role(Role::Gateway, &logging, gateway::run),
        Command::Store(logging) => run_role(Role::Store, &logging, store::run),
        Command::Check(check) => check::run(&check),
        Command::Explain(explain) => explain::run(explain),
        Command::Status(query) => exit_code(block_on(status::run(query))),
    }
}

/// Runs a role with the settings file that [`SETTINGS_VARIABLE`] names.
fn run_role<F: Future<Output = anyhow::Result<()>>>(
    role: Role,
    logging: &Logging,
    run: impl FnOnce(Settings, PathBuf) -> F,
) -> ExitCode {
    let Some(path) = std::env::var_os(SETTINGS_VARIABLE).map(PathBuf::from) else {
        eprintln!("{SETTINGS_VARIABLE} is not set: it must name the settings file");
        return ExitCode::from(EXIT_UNUSABLE_SETTINGS);
    };
    let settings = match Settings::read(&path, role) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(EXIT_UNUSABLE_SETTINGS);
        }
    };
    allocator::limit_retained_memory();
    logging::start(
        logging.level,
        logging.format,
        LogOrigin {
            node: settings.node.clone(),
            role,
        },
    );
    exit_code(block_on(run(settings, path)))
}

/// The exit code of a result; an error is written to standard error.
fn exit_code(result: anyhow::Result<()>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error:#}");
            ExitCode::FAILURE
        }
    }
}

fn block_on(future: impl Future<Output = anyhow::Result<()>>) -> anyhow::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    LocalSet::new().block_on(&runtime, future)
}
