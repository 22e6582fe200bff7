//! `dunespur-drill`: runs the decisions over a test bench's line protocol: batches in, replies out. It keeps timers and
//! invocations in hand, turns names into small indices, and decides nothing.

mod error;
mod host;

use error::LineError;
use host::Wire;
use std::io::{stdin, stdout, BufRead, BufReader, BufWriter, Write};

fn run() -> Result<(), LineError> {
    let mut input = BufReader::with_capacity(1 << 20, stdin().lock());
    let mut output = BufWriter::with_capacity(1 << 20, stdout().lock());
    let mut wire = Wire::default();
    let mut line = String::new();
    for number in 1u64.. {
        let fail = |source| LineError { number, source };
        line.clear();
        let read = input.read_line(&mut line);
        if read.map_err(|error| fail(error.into()))? == 0 {
            break;
        }
        let text = line.trim_end_matches(['\r', '\n']);
        if wire.line(text, &mut output).map_err(fail)? {
            output.flush().map_err(|error| fail(error.into()))?;
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
