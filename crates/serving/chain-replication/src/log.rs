//! The replicated sequence as one member holds it in memory: what came after its newest snapshot, and a little before.

use serde::de::{Error, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::collections::VecDeque;
use std::fmt;
use std::sync::Arc;

/// Bytes of the caller that are shared between the log, the disk's writes and messages.
#[derive(Clone, PartialEq, Eq)]
pub struct Payload(Arc<[u8]>);

impl Payload {
    pub fn bytes(&self) -> &[u8] {
        &self.0
    }

    pub fn len(&self) -> usize {
        self.0.len()
    }

    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    pub fn to_vec(&self) -> Vec<u8> {
        self.0.to_vec()
    }
}

impl From<Vec<u8>> for Payload {
    fn from(bytes: Vec<u8>) -> Payload {
        Payload(bytes.into())
    }
}

impl From<&[u8]> for Payload {
    fn from(bytes: &[u8]) -> Payload {
        Payload(bytes.into())
    }
}

impl fmt::Debug for Payload {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "Payload({} bytes)", self.len())
    }
}

impl Serialize for Payload {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_bytes(&self.0)
    }
}

impl<'de> Deserialize<'de> for Payload {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Payload, D::Error> {
        struct Bytes;
        impl<'de> Visitor<'de> for Bytes {
            type Value = Payload;

            fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str("bytes")
            }

            fn visit_bytes<E: Error>(self, bytes: &[u8]) -> Result<Payload, E> {
                Ok(Payload::from(bytes))
            }

            fn visit_byte_buf<E: Error>(self, bytes: Vec<u8>) -> Result<Payload, E> {
                Ok(Payload::from(bytes))
            }

            fn visit_seq<A: SeqAccess<'de>>(self, mut sequence: A) -> Result<Payload, A::Error> {
                let mut bytes = Vec::new();
                while let Some(byte) = sequence.next_element::<u8>()? {
                    bytes.push(byte);
                }
                Ok(Payload::from(bytes))
            }
        }
        deserializer.deserialize_bytes(Bytes)
    }
}

/// A place in the sequence. Two logs that have the same position are alike up to it: in one view only its head
/// appends, and only to its own log.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Position {
    /// From 1; 0 is the place before the first entry.
    pub index: u64,
    /// The view in which the head appended the entry.
    pub view: u64,
}

/// Who submitted an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Origin {
    /// One run of a member's process.
    pub session: u64,
    pub ticket: u64,
}

/// One payload in the sequence.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    pub position: Position,
    pub origin: Origin,
    pub payload: Payload,
}

/// About what an entry takes besides its payload.
const ENTRY_OVERHEAD: usize = 64;

impl Entry {
    pub fn index(&self) -> u64 {
        self.position.index
    }

    /// About the bytes it takes in memory and in messages.
    pub fn size(&self) -> usize {
        self.payload.len() + ENTRY_OVERHEAD
    }
}

/// Entries in order, without gaps, after `start`.
#[derive(Clone, Debug, Default)]
pub struct Log {
    start: Position,
    entries: VecDeque<Entry>,
    bytes: usize,
}

impl Log {
    /// What was found on disk: entries up to `start` are within the snapshot.
    pub fn restore(start: Position, entries: Vec<Entry>) -> Log {
        let mut log = Log {
            start,
            entries: VecDeque::new(),
            bytes: 0,
        };
        for entry in entries {
            if entry.index() == log.last().index + 1 {
                log.append(entry);
            }
        }
        log
    }

    /// The position before the first entry held.
    pub fn start(&self) -> Position {
        self.start
    }

    pub fn last(&self) -> Position {
        self.entries
            .back()
            .map_or(self.start, |entry| entry.position)
    }

    /// About the bytes of all entries held.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    pub fn get(&self, index: u64) -> Option<&Entry> {
        let offset = index.checked_sub(self.start.index + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// The position at `index`, if it is `start` or held.
    pub fn position(&self, index: u64) -> Option<Position> {
        if index == self.start.index {
            return Some(self.start);
        }
        self.get(index).map(|entry| entry.position)
    }

    /// Whether this log is like another up to that position of the other.
    pub fn holds(&self, position: Position) -> bool {
        self.position(position.index) == Some(position)
    }

    pub fn append(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index(), self.last().index + 1);
        self.bytes += entry.size();
        self.entries.push_back(entry);
    }

    /// Drops all entries after `index`.
    pub fn truncate(&mut self, index: u64) {
        while self.last().index > index.max(self.start.index) {
            self.bytes -= self.entries.pop_back().map_or(0, |entry| entry.size());
        }
    }

    /// Drops the entries up to `index`, which are in a snapshot.
    pub fn forget(&mut self, index: u64) {
        while self.start.index < index {
            let Some(entry) = self.entries.pop_front() else {
                return;
            };
            self.bytes -= entry.size();
            self.start = entry.position;
        }
    }

    /// Starts anew after a snapshot that ends at `position`.
    pub fn reset(&mut self, position: Position) {
        *self = Log {
            start: position,
            entries: VecDeque::new(),
            bytes: 0,
        };
    }

    /// Entries after `from` up to `to`, at least one if there is one, no more than `most_bytes` otherwise.
    pub fn copy(&self, from: u64, to: u64, most_bytes: usize) -> Vec<Entry> {
        let mut bytes = 0;
        let mut copied = Vec::new();
        for index in from + 1..=to {
            let Some(entry) = self.get(index) else { break };
            if !copied.is_empty() && bytes + entry.size() > most_bytes {
                break;
            }
            bytes += entry.size();
            copied.push(entry.clone());
        }
        copied
    }

    /// Whether an entry after `index` was submitted under this ticket.
    pub fn has_origin_after(&self, index: u64, origin: Origin) -> bool {
        let after = index.saturating_sub(self.start.index) as usize;
        self.entries
            .iter()
            .skip(after)
            .any(|entry| entry.origin == origin)
    }

    /// About the bytes of the entries after `index`.
    pub fn bytes_after(&self, index: u64) -> usize {
        self.bytes_between(index, self.last().index)
    }

    /// About the bytes of the entries after `from` up to `to`.
    pub fn bytes_between(&self, from: u64, to: u64) -> usize {
        (from + 1..=to)
            .filter_map(|index| self.get(index))
            .map(Entry::size)
            .sum()
    }
}
