//! The clocks of a process: a steady clock for timers, and the wall clock for times that outlive the process.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A steady clock in milliseconds, counted from the start of the process.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

/// The steady time at the start of the process, so that 0 can stand for "never".
const FIRST_MILLISECOND: u64 = 1;

impl Clock {
    /// Starts the clock.
    pub fn start() -> Clock {
        Clock {
            start: Instant::now(),
        }
    }

    /// The current steady time in milliseconds.
    pub fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64 + FIRST_MILLISECOND
    }

    /// Converts a steady time in milliseconds to an [`Instant`].
    pub fn instant(&self, steady_ms: u64) -> Instant {
        self.start + Duration::from_millis(steady_ms.saturating_sub(FIRST_MILLISECOND))
    }
}

/// The wall clock time in milliseconds since 1970.
pub fn wall_clock_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since_epoch| since_epoch.as_millis() as u64)
}
