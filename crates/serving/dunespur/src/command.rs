//! The command line.

use crate::check::{Check, FileKind};
use crate::explain::Explain;
use crate::logging::LogFormat;
use crate::settings::Role;
use crate::status::StatusQuery;
use bpaf::Bpaf;
use simplelog::LevelFilter;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

/// Width of help texts and error messages, in columns.
const MESSAGE_COLUMNS: usize = 100;
/// Exit code for an invalid command line.
const EXIT_WRONG_USAGE: u8 = 2;

/// Parses the command line of this process. Help and usage errors are printed here.
///
/// # Errors
///
/// The exit code, after help or an error message was printed.
pub fn parse() -> Result<Command, ExitCode> {
    command()
        .run_inner(bpaf::Args::current_args())
        .map_err(|failure| {
            failure.print_message(MESSAGE_COLUMNS);
            if failure.exit_code() == 0 {
                ExitCode::SUCCESS
            } else {
                ExitCode::from(EXIT_WRONG_USAGE)
            }
        })
}

/// A serving tier for agent programs
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
pub enum Command {
    /// Serves clients' requests; on a machine with a disk also a member of the core
    ///
    ///
    /// The variable DUNESPUR_CONFIG names its settings file (JSON). SIGTERM starts a graceful shutdown,
    /// SIGHUP reloads the file. Exits with 2 if the settings are unusable.
    #[bpaf(command)]
    Gateway(#[bpaf(external(logging))] Logging),
    /// Stores turns of agent programs on a disk
    ///
    ///
    /// The variable DUNESPUR_CONFIG names its settings file (JSON). SIGTERM starts a graceful shutdown,
    /// SIGHUP reloads the file. Exits with 2 if the settings are unusable.
    #[bpaf(command)]
    Store(#[bpaf(external(logging))] Logging),
    /// Checks a settings file or an operator's configuration
    ///
    ///
    /// Prints all findings, each with its place in the file. Exits with 0 if the file is usable, 1 if there are
    /// findings, 2 if the file can't be read.
    #[bpaf(command)]
    Check(#[bpaf(external(check))] Check),
    /// Queries the status of a process
    ///
    ///
    /// Prints the view and chain of the core, contact with the core, services with their servers, stores, leases,
    /// counters, memory and processor time. Exits with 1 if there is no answer.
    #[bpaf(command)]
    Status(#[bpaf(external(status_query))] StatusQuery),
    /// Explains how a request was routed and answered
    ///
    ///
    /// Reads the logs of any number of processes, written with --log debug in either format, and prints the
    /// decisions on one request in order. Exits with 1 if no line names the request, 2 if a file can't be read.
    #[bpaf(command)]
    Explain(#[bpaf(external(explain))] Explain),
}

/// Log output on standard error
#[derive(Clone, Debug, Bpaf)]
pub struct Logging {
    /// Log level on standard error: off, error, warn, info, debug or trace; debug logs every request
    #[bpaf(
        long("log"),
        argument("LEVEL"),
        fallback(LevelFilter::Info),
        display_fallback
    )]
    pub level: LevelFilter,
    /// Format of log lines: text, or json for one object per line
    #[bpaf(
        long("log-format"),
        argument("FORMAT"),
        fallback(LogFormat::Text),
        display_fallback
    )]
    pub format: LogFormat,
}

fn explain() -> impl bpaf::Parser<Explain> {
    use bpaf::{construct, positional, Parser};
    let request = positional::<String>("ID").help("The request's X-Dunespur-Request-Id");
    let files = positional::<PathBuf>("FILE")
        .help("Log files; standard input if none is given")
        .many();
    construct!(Explain { request, files })
}

fn status_query() -> impl bpaf::Parser<StatusQuery> {
    use bpaf::{construct, long, positional, Parser};
    let json = long("json").help("Print JSON instead of tables").switch();
    let program = long("program")
        .help("Also print the budget of this agent program")
        .argument::<String>("PROGRAM")
        .optional();
    let address = positional::<SocketAddr>("ADDRESS").help(
        "Internal address of the process: its IP address and the first port of its port_range",
    );
    construct!(StatusQuery {
        json,
        program,
        address
    })
}

fn check() -> impl bpaf::Parser<Check> {
    use bpaf::{construct, long, positional, Parser};
    let settings = long("settings")
        .help("Check the file as settings of a process")
        .req_flag(FileKind::Settings);
    let configuration = long("configuration")
        .help("Check the file as an operator's configuration")
        .req_flag(FileKind::Configuration);
    let kind = construct!([settings, configuration]).optional();
    let role = long("role")
        .help("Also check the settings that this role needs: gateway or store")
        .argument::<Role>("ROLE")
        .optional();
    let file = positional::<PathBuf>("FILE").help("The file to check; - for standard input");
    construct!(Check { kind, role, file })
}
