//! `dunespur explain`: prints the trace of one request from the debug log lines of any number of processes.

mod record;
mod render;
mod source;
mod trace;

use source::LogSource;
use std::path::PathBuf;
use std::process::ExitCode;
use trace::RequestTrace;

/// Exit code if no log line names the request.
const EXIT_UNKNOWN_REQUEST: u8 = 1;
/// Exit code if a log file can't be read.
const EXIT_UNREADABLE: u8 = 2;

/// Arguments of `dunespur explain`.
#[derive(Clone, Debug)]
pub struct Explain {
    /// The `X-Dunespur-Request-Id` of the request.
    pub request: String,
    /// Log files; standard input if none is given.
    pub files: Vec<PathBuf>,
}

/// Prints the request's trace on standard output.
pub fn run(explain: Explain) -> ExitCode {
    let trace = LogSource::open(explain.files)
        .and_then(|source| RequestTrace::read(&explain.request, &source));
    match trace {
        Ok(trace) if trace.is_empty() => {
            eprintln!(
                "no log line names request {}; request lines are only written with --log debug",
                explain.request
            );
            ExitCode::from(EXIT_UNKNOWN_REQUEST)
        }
        Ok(trace) => {
            print!("{}", render::render(&trace));
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("{error:#}");
            ExitCode::from(EXIT_UNREADABLE)
        }
    }
}
