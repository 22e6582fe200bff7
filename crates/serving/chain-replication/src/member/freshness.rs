//! How old the state is at most that a member of the chain has given out.
//!
//! Nothing is committed without every member of the chain having it in its log. So all that was committed up to a
//! moment has been given out here once the log has been given out as far as it went at that moment. A member that is
//! current and lags behind its own log for long may show what was replaced long ago: commits of others reach it late,
//! as when the member between it and the tail stands still.

use crate::timing::{Millis, COMMITS_KNOWN_WITHIN};

#[derive(Clone, Debug, Default)]
pub(super) struct Freshness {
    /// All that was committed before has been given out; never so far.
    known_at: Option<Millis>,
    /// Where the log ended, and when.
    mark: Mark,
}

#[derive(Clone, Copy, Debug, Default)]
struct Mark {
    index: u64,
    at: Millis,
}

impl Freshness {
    /// The member has taken its place in the chain, or its process has started: its log ends at `last`.
    pub(super) fn begins(last: u64, now: Millis) -> Freshness {
        Freshness {
            known_at: None,
            mark: Mark {
                index: last,
                at: now,
            },
        }
    }

    /// Commits were given out up to `committed`, and the log ends at `last`.
    pub(super) fn note(&mut self, committed: u64, last: u64, now: Millis) {
        if committed >= self.mark.index {
            self.known_at = Some(self.mark.at);
            self.mark = Mark {
                index: last,
                at: now,
            };
        }
    }

    /// Whether all that was committed has been given out, but what was in the last moments.
    pub(super) fn is_fresh(&self, committed: u64, last: u64, now: Millis) -> bool {
        committed >= last
            || self
                .known_at
                .is_some_and(|at| now <= at + COMMITS_KNOWN_WITHIN)
    }
}
