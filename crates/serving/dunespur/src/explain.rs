//! `dunespur explain`: the story of one request, out of log lines at debug level of any number of processes.

mod line;
mod source;
mod story;
mod tell;

use source::Source;
use std::path::PathBuf;
use std::process::ExitCode;
use story::Story;

/// No line tells of the request.
const UNKNOWN_REQUEST: u8 = 1;
/// A file can't be read.
const UNREADABLE: u8 = 2;

/// What is to be explained.
#[derive(Clone, Debug)]
pub struct Explain {
    /// The request's `X-Dunespur-Request-Id`.
    pub request: String,
    /// Logs; standard input where none is named.
    pub files: Vec<PathBuf>,
}

/// Prints the request's story on standard output.
pub fn run(explain: Explain) -> ExitCode {
    let story =
        Source::open(explain.files).and_then(|source| Story::read(&explain.request, &source));
    match story {
        Ok(story) if story.is_empty() => {
            eprintln!(
                "{}: no line tells of it; logs at debug level do",
                explain.request
            );
            ExitCode::from(UNKNOWN_REQUEST)
        }
        Ok(story) => {
            print!("{}", tell::of(&story));
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("{error:#}");
            ExitCode::from(UNREADABLE)
        }
    }
}
