//! The records on a voter's disk. The encoding is positional, so the order of fields must not change.

use crate::raft_types::{Entry, HardState, Snapshot};
use crate::table::Group;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A voter's record of its own disk and of the other voters' disks.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DiskMeta {
    /// Random identity, drawn when the disk was first used; a vote belongs to a disk, not to a name.
    pub disk: u64,
    /// How often a voter has started with this disk.
    pub starts: u64,
    /// The original members of the group that the disk belongs to, if any.
    pub group: Option<Group>,
    /// Known progress of the other voters' disks.
    pub peers: BTreeMap<u64, DiskProgress>,
}

/// Known progress of another voter's disk.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DiskProgress {
    /// How often its voter had started.
    pub starts: u64,
    /// The nonce of the last known start.
    pub nonce: u64,
    /// The latest term known from the voter's messages.
    pub term: u64,
    /// The greatest index known to be on the disk in that term.
    pub last_index: u64,
}

/// One atomic write to the disk.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct WriteBatch {
    /// Number of the write; it grows with every write since the start.
    pub number: u64,
    /// Erase everything on the disk first.
    pub wipe: bool,
    /// Replaces the record of the disks.
    pub meta: Option<DiskMeta>,
    /// Replaces the term, vote and commit index.
    pub hard_state: Option<HardState>,
    /// Replaces the snapshot and removes the entries that it covers.
    pub snapshot: Option<Snapshot>,
    /// Appended; stored entries from the first new index on are replaced.
    pub entries: Vec<Entry>,
}

/// The contents of a disk when its voter starts.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DiskState {
    /// The record of the disks.
    pub meta: DiskMeta,
    /// Term, vote and commit index.
    pub hard_state: HardState,
    /// The last snapshot.
    pub snapshot: Snapshot,
    /// The entries after it, without a gap.
    pub entries: Vec<Entry>,
}

impl DiskState {
    /// Applies a write; used for disks that exist only in memory.
    pub fn apply(&mut self, batch: &WriteBatch) {
        if batch.wipe {
            *self = DiskState::default();
        }
        if let Some(meta) = &batch.meta {
            self.meta = meta.clone();
        }
        if let Some(hard_state) = batch.hard_state {
            self.hard_state = hard_state;
        }
        if let Some(snapshot) = &batch.snapshot {
            self.snapshot = snapshot.clone();
            self.entries.retain(|entry| entry.index > snapshot.index);
        }
        if let Some(first) = batch.entries.first() {
            self.entries.retain(|entry| entry.index < first.index);
            self.entries.extend(batch.entries.iter().cloned());
        }
    }
}
