//! Sources of log lines. Logs are read twice, as the lines of a request can be told only after all have been read once.

use super::record::LogRecord;
use anyhow::Context;
use std::fs::File;
use std::io::{stdin, BufRead, BufReader};
use std::path::PathBuf;

/// Logs that can be read repeatedly.
pub enum LogSource {
    /// Log files, which are opened for each reading.
    Files(Vec<PathBuf>),
    /// The records of standard input.
    StandardInput(Vec<LogRecord>),
}

impl LogSource {
    /// Opens the given files, or reads standard input if there are none.
    pub fn open(files: Vec<PathBuf>) -> anyhow::Result<LogSource> {
        if !files.is_empty() {
            return Ok(LogSource::Files(files));
        }
        let mut records = Vec::new();
        read_records(stdin().lock(), &mut |record| records.push(record))
            .context("reading standard input")?;
        Ok(LogSource::StandardInput(records))
    }

    /// Calls `visit` with every record, file by file.
    pub fn for_each_record(&self, mut visit: impl FnMut(LogRecord)) -> anyhow::Result<()> {
        match self {
            LogSource::StandardInput(records) => records.iter().cloned().for_each(visit),
            LogSource::Files(files) => {
                for path in files {
                    let name = || path.display().to_string();
                    let file = File::open(path).with_context(name)?;
                    read_records(BufReader::new(file), &mut visit).with_context(name)?;
                }
            }
        }
        Ok(())
    }
}

/// Calls `visit` with every record of an input. Skips lines without an event; bytes that are not UTF-8 are replaced.
fn read_records(mut input: impl BufRead, visit: &mut impl FnMut(LogRecord)) -> std::io::Result<()> {
    let mut bytes = Vec::new();
    while input.read_until(b'\n', &mut bytes)? > 0 {
        if let Some(record) = LogRecord::read(&String::from_utf8_lossy(&bytes)) {
            visit(record);
        }
        bytes.clear();
    }
    Ok(())
}
