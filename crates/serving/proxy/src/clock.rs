//! The steady clock of the data plane, in milliseconds since its start.

use tokio::time::{Duration, Instant};

/// Counts from its making.
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
        self.origin.elapsed().as_millis() as u64
    }

    /// The moment at which this clock shows `at_ms`.
    pub(crate) fn instant(&self, at_ms: u64) -> Instant {
        self.origin + Duration::from_millis(at_ms)
    }
}
