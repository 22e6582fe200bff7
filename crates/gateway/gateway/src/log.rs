//! The logger behind the `log` crate: one line an entry on standard error. Owns the format, the level
//! (`RELAY_LOG`, else info) and how much is written. It must never keep entries, flood whoever reads them,
//! or fail or panic when nobody does.

use log::{Level, LevelFilter, Log, Metadata, Record};
use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::OnceLock;
use std::time::Instant;

/// Lines in a second; what is over is left out and counted.
const MOST: u64 = 100;

#[derive(Default)]
struct Lines {
    began: OnceLock<Instant>,
    second: AtomicU64,
    lines: AtomicU64,
}

impl Lines {
    /// Whether one more line is due, and how many were left out in an earlier second.
    fn admit(&self, second: u64) -> (bool, u64) {
        let mut left_out = 0;
        if self.second.swap(second, Ordering::Relaxed) != second {
            left_out = self.lines.swap(0, Ordering::Relaxed).saturating_sub(MOST);
        }
        (self.lines.fetch_add(1, Ordering::Relaxed) < MOST, left_out)
    }
}

impl Log for Lines {
    fn enabled(&self, metadata: &Metadata) -> bool {
        // The libraries' own entries are worth reading only when something is wrong with them.
        metadata.target().starts_with("dunespur") || metadata.level() <= Level::Warn
    }

    fn log(&self, record: &Record) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let (due, left_out) = self.admit(self.began.get_or_init(Instant::now).elapsed().as_secs());
        let mut text = String::new();
        if left_out > 0 {
            text += &format!("warn {left_out} lines left out\n");
        }
        if due {
            text += &format!(
                "{} {}\n",
                record.level().as_str().to_ascii_lowercase(),
                record.args()
            );
        }
        let _ = std::io::stderr().write_all(text.as_bytes());
    }

    fn flush(&self) {}
}

/// Starts logging; a second call changes nothing.
pub fn start(level: Option<&str>) {
    let level = level
        .and_then(|l| l.parse().ok())
        .unwrap_or(LevelFilter::Info);
    if log::set_boxed_logger(Box::new(Lines::default())).is_ok() {
        log::set_max_level(level);
    }
}

#[cfg(test)]
mod tests;
