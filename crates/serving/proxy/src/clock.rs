//! The monotonic clock of the data plane, in milliseconds since its start.

use tokio::time::{Duration, Instant};

/// Counts milliseconds from its creation.
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

    /// The moment at which this clock shows `at_ms`.
    pub(crate) fn instant(&self, at_ms: u64) -> Instant {
        self.origin + Duration::from_millis(at_ms)
    }
}
