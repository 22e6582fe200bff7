//! The steady clock that all stand-ins of a test share.

use std::time::Instant;

/// Milliseconds since the test's start.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// A clock that begins now.
    #[must_use]
    pub fn start() -> Clock {
        Clock {
            start: Instant::now(),
        }
    }

    /// Milliseconds since its start.
    #[must_use]
    pub fn now_ms(&self) -> u64 {
        u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Microseconds since its start.
    #[must_use]
    pub fn now_us(&self) -> u64 {
        u64::try_from(self.start.elapsed().as_micros()).unwrap_or(u64::MAX)
    }
}
