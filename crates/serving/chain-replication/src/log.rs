//! The replicated log as one member keeps it in memory: the entries after its newest snapshot, and some before.

use crate::identity::Incarnation;
use crate::payload::Payload;
use crate::view::ViewNumber;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// The index of an entry in the log, from 1; 0 is before the first entry.
pub type LogIndex = u64;

/// A number by which the caller recognises its own submission or read; unique within one incarnation.
pub type Ticket = u64;

/// A position in the log. Two logs that include the same position are equal up to it, as in each view only the head
/// appends, and only to its own log (the log matching property of Raft, with views as terms).
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Position {
    /// The entry's index.
    pub index: LogIndex,
    /// The view in which the head appended the entry.
    pub view: ViewNumber,
}

/// The process and ticket under which an entry was submitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Origin {
    /// The run of the member's process at which the entry was submitted.
    pub incarnation: Incarnation,
    /// The caller's ticket at that process.
    pub ticket: Ticket,
}

/// One payload in the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The entry's position.
    pub position: Position,
    /// The origin of the submission.
    pub origin: Origin,
    /// The submitted payload.
    pub payload: Payload,
}

/// Approximate size of an entry without its payload.
const ENTRY_OVERHEAD_BYTES: usize = 64;

impl Entry {
    /// The entry's index.
    #[must_use]
    pub fn index(&self) -> LogIndex {
        self.position.index
    }

    /// The approximate size of the entry in memory and in messages.
    #[must_use]
    pub fn size_bytes(&self) -> usize {
        self.payload.len() + ENTRY_OVERHEAD_BYTES
    }
}

/// Entries in order, without gaps, after `start`.
#[derive(Clone, Debug, Default)]
pub struct Log {
    start: Position,
    entries: VecDeque<Entry>,
    size_bytes: usize,
}

impl Log {
    /// The log found on disk; the snapshot includes the entries up to `start`.
    #[must_use]
    pub fn restore(start: Position, entries: Vec<Entry>) -> Log {
        let mut log = Log {
            start,
            ..Log::default()
        };
        for entry in entries {
            if entry.index() == log.last().index + 1 {
                log.append(entry);
            }
        }
        log
    }

    /// The position before the first entry in memory.
    #[must_use]
    pub fn start(&self) -> Position {
        self.start
    }

    /// The position of the last entry.
    #[must_use]
    pub fn last(&self) -> Position {
        self.entries
            .back()
            .map_or(self.start, |entry| entry.position)
    }

    /// The approximate size of all entries in memory.
    #[must_use]
    pub fn size_bytes(&self) -> usize {
        self.size_bytes
    }

    /// The entry at `index`, if it is in memory.
    #[must_use]
    pub fn get(&self, index: LogIndex) -> Option<&Entry> {
        let offset = index.checked_sub(self.start.index + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// The position at `index`, if that is the start or an entry in memory.
    #[must_use]
    pub fn position(&self, index: LogIndex) -> Option<Position> {
        if index == self.start.index {
            return Some(self.start);
        }
        self.get(index).map(|entry| entry.position)
    }

    /// Whether this log includes `position`, so that it equals any other log with that position up to there.
    #[must_use]
    pub fn matches(&self, position: Position) -> bool {
        self.position(position.index) == Some(position)
    }

    /// Adds an entry at the end.
    pub fn append(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index(), self.last().index + 1);
        self.size_bytes += entry.size_bytes();
        self.entries.push_back(entry);
    }

    /// Removes all entries after `index`.
    pub fn truncate(&mut self, index: LogIndex) {
        while self.last().index > index.max(self.start.index) {
            self.size_bytes -= self
                .entries
                .pop_back()
                .map_or(0, |entry| entry.size_bytes());
        }
    }

    /// Removes the entries up to `index`, which are in a snapshot.
    pub fn compact(&mut self, index: LogIndex) {
        while self.start.index < index {
            let Some(entry) = self.entries.pop_front() else {
                return;
            };
            self.size_bytes -= entry.size_bytes();
            self.start = entry.position;
        }
    }

    /// Replaces the log by an empty one after a snapshot that ends at `position`.
    pub fn reset(&mut self, position: Position) {
        *self = Log {
            start: position,
            ..Log::default()
        };
    }

    /// Entries after `from` up to `to`, together at most `max_bytes`; a first entry larger than that is included.
    #[must_use]
    pub fn entries_between(&self, from: LogIndex, to: LogIndex, max_bytes: usize) -> Vec<Entry> {
        let mut bytes = 0;
        let mut entries = Vec::new();
        for index in from + 1..=to {
            let Some(entry) = self.get(index) else { break };
            if !entries.is_empty() && bytes + entry.size_bytes() > max_bytes {
                break;
            }
            bytes += entry.size_bytes();
            entries.push(entry.clone());
        }
        entries
    }

    /// Whether an entry after `index` has this origin.
    #[must_use]
    pub fn has_origin_after(&self, index: LogIndex, origin: Origin) -> bool {
        let after = index.saturating_sub(self.start.index) as usize;
        self.entries
            .iter()
            .skip(after)
            .any(|entry| entry.origin == origin)
    }

    /// The approximate size of the entries after `index`.
    #[must_use]
    pub fn bytes_after(&self, index: LogIndex) -> usize {
        self.bytes_between(index, self.last().index)
    }

    /// The approximate size of the entries after `from` up to `to`.
    #[must_use]
    pub fn bytes_between(&self, from: LogIndex, to: LogIndex) -> usize {
        (from + 1..=to)
            .filter_map(|index| self.get(index))
            .map(Entry::size_bytes)
            .sum()
    }
}
