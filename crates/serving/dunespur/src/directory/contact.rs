//! Whether this process is in contact with the core.

#[cfg(test)]
mod tests;

use std::cell::Cell;

/// Contact is lost once the newest answered watch was sent this many milliseconds ago. A watch without changes is
/// answered after 0.4 s, so two members may time out in the meantime.
const CONTACT_TIMEOUT_MS: u64 = 2_400;

/// Tracks when the core was last known to be reachable, in steady milliseconds.
#[derive(Default)]
pub(super) struct Contact {
    /// When the newest answered watch was sent; 0 until the first answer. The time of the answer does not count: after
    /// a process was frozen, its sockets may hold old answers.
    confirmed_at: Cell<u64>,
}

impl Contact {
    /// Records the answer to a watch that was sent at `started_at`.
    pub(super) fn confirm(&self, started_at: u64) {
        self.confirmed_at
            .set(self.confirmed_at.get().max(started_at));
    }

    /// Time since the newest answered watch was sent; `None` until the first answer.
    pub(super) fn silent_ms(&self, now: u64) -> Option<u64> {
        let confirmed_at = Some(self.confirmed_at.get()).filter(|at| *at > 0)?;
        Some(now.saturating_sub(confirmed_at))
    }

    /// Whether the newest answered watch was sent within [`CONTACT_TIMEOUT_MS`].
    pub(super) fn is_present(&self, now: u64) -> bool {
        self.silent_ms(now)
            .is_some_and(|silent_ms| silent_ms < CONTACT_TIMEOUT_MS)
    }

    /// Whether a watch has been answered before, but none that was sent within [`CONTACT_TIMEOUT_MS`].
    pub(super) fn is_lost(&self, now: u64) -> bool {
        self.confirmed_at.get() > 0 && !self.is_present(now)
    }
}
