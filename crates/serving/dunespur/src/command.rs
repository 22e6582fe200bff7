//! The command line.

use crate::check::{Check, Kind};
use crate::explain::Explain;
use crate::logging::LogFormat;
use crate::settings::Role;
use crate::status::StatusQuery;
use bpaf::Bpaf;
use simplelog::LevelFilter;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

/// Columns of messages to people.
const COLUMNS: usize = 100;
/// A command line that can't be understood.
const WRONG_USAGE: u8 = 2;

/// The parsed command line; `Err` where it is answered already, by help or by what is wrong with it.
///
/// # Errors
///
/// The exit code, after help or a message was printed.
pub fn parse() -> Result<Command, ExitCode> {
    command()
        .run_inner(bpaf::Args::current_args())
        .map_err(|failure| {
            failure.print_message(COLUMNS);
            if failure.exit_code() == 0 {
                ExitCode::SUCCESS
            } else {
                ExitCode::from(WRONG_USAGE)
            }
        })
}

/// A serving tier for agent programs
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
pub enum Command {
    /// Takes the requests of clients, and is a member of the core where it has a disk
    ///
    ///
    /// The variable DUNESPUR_CONFIG names its settings file (JSON). SIGTERM asks it to leave, SIGHUP says that the
    /// file has changed. Ends with 2 if the settings can't be used.
    #[bpaf(command)]
    Gateway(#[bpaf(external(logging))] Logging),
    /// Keeps turns of programs on a disk
    ///
    ///
    /// The variable DUNESPUR_CONFIG names its settings file (JSON). SIGTERM asks it to leave, SIGHUP says that the
    /// file has changed. Ends with 2 if the settings can't be used.
    #[bpaf(command)]
    Store(#[bpaf(external(logging))] Logging),
    /// Checks a settings file or an operator's configuration
    ///
    ///
    /// Prints all findings at once, each with its place. Ends with 0 if the file can be used, 1 if there are
    /// findings, 2 if it can't be read.
    #[bpaf(command)]
    Check(#[bpaf(external(check))] Check),
    /// Asks a process how it is
    ///
    ///
    /// View and chain of the core, currency, services with their servers, stores, leases, counters, memory and
    /// processor time. Ends with 1 if there is no answer.
    #[bpaf(command)]
    Status(#[bpaf(external(status_query))] StatusQuery),
    /// Tells why a request went where it did
    ///
    ///
    /// Reads log lines of any number of processes, written with --log debug in either format, and prints what was
    /// decided on one request, in order. Ends with 1 if no line tells of it, 2 if a file can't be read.
    #[bpaf(command)]
    Explain(#[bpaf(external(explain))] Explain),
}

/// What a process logs on standard error
#[derive(Clone, Debug, Bpaf)]
pub struct Logging {
    /// Log level on standard error: off, error, warn, info, debug or trace; debug has lines of every request
    #[bpaf(
        long("log"),
        argument("LEVEL"),
        fallback(LevelFilter::Info),
        display_fallback
    )]
    pub level: LevelFilter,
    /// Format of log lines: text, or json for an object a line
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
        .help("Logs; standard input where none is named")
        .many();
    construct!(Explain { request, files })
}

fn status_query() -> impl bpaf::Parser<StatusQuery> {
    use bpaf::{construct, long, positional, Parser};
    let json = long("json").help("Print JSON instead of tables").switch();
    let program = long("program")
        .help("Tell the budget of this agent program as well")
        .argument::<String>("PROGRAM")
        .optional();
    let address = positional::<SocketAddr>("ADDRESS")
        .help("Where the process listens for the others: its address and the first port of its port_range");
    construct!(StatusQuery {
        json,
        program,
        address
    })
}

fn check() -> impl bpaf::Parser<Check> {
    use bpaf::{construct, long, positional, Parser};
    let settings = long("settings")
        .help("Check it as settings of a process")
        .req_flag(Kind::Settings);
    let configuration = long("configuration")
        .help("Check it as an operator's configuration")
        .req_flag(Kind::Configuration);
    let kind = construct!([settings, configuration]).optional();
    let role = long("role")
        .help("Check what this role needs of its settings as well: gateway or store")
        .argument::<Role>("ROLE")
        .optional();
    let file = positional::<PathBuf>("FILE").help("The file; - for standard input");
    construct!(Check { kind, role, file })
}
