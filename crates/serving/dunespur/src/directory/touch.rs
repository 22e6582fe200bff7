//! Whether this process is in touch with the core.

#[cfg(test)]
mod tests;

use std::cell::Cell;

/// This process counts as out of touch when the newest watch that was answered was sent longer ago, in milliseconds: a
/// watch without news is held for 0.4 s, and two silent members are given up meanwhile.
const IN_TOUCH_MS: u64 = 2_400;

/// When the core was last known to be reached, in steady milliseconds.
#[derive(Default)]
pub(super) struct Touch {
    /// When the newest watch that was answered was sent; 0 until the first. Not when the answer came: a process that
    /// was frozen finds old answers in its sockets.
    confirmed_at: Cell<u64>,
}

impl Touch {
    /// A watch that was sent then has been answered.
    pub(super) fn answered(&self, sent_at: u64) {
        self.confirmed_at.set(self.confirmed_at.get().max(sent_at));
    }

    /// Time since the newest watch was sent that was answered; none until the first.
    pub(super) fn silent_ms(&self, now: u64) -> Option<u64> {
        let confirmed_at = Some(self.confirmed_at.get()).filter(|at| *at > 0)?;
        Some(now.saturating_sub(confirmed_at))
    }

    /// Whether a core member has answered lately.
    pub(super) fn holds(&self, now: u64) -> bool {
        self.silent_ms(now)
            .is_some_and(|silence| silence < IN_TOUCH_MS)
    }

    /// Whether core members have answered before, but not lately.
    pub(super) fn is_lost(&self, now: u64) -> bool {
        self.confirmed_at.get() > 0 && !self.holds(now)
    }
}
