//! The two life cycles of a store: filling a new disk, and draining.

use crate::membership::StoreEntry;

/// Progress of filling the store's disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BootstrapPhase {
    /// The disk is new and some present store does not know this store yet, so that no turns are accepted.
    Joining,
    /// The disk is new and is being filled; turns are accepted.
    Backfilling,
    /// All turns are stored, and the record that the disk is complete is being written.
    Marking,
    /// The disk is recorded as complete.
    Complete,
}

/// Whether the store is in use, draining or drained.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Lifecycle {
    /// The store is in use.
    Active,
    /// The store hands its turns to the replicas of the membership epoch `epoch`.
    Draining { epoch: u64 },
    /// The store has declared that it is drained and accepts no turns, until the core has agreed or the epoch has
    /// ended.
    Drained { epoch: u64 },
    /// The core has agreed that the store is drained.
    Retired,
}

impl Lifecycle {
    /// The state that the membership requires of the store with this entry.
    pub(super) fn required_by(entry: Option<&StoreEntry>) -> Self {
        match entry {
            Some(own) if own.retired => Self::Retired,
            Some(own) if own.retiring => Self::Draining { epoch: own.epoch },
            _ => Self::Active,
        }
    }
}
