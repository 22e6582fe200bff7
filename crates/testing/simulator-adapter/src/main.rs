//! Runs the decisions over a test bench's line protocol: batches in, replies out. It keeps timers and
//! invocations in hand, turns names into small indices, and decides nothing.

mod host;

use host::Wire;
use std::io::{stdin, stdout, BufRead, BufReader, BufWriter, Write};

fn run() -> Result<(), String> {
    let mut input = BufReader::with_capacity(1 << 20, stdin().lock());
    let mut output = BufWriter::with_capacity(1 << 20, stdout().lock());
    let mut wire = Wire::default();
    let mut line = String::new();
    let mut number = 0u64;
    loop {
        line.clear();
        number += 1;
        let fail = |e: String| format!("line {number}: {e}");
        if input
            .read_line(&mut line)
            .map_err(|e| fail(e.to_string()))?
            == 0
        {
            return Ok(());
        }
        let ended = wire
            .line(line.trim_end_matches(['\r', '\n']), &mut output)
            .map_err(fail)?;
        if ended {
            output.flush().map_err(|e| fail(e.to_string()))?;
        }
    }
}

fn main() {
    if let Err(e) = run() {
        eprintln!("dunespur-drill: {e}");
        std::process::exit(2);
    }
}
