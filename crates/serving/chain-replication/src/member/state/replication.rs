//! The streams of entries along the chain, as one member sees them.

use crate::log::LogIndex;
use crate::timing::Millis;

/// The role of a member in the chain of its view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// It is not in the chain. If it is a member, it learns the commits from the tail.
    OutOfChain,
    /// It has promised the next view.
    Sealed,
    /// Its log doesn't include its predecessor's yet.
    CatchingUp,
    /// Its log does, and that is on its way to the disk.
    Syncing,
    /// That is on disk: it forwards entries, and at the tail commits them.
    Synced,
}

/// The stream from the predecessor.
#[derive(Clone, Debug, Default)]
pub(crate) struct Upstream {
    /// When this member last requested entries from its position.
    pub(crate) resume_sent_at: Option<Millis>,
}

impl Upstream {
    /// A snapshot is on its way: no need to request entries.
    pub(crate) fn snapshot_received(&mut self, now: Millis) {
        self.resume_sent_at = Some(now);
    }
}

/// The stream to the successor.
#[derive(Clone, Debug, Default)]
pub(crate) struct Downstream {
    /// Entries were sent up to here.
    pub(crate) sent_index: LogIndex,
    /// The successor has replied in this view.
    pub(crate) is_established: bool,
    /// When something was last sent or acknowledged.
    pub(crate) active_at: Millis,
}

impl Downstream {
    /// Something of the successor has come.
    pub(crate) fn acknowledged(&mut self, now: Millis) {
        self.is_established = true;
        self.active_at = now;
    }

    /// The successor has received a snapshot that ends at `index`.
    pub(crate) fn resume_after_snapshot(&mut self, index: LogIndex, now: Millis) {
        self.sent_index = index;
        self.active_at = now;
    }
}
