//! The logger behind the `log` crate: one line an entry on standard error. Owns the format and the level
//! (`RELAY_LOG`, else info). It must never keep entries, and never fail or panic when nobody reads them.

use log::{Level, LevelFilter, Log, Metadata, Record};
use std::io::Write;

struct Lines;

impl Log for Lines {
    fn enabled(&self, metadata: &Metadata) -> bool {
        // The libraries' own entries are worth reading only when something is wrong with them.
        metadata.target().starts_with("dunespur") || metadata.level() <= Level::Warn
    }

    fn log(&self, record: &Record) {
        if self.enabled(record.metadata()) {
            let line = format!("{} {}\n", record.level().as_str().to_ascii_lowercase(), record.args());
            let _ = std::io::stderr().write_all(line.as_bytes());
        }
    }

    fn flush(&self) {}
}

/// Starts logging; a second call changes nothing.
pub fn start(level: Option<&str>) {
    let level = level.and_then(|l| l.parse().ok()).unwrap_or(LevelFilter::Info);
    if log::set_logger(&Lines).is_ok() {
        log::set_max_level(level);
    }
}
