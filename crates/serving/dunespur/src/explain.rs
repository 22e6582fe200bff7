//! `dunespur explain`: the trace of one request, out of log lines at debug level of any number of processes.

mod record;
mod render;
mod source;
mod trace;

use source::Source;
use std::path::PathBuf;
use std::process::ExitCode;
use trace::RequestTrace;

/// No line names the request.
const UNKNOWN_REQUEST: u8 = 1;
/// A file can't be read.
const UNREADABLE: u8 = 2;

/// Which request is explained, and from which logs.
#[derive(Clone, Debug)]
pub struct Explain {
    /// The request's `X-Dunespur-Request-Id`.
    pub request: String,
    /// Logs; standard input where none is named.
    pub files: Vec<PathBuf>,
}

/// Prints the request's trace on standard output.
pub fn run(explain: Explain) -> ExitCode {
    let trace = Source::open(explain.files)
        .and_then(|source| RequestTrace::read(&explain.request, &source));
    match trace {
        Ok(trace) if trace.is_empty() => {
            eprintln!(
                "{}: no line names it; logs at debug level do",
                explain.request
            );
            ExitCode::from(UNKNOWN_REQUEST)
        }
        Ok(trace) => {
            print!("{}", render::of(&trace));
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("{error:#}");
            ExitCode::from(UNREADABLE)
        }
    }
}
