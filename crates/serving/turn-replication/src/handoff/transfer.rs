//! One transfer: turns that are offered to another store and sent to it if that store does not hold them.

use crate::index::Index;
use crate::message::PAGE_BYTES;

/// The reason for a transfer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum TransferReason {
    /// The turns were accepted as a substitute for the other store.
    Hints,
    /// This store drains: the turns are one page of the turns that the other store should hold.
    Drain {
        /// The following page begins after this id; `None` on the last page.
        next: Option<String>,
    },
}

/// The current step of a transfer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Step {
    /// Waits for the reply to the offer.
    Offering,
    /// The next missing turns can be read.
    Ready,
    /// Waits for the disk.
    Reading,
    /// Waits for the acknowledgement of the sent turns.
    Sending,
}

/// A transfer of turns to one other store.
#[derive(Debug)]
pub(super) struct Transfer {
    pub(super) peer: String,
    pub(super) reason: TransferReason,
    /// Ids of the offered turns.
    pub(super) offered: Vec<String>,
    /// Ids of the offered turns that the other store lacks and that were not sent yet, the next one last.
    pub(super) missing: Vec<String>,
    pub(super) step: Step,
}

impl Transfer {
    pub(super) fn new(peer: &str, reason: TransferReason, offered: Vec<String>) -> Self {
        Self {
            peer: peer.to_owned(),
            reason,
            offered,
            missing: Vec::new(),
            step: Step::Offering,
        }
    }

    /// Removes and returns the ids of as many missing turns as one message may carry.
    pub(super) fn next_ids(&mut self, index: &Index) -> Vec<String> {
        let mut ids = Vec::new();
        let mut bytes = 0;
        while let Some(id) = self.missing.last() {
            let size = index.size(id);
            if !ids.is_empty() && bytes + size.unwrap_or(0) > PAGE_BYTES {
                break;
            }
            let id = self.missing.pop();
            // A turn without a size has expired in the meantime and need not be handed over.
            ids.extend(id.filter(|_| size.is_some()));
            bytes += size.unwrap_or(0);
        }
        ids
    }
}
