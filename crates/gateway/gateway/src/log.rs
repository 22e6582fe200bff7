//! Logger of the `log` crate: writes one line per record to standard error. The level comes from `RELAY_LOG`, else it
//! is info. The number of lines per second is limited, records are not kept, and write errors are ignored.

use log::{Level, LevelFilter, Log, Metadata, Record};
use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::OnceLock;
use std::time::Instant;

/// Lines written per second; further lines are dropped and counted.
const MAX_LINES_PER_SECOND: u64 = 100;

#[derive(Default)]
struct RateLimitedLogger {
    started: OnceLock<Instant>,
    second: AtomicU64,
    lines: AtomicU64,
}

impl RateLimitedLogger {
    /// Whether one more line may be written, and how many lines were dropped in an earlier second.
    fn admit(&self, second: u64) -> (bool, u64) {
        let mut dropped = 0;
        if self.second.swap(second, Ordering::Relaxed) != second {
            dropped = self
                .lines
                .swap(0, Ordering::Relaxed)
                .saturating_sub(MAX_LINES_PER_SECOND);
        }
        (
            self.lines.fetch_add(1, Ordering::Relaxed) < MAX_LINES_PER_SECOND,
            dropped,
        )
    }
}

impl Log for RateLimitedLogger {
    fn enabled(&self, metadata: &Metadata) -> bool {
        // Of other crates, only warnings and errors are logged.
        metadata.target().starts_with("dunespur") || metadata.level() <= Level::Warn
    }

    fn log(&self, record: &Record) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let (admitted, dropped) =
            self.admit(self.started.get_or_init(Instant::now).elapsed().as_secs());
        let mut text = String::new();
        if dropped > 0 {
            text += &format!("warn {dropped} lines left out\n");
        }
        if admitted {
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

/// Installs the logger; a second call has no effect.
pub fn start(level: Option<&str>) {
    let level = level
        .and_then(|l| l.parse().ok())
        .unwrap_or(LevelFilter::Info);
    if log::set_boxed_logger(Box::new(RateLimitedLogger::default())).is_ok() {
        log::set_max_level(level);
    }
}

#[cfg(test)]
mod tests;
