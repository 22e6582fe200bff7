//! Log lines on standard error with time, machine, role, level and text, either as plain text or as one JSON object per
//! line.
//!
//! Each line is written by one system call, so that lines of processes that share a file do not mix, and to save
//! processor time, which is priced.

use crate::clock::wall_clock_ms;
use crate::settings::Role;
use crate::utc::Utc;
use log::{Log, Metadata, Record};
use serde::Serialize;
use simplelog::{ConfigBuilder, LevelFilter, WriteLogger};
use std::fmt;
use std::io::{self, Write};
use std::str::FromStr;
use thiserror::Error;

/// The line buffer is shrunk to this capacity after a longer line, in bytes.
const MAX_RETAINED_CAPACITY: usize = 16 * 1024;

/// The format of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// Plain text, for people.
    Text,
    /// One JSON object per line, for programs.
    Json,
}

/// The error for a text that is not the name of a log format.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("unknown log format: use text or json")]
pub struct UnknownLogFormat;

impl FromStr for LogFormat {
    type Err = UnknownLogFormat;

    fn from_str(text: &str) -> Result<LogFormat, UnknownLogFormat> {
        match text {
            "text" => Ok(LogFormat::Text),
            "json" => Ok(LogFormat::Json),
            _ => Err(UnknownLogFormat),
        }
    }
}

impl fmt::Display for LogFormat {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            LogFormat::Text => "text",
            LogFormat::Json => "json",
        })
    }
}

/// The process that writes the log lines.
#[derive(Clone, Debug)]
pub struct LogOrigin {
    /// The machine's name.
    pub node: String,
    /// The role of the process.
    pub role: Role,
}

/// Installs the logger of the process.
pub fn start(level: LevelFilter, format: LogFormat, origin: LogOrigin) {
    match format {
        LogFormat::Text => start_text(level, &origin),
        LogFormat::Json => start_json(level, origin),
    }
}

fn start_text(level: LevelFilter, origin: &LogOrigin) {
    let config = ConfigBuilder::new()
        .set_time_level(LevelFilter::Off)
        .set_thread_level(LevelFilter::Off)
        .set_target_level(LevelFilter::Off)
        .set_location_level(LevelFilter::Off)
        .build();
    let prefix = format!("{} {}", origin.node, origin.role.name());
    let _ = WriteLogger::init(
        level,
        config,
        TextWriter {
            prefix,
            buffer: Vec::new(),
        },
    );
}

fn start_json(level: LevelFilter, origin: LogOrigin) {
    if log::set_boxed_logger(Box::new(JsonLogger { level, origin })).is_ok() {
        log::set_max_level(level);
    }
}

/// Collects the chunks of a line, prefixes it with time, machine and role, and writes it at once.
struct TextWriter {
    prefix: String,
    buffer: Vec<u8>,
}

impl TextWriter {
    fn flush_line(&mut self) -> io::Result<()> {
        let result = io::stderr().write_all(&self.buffer);
        self.buffer.clear();
        self.buffer.shrink_to(MAX_RETAINED_CAPACITY);
        result
    }
}

impl Write for TextWriter {
    fn write(&mut self, chunk: &[u8]) -> io::Result<usize> {
        for line_part in chunk.split_inclusive(|byte| *byte == b'\n') {
            if self.buffer.is_empty() {
                write!(self.buffer, "{} {} ", Utc(wall_clock_ms()), self.prefix)?;
            }
            self.buffer.extend_from_slice(line_part);
            if line_part.ends_with(b"\n") {
                self.flush_line()?;
            }
        }
        Ok(chunk.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes each record as one JSON object.
struct JsonLogger {
    level: LevelFilter,
    origin: LogOrigin,
}

/// One JSON log line, which `explain` reads back.
#[derive(Serialize)]
struct JsonRecord<'a> {
    time: String,
    node: &'a str,
    role: &'a str,
    level: &'a str,
    text: String,
}

impl Log for JsonLogger {
    fn enabled(&self, metadata: &Metadata) -> bool {
        metadata.level() <= self.level
    }

    fn log(&self, record: &Record) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let line = JsonRecord {
            time: Utc(wall_clock_ms()).to_string(),
            node: &self.origin.node,
            role: self.origin.role.name(),
            level: record.level().as_str(),
            text: record.args().to_string(),
        };
        let Ok(mut bytes) = serde_json::to_vec(&line) else {
            return;
        };
        bytes.push(b'\n');
        // A failure to write a log line can't be reported anywhere.
        let _ = io::stderr().write_all(&bytes);
    }

    fn flush(&self) {}
}
