//! The two life cycles of a store: filling a new disk, and draining.

use crate::membership::StoreEntry;

/// How far the store is with its disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BootstrapPhase {
    /// A new disk; some present store does not know of this one yet, so no turns are accepted.
    Joining,
    /// A new disk that is being filled; turns are accepted.
    Backfilling,
    /// Everything is there; that is being recorded on disk.
    Marking,
    /// Everything is there.
    Complete,
}

/// Whether the store is in use or draining.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Lifecycle {
    Active,
    Draining {
        epoch: u64,
    },
    /// It has declared that it is drained and accepts nothing, until the core has agreed or the epoch has ended.
    Drained {
        epoch: u64,
    },
    /// The core has agreed that it is drained.
    Retired,
}

impl Lifecycle {
    /// What the membership requires of the store with this entry.
    pub(super) fn required_by(entry: Option<&StoreEntry>) -> Self {
        match entry {
            Some(own) if own.retired => Self::Retired,
            Some(own) if own.retiring => Self::Draining { epoch: own.epoch },
            _ => Self::Active,
        }
    }
}
