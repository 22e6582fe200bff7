//! The progress of a member out of the chain, which learns the commits from the tail.

use crate::log::LogIndex;
use crate::timing::Millis;

#[derive(Clone, Debug, Default)]
pub(crate) struct Learner {
    /// When to fetch from the tail next.
    pub(crate) next_fetch_at: Millis,
    /// The index up to which the tail has reported entries as committed.
    pub(crate) known_commit_index: LogIndex,
}
