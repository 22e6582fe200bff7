//! The replicated log as one member keeps it in memory: what came after its newest snapshot, and a little before.

use crate::identity::Incarnation;
use crate::payload::Payload;
use crate::view::ViewNumber;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// Where an entry stands in the log, from 1; 0 is before the first entry.
pub type LogIndex = u64;

/// A number by which the caller recognises its own submission or read. It doesn't come twice in one incarnation.
pub type Ticket = u64;

/// A position in the log. Two logs that have the same position are alike up to it (the log matching property of Raft,
/// with views for terms): in one view only its head appends, and only to its own log.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Position {
    /// Where the entry stands.
    pub index: LogIndex,
    /// The view in which the head appended the entry.
    pub view: ViewNumber,
}

/// Who submitted an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Origin {
    /// The run of the process at which it was submitted.
    pub incarnation: Incarnation,
    /// The caller's ticket there.
    pub ticket: Ticket,
}

/// One payload in the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Where it stands.
    pub position: Position,
    /// Who submitted it.
    pub origin: Origin,
    /// What was submitted.
    pub payload: Payload,
}

/// About the bytes that an entry takes besides its payload.
const ENTRY_OVERHEAD_BYTES: usize = 64;

impl Entry {
    /// Where it stands.
    #[must_use]
    pub fn index(&self) -> LogIndex {
        self.position.index
    }

    /// About the bytes that it takes in memory and in messages.
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
    /// What was found on disk: entries up to `start` are in the snapshot.
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

    /// About the bytes of all entries in memory.
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

    /// The position at `index`, if it is `start` or that of an entry in memory.
    #[must_use]
    pub fn position(&self, index: LogIndex) -> Option<Position> {
        if index == self.start.index {
            return Some(self.start);
        }
        self.get(index).map(|entry| entry.position)
    }

    /// Whether this log is like another up to that position of the other.
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

    /// Starts anew after a snapshot that ends at `position`.
    pub fn reset(&mut self, position: Position) {
        *self = Log {
            start: position,
            ..Log::default()
        };
    }

    /// Entries after `from` up to `to`: at least one if there is one, otherwise no more than `max_bytes`.
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

    /// Whether an entry after `index` was submitted under this ticket.
    #[must_use]
    pub fn has_origin_after(&self, index: LogIndex, origin: Origin) -> bool {
        let after = index.saturating_sub(self.start.index) as usize;
        self.entries
            .iter()
            .skip(after)
            .any(|entry| entry.origin == origin)
    }

    /// About the bytes of the entries after `index`.
    #[must_use]
    pub fn bytes_after(&self, index: LogIndex) -> usize {
        self.bytes_between(index, self.last().index)
    }

    /// About the bytes of the entries after `from` up to `to`.
    #[must_use]
    pub fn bytes_between(&self, from: LogIndex, to: LogIndex) -> usize {
        (from + 1..=to)
            .filter_map(|index| self.get(index))
            .map(Entry::size_bytes)
            .sum()
    }
}
