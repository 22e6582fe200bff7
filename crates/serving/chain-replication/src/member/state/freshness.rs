//! How old the state is at most that a member of the chain has applied.
//!
//! Nothing is committed without every member of the chain having it in its log. So all that was committed up to a moment
//! is applied here once the log is applied as far as it went at that moment. A member that has a quorum and lags behind
//! its own log for long may show what was replaced long ago: commits of others reach it late, as when the member between
//! it and the tail is suspended.

use crate::log::LogIndex;
use crate::timing::{Millis, FRESHNESS_TIMEOUT};

#[derive(Clone, Debug, Default)]
pub(crate) struct Freshness {
    /// All that was committed before this time is applied; never so far.
    complete_as_of: Option<Millis>,
    checkpoint: Checkpoint,
}

/// Where the log ended, and when.
#[derive(Clone, Copy, Debug, Default)]
struct Checkpoint {
    index: LogIndex,
    at: Millis,
}

impl Freshness {
    /// The member has synced in its view, or its process has started: its log ends at `last`.
    pub(crate) fn starting(last: LogIndex, now: Millis) -> Freshness {
        Freshness {
            complete_as_of: None,
            checkpoint: Checkpoint {
                index: last,
                at: now,
            },
        }
    }

    /// Commits were applied up to `commit_index`, and the log ends at `last`.
    pub(crate) fn update(&mut self, commit_index: LogIndex, last: LogIndex, now: Millis) {
        if commit_index >= self.checkpoint.index {
            self.complete_as_of = Some(self.checkpoint.at);
            self.checkpoint = Checkpoint {
                index: last,
                at: now,
            };
        }
    }

    /// Whether all that was committed is applied, but for what was committed in the last moments.
    pub(crate) fn is_fresh(&self, commit_index: LogIndex, last: LogIndex, now: Millis) -> bool {
        commit_index >= last
            || self
                .complete_as_of
                .is_some_and(|at| now <= at + FRESHNESS_TIMEOUT)
    }
}
