//! Whether this process is in contact with the core.

#[cfg(test)]
mod tests;

use std::cell::Cell;

/// Contact counts as lost when the newest watch that was answered was sent longer ago, in milliseconds: a
/// watch without changes is answered after 0.4 s, and two members that do not answer are given up meanwhile.
const CONTACT_TIMEOUT_MS: u64 = 2_400;

/// When the core was last known to be reached, in steady milliseconds.
#[derive(Default)]
pub(super) struct Contact {
    /// When the newest watch that was answered was sent; 0 until the first. Not when the answer came: a process that
    /// was frozen finds old answers in its sockets.
    confirmed_at: Cell<u64>,
}

impl Contact {
    /// A watch that was sent then has been answered.
    pub(super) fn confirm(&self, started_at: u64) {
        self.confirmed_at
            .set(self.confirmed_at.get().max(started_at));
    }

    /// Time since the newest watch was sent that was answered; none until the first.
    pub(super) fn silent_ms(&self, now: u64) -> Option<u64> {
        let confirmed_at = Some(self.confirmed_at.get()).filter(|at| *at > 0)?;
        Some(now.saturating_sub(confirmed_at))
    }

    /// Whether a core member has answered lately.
    pub(super) fn is_present(&self, now: u64) -> bool {
        self.silent_ms(now)
            .is_some_and(|silence| silence < CONTACT_TIMEOUT_MS)
    }

    /// Whether core members have answered before, but not lately.
    pub(super) fn is_lost(&self, now: u64) -> bool {
        self.confirmed_at.get() > 0 && !self.is_present(now)
    }
}
