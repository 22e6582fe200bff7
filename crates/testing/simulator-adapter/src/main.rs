//! `dunespur-drill`: connects the limiter to a simulator by a line protocol: batches of events on standard input, replies
//! on standard output. It stores invocations and timers and maps names to indices; all decisions are the limiter's.

mod adapter;
mod error;

use adapter::Adapter;
use error::LineError;
use std::io::{stdin, stdout, BufRead, BufReader, BufWriter, Write};

fn run() -> Result<(), LineError> {
    let mut input = BufReader::with_capacity(1 << 20, stdin().lock());
    let mut output = BufWriter::with_capacity(1 << 20, stdout().lock());
    let mut adapter = Adapter::default();
    let mut line = String::new();
    for number in 1u64.. {
        let line_error = |source| LineError { number, source };
        line.clear();
        let read = input.read_line(&mut line);
        if read.map_err(|error| line_error(error.into()))? == 0 {
            break;
        }
        let text = line.trim_end_matches(['\r', '\n']);
        if adapter
            .process_line(text, &mut output)
            .map_err(line_error)?
        {
            output.flush().map_err(|error| line_error(error.into()))?;
        }
    }
    Ok(())
}

fn main() {
    if let Err(error) = run() {
        eprintln!("dunespur-drill: {error}");
        std::process::exit(2);
    }
}
