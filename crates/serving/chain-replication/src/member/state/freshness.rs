//! An upper bound on the age of the state that a member of the chain has applied.
//!
//! An entry is committed only when every member of the chain has it in its log. So once a member has applied its log up
//! to where it ended at some time, it has applied everything committed by that time. A member that has a quorum but has
//! long lagged behind its own log may show outdated state: the commit index reaches it late, for example while a member
//! between it and the tail is suspended.

use crate::log::LogIndex;
use crate::timing::{Millis, FRESHNESS_TIMEOUT};

#[derive(Clone, Debug, Default)]
pub(crate) struct Freshness {
    /// Everything committed before this time is applied; `None` until this is known for some time.
    complete_as_of: Option<Millis>,
    checkpoint: Checkpoint,
}

/// The end of the log at some time.
#[derive(Clone, Copy, Debug, Default)]
struct Checkpoint {
    index: LogIndex,
    at: Millis,
}

impl Freshness {
    /// The freshness when the member's process starts or its log has become complete as of its view, with the log ending
    /// at `last`.
    pub(crate) fn starting(last: LogIndex, now: Millis) -> Freshness {
        Freshness {
            complete_as_of: None,
            checkpoint: Checkpoint {
                index: last,
                at: now,
            },
        }
    }

    /// Records that commits are applied up to `commit_index`, and that the log ends at `last`.
    pub(crate) fn update(&mut self, commit_index: LogIndex, last: LogIndex, now: Millis) {
        if commit_index >= self.checkpoint.index {
            self.complete_as_of = Some(self.checkpoint.at);
            self.checkpoint = Checkpoint {
                index: last,
                at: now,
            };
        }
    }

    /// Whether all commits are applied, except possibly those of the last [`FRESHNESS_TIMEOUT`].
    pub(crate) fn is_fresh(&self, commit_index: LogIndex, last: LogIndex, now: Millis) -> bool {
        commit_index >= last
            || self
                .complete_as_of
                .is_some_and(|at| now <= at + FRESHNESS_TIMEOUT)
    }
}
