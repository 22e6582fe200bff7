//! The monotonic clock of the data plane.

use tokio::time::{Duration, Instant};

/// Measures milliseconds since its creation.
pub(crate) struct Clock {
    origin: Instant,
}

impl Clock {
    pub(crate) fn new() -> Clock {
        Clock {
            origin: Instant::now(),
        }
    }

    pub(crate) fn now_ms(&self) -> u64 {
        u64::try_from(self.origin.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Converts a time of this clock to a tokio `Instant`.
    pub(crate) fn instant(&self, at_ms: u64) -> Instant {
        self.origin + Duration::from_millis(at_ms)
    }
}
