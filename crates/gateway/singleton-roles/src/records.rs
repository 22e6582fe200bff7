//! The records on a voter's disk. The encoding goes by position and order: fields keep theirs.

use crate::raft_types::{Entry, HardState, Snapshot};
use crate::table::Group;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// What a voter knows of its own disk and of others'.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DiskMeta {
    /// Drawn when the disk was first used: a vote belongs to a disk, not to a name.
    pub disk: u64,
    /// How often a voter started with it.
    pub starts: u64,
    /// The group it belongs to, as it was formed.
    pub group: Option<Group>,
    /// What each other voter's disk was known to hold.
    pub peers: BTreeMap<u64, DiskProgress>,
}

/// How far another voter's disk was known to reach.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DiskProgress {
    /// How often it started.
    pub starts: u64,
    /// The nonce of that start.
    pub nonce: u64,
    /// The term in which it acknowledged `last_index`.
    pub term: u64,
    /// The furthest entry it acknowledged.
    pub last_index: u64,
}

/// One write, all of it or nothing.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct WriteBatch {
    /// Grows with every write of a start.
    pub number: u64,
    /// All that was there before goes first.
    pub wipe: bool,
    /// Replaces what is known of the disks.
    pub meta: Option<DiskMeta>,
    /// Replaces term and vote.
    pub hard_state: Option<HardState>,
    /// Stands for all entries up to its own.
    pub snapshot: Option<Snapshot>,
    /// The first of these and all after it are replaced.
    pub entries: Vec<Entry>,
}

/// What a disk held at the start.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DiskState {
    /// What is known of the disks.
    pub meta: DiskMeta,
    /// Term and vote.
    pub hard_state: HardState,
    /// The last snapshot.
    pub snapshot: Snapshot,
    /// The entries after it, without a gap.
    pub entries: Vec<Entry>,
}

impl DiskState {
    /// What a disk holds after this write; for disks that exist in memory only.
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
