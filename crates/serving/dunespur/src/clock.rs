//! The clocks of a process: a steady one for timers, the time of day for what outlives the process.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Milliseconds of the steady clock since the process started.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

/// A steady time before the start of the process does not exist; the first moment is this one, so that zero can
/// stand for "never".
const FIRST_MILLISECOND: u64 = 1;

impl Clock {
    /// The clock of a process that starts now.
    pub fn start() -> Clock {
        Clock {
            start: Instant::now(),
        }
    }

    /// Steady milliseconds.
    pub fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64 + FIRST_MILLISECOND
    }

    /// The moment of a steady time.
    pub fn instant(&self, at: u64) -> Instant {
        self.start + Duration::from_millis(at.saturating_sub(FIRST_MILLISECOND))
    }
}

/// Milliseconds of the time of day.
pub fn wall_clock_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |time| time.as_millis() as u64)
}
