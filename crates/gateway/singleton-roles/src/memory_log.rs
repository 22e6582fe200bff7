//! The in-memory copy of a voter's log, as the consensus library reads it.

use crate::raft_types::{Entry, HardState, Snapshot, VoterConfig};
use crate::records::DiskState;
use raft::eraftpb as pb;
use raft::{GetEntriesContext, RaftState, Storage, StorageError};

/// A snapshot and the entries after it, without a gap.
#[derive(Clone, Debug, Default)]
pub(crate) struct MemoryLog {
    pub(crate) hard_state: HardState,
    pub(crate) config: VoterConfig,
    snapshot: Snapshot,
    entries: Vec<pb::Entry>,
}

impl MemoryLog {
    /// Loads the log from disk. None if entries are missing or of an unknown kind.
    pub(crate) fn new(disk: &DiskState) -> Option<Self> {
        let entries = disk.entries.iter().map(Entry::to_raft);
        let entries = entries.collect::<Option<Vec<_>>>()?;
        let snapshot = disk.snapshot.clone();
        let mut numbered = entries.iter().zip(snapshot.index + 1..);
        let complete = numbered.all(|(entry, index)| entry.index == index);
        complete.then(|| MemoryLog {
            hard_state: disk.hard_state,
            config: snapshot.config.clone(),
            snapshot,
            entries,
        })
    }

    pub(crate) fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    /// Index of the first entry after the snapshot, whether or not it exists yet.
    pub(crate) fn first_log_index(&self) -> u64 {
        self.snapshot.index + 1
    }

    /// Index of the last entry, or of the snapshot if no entries follow it.
    pub(crate) fn last_log_index(&self) -> u64 {
        self.snapshot.index + self.entries.len() as u64
    }

    /// Appends entries; existing entries from the first new index on are replaced.
    pub(crate) fn append(&mut self, entries: &[pb::Entry]) {
        if let Some(first) = entries.first() {
            let kept = first.index.saturating_sub(self.first_log_index()) as usize;
            self.entries.truncate(kept);
            self.entries.extend_from_slice(entries);
        }
    }

    /// Installs a received or own snapshot and drops the entries that it covers.
    pub(crate) fn compact(&mut self, snapshot: Snapshot) {
        let covered = (snapshot.index + 1).saturating_sub(self.first_log_index()) as usize;
        let same_term = self
            .term(snapshot.index)
            .is_ok_and(|term| term == snapshot.term);
        if covered <= self.entries.len() && same_term {
            self.entries.drain(..covered);
        } else {
            self.entries.clear();
        }
        self.snapshot = snapshot;
    }
}

impl Storage for MemoryLog {
    fn initial_state(&self) -> raft::Result<RaftState> {
        let hard_state = pb::HardState {
            term: self.hard_state.term,
            vote: self.hard_state.vote,
            commit: self.hard_state.commit,
            ..Default::default()
        };
        Ok(RaftState::new(hard_state, self.config.to_raft()))
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        max_size: impl Into<Option<u64>>,
        _: GetEntriesContext,
    ) -> raft::Result<Vec<pb::Entry>> {
        if low < self.first_log_index() {
            return Err(StorageError::Compacted.into());
        }
        if high > self.last_log_index() + 1 {
            return Err(StorageError::Unavailable.into());
        }
        let position = |index: u64| (index - self.first_log_index()) as usize;
        let mut entries = self.entries[position(low)..position(high)].to_vec();
        raft::util::limit_size(&mut entries, max_size.into());
        Ok(entries)
    }

    fn term(&self, index: u64) -> raft::Result<u64> {
        if index == self.snapshot.index {
            return Ok(self.snapshot.term);
        }
        if index < self.first_log_index() {
            return Err(StorageError::Compacted.into());
        }
        let entry = self.entries.get((index - self.first_log_index()) as usize);
        let term = entry.map(|entry| entry.term);
        term.ok_or(StorageError::Unavailable.into())
    }

    fn first_index(&self) -> raft::Result<u64> {
        Ok(self.first_log_index())
    }

    fn last_index(&self) -> raft::Result<u64> {
        Ok(self.last_log_index())
    }

    fn snapshot(&self, wanted: u64, _: u64) -> raft::Result<pb::Snapshot> {
        if self.snapshot.index < wanted {
            return Err(StorageError::SnapshotTemporarilyUnavailable.into());
        }
        Ok(self.snapshot.to_raft())
    }
}
