//! The streams of entries along the chain, as one member sees them.

use crate::log::LogIndex;
use crate::timing::Millis;

/// The role of a member in the chain of its view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// The member is not in the chain. If it is in the view, it learns the commits from the tail.
    OutOfChain,
    /// The member has promised the next view and no longer participates in the chain.
    Sealed,
    /// The member's log doesn't include all of its predecessor's log yet.
    CatchingUp,
    /// The log includes the predecessor's log, and the record of this is being written to disk.
    Syncing,
    /// The record is on disk: the member forwards entries, and as the tail commits them.
    Synced,
}

/// The stream from the predecessor.
#[derive(Clone, Debug, Default)]
pub(crate) struct Upstream {
    /// When this member last requested entries from its predecessor.
    pub(crate) resume_sent_at: Option<Millis>,
}

impl Upstream {
    /// Postpones the next request for entries, because a snapshot is being received.
    pub(crate) fn snapshot_received(&mut self, now: Millis) {
        self.resume_sent_at = Some(now);
    }
}

/// The stream to the successor.
#[derive(Clone, Debug, Default)]
pub(crate) struct Downstream {
    /// Index up to which entries were sent.
    pub(crate) sent_index: LogIndex,
    /// The successor has replied in this view.
    pub(crate) is_established: bool,
    /// When entries or a query were last sent, or an acknowledgement last arrived.
    pub(crate) active_at: Millis,
}

impl Downstream {
    /// Records an acknowledgement or a request of the successor.
    pub(crate) fn acknowledged(&mut self, now: Millis) {
        self.is_established = true;
        self.active_at = now;
    }

    /// Makes the stream continue after the snapshot that the successor has received, which ends at `index`.
    pub(crate) fn resume_after_snapshot(&mut self, index: LogIndex, now: Millis) {
        self.sent_index = index;
        self.active_at = now;
    }
}
