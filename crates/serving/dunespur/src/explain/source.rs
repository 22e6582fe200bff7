//! Where log lines come from. They are read twice: what belongs to a request is known only at the end of its lines.

use super::record::LogRecord;
use anyhow::Context;
use std::fs::File;
use std::io::{stdin, BufRead, BufReader};
use std::path::PathBuf;

/// Logs that can be read again and again.
pub enum Source {
    Files(Vec<PathBuf>),
    /// The events of standard input.
    Lines(Vec<LogRecord>),
}

impl Source {
    /// The files; standard input where there are none.
    pub fn open(files: Vec<PathBuf>) -> anyhow::Result<Source> {
        if !files.is_empty() {
            return Ok(Source::Files(files));
        }
        let mut records = Vec::new();
        read(stdin().lock(), &mut |record| records.push(record)).context("standard input")?;
        Ok(Source::Lines(records))
    }

    /// Calls `take` with every event, file by file.
    pub fn each(&self, mut take: impl FnMut(LogRecord)) -> anyhow::Result<()> {
        match self {
            Source::Lines(records) => records.iter().cloned().for_each(take),
            Source::Files(files) => {
                for path in files {
                    let name = || path.display().to_string();
                    let file = File::open(path).with_context(name)?;
                    read(BufReader::new(file), &mut take).with_context(name)?;
                }
            }
        }
        Ok(())
    }
}

/// Lines that are no events are passed over; bytes that are no text as well.
fn read(mut input: impl BufRead, take: &mut impl FnMut(LogRecord)) -> std::io::Result<()> {
    let mut bytes = Vec::new();
    while input.read_until(b'\n', &mut bytes)? > 0 {
        if let Some(record) = LogRecord::read(&String::from_utf8_lossy(&bytes)) {
            take(record);
        }
        bytes.clear();
    }
    Ok(())
}
