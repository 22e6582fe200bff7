//! The queue before the disk: what arrives while one commit is in flight goes into the next one, so that many
//! turns share one sync (group commit).

use std::collections::VecDeque;

use crate::ids::CallerId;
use crate::message::Rejection;
use crate::turn::{RetainedTurn, Turn, TurnHeader};

/// Maximum bytes of turns that are queued, beyond the commit in flight.
const MAX_QUEUED_BYTES: u64 = 16 << 20;
/// Maximum bytes of turns in one commit, unless a single entry is larger.
const MAX_BATCH_BYTES: u64 = 4 << 20;

/// Who waits for a commit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Waiter {
    /// A caller, to be sent an acknowledgement.
    Caller {
        /// The caller.
        caller: CallerId,
        /// The replica that this store substitutes for.
        hint: Option<String>,
    },
    /// The pull that fetched the turns.
    Pull {
        /// Its serial number, see [`crate::anti_entropy::AntiEntropy::next_request`].
        serial: u64,
    },
    /// The search for a missing ancestor.
    Completion {
        /// The ancestor.
        id: String,
    },
}

/// A turn of a commit, without its bodies.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CommittedTurn {
    /// Everything but the bodies.
    pub header: TurnHeader,
    /// How long it is still retained, in milliseconds.
    pub remaining_ms: u64,
}

/// One entry of a commit that has ended, with success or not.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CommittedEntry {
    /// Its turns.
    pub turns: Vec<CommittedTurn>,
    /// Who waits for it.
    pub waiter: Waiter,
}

#[derive(Debug)]
struct QueuedEntry {
    turns: Vec<RetainedTurn>,
    bytes: u64,
    waiter: Waiter,
}

/// Turns on their way to the disk.
#[derive(Debug, Default)]
pub struct CommitQueue {
    queued: VecDeque<QueuedEntry>,
    queued_bytes: u64,
    in_flight: Vec<CommittedEntry>,
}

impl CommitQueue {
    /// Queues turns for the next commit.
    ///
    /// # Errors
    ///
    /// [`Rejection::Busy`] if too much is queued already: a queue without a limit would exhaust the memory.
    pub fn push(&mut self, turns: Vec<RetainedTurn>, waiter: Waiter) -> Result<(), Rejection> {
        let bytes = turns.iter().map(|retained| retained.turn.size()).sum();
        if !self.queued.is_empty() && self.queued_bytes + bytes > MAX_QUEUED_BYTES {
            return Err(Rejection::Busy);
        }
        self.queued_bytes += bytes;
        self.queued.push_back(QueuedEntry {
            turns,
            bytes,
            waiter,
        });
        Ok(())
    }

    /// Begins the next commit, if none is in flight and something is queued.
    pub fn begin(&mut self) -> Option<Vec<Turn>> {
        if !self.in_flight.is_empty() || self.queued.is_empty() {
            return None;
        }
        let mut turns = Vec::new();
        let mut bytes = 0;
        while let Some(entry) = self.queued.front() {
            if bytes > 0 && bytes + entry.bytes > MAX_BATCH_BYTES {
                break;
            }
            bytes += entry.bytes;
            let entry = self.queued.pop_front()?;
            self.queued_bytes -= entry.bytes;
            self.add_to_commit(entry, &mut turns);
        }
        Some(turns)
    }

    fn add_to_commit(&mut self, entry: QueuedEntry, turns: &mut Vec<Turn>) {
        let committed = entry.turns.iter().map(|retained| CommittedTurn {
            header: retained.turn.header(),
            remaining_ms: retained.remaining_ms,
        });
        self.in_flight.push(CommittedEntry {
            turns: committed.collect(),
            waiter: entry.waiter,
        });
        turns.extend(entry.turns.into_iter().map(|retained| retained.turn));
    }

    /// The commit in flight has ended; returns its entries.
    pub fn finish(&mut self) -> Vec<CommittedEntry> {
        std::mem::take(&mut self.in_flight)
    }

    /// Whether nothing is queued or in flight.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.queued.is_empty() && self.in_flight.is_empty()
    }

    /// Bytes of turns that are queued or in flight.
    #[must_use]
    pub fn bytes(&self) -> u64 {
        let in_flight = self.in_flight.iter().flat_map(|entry| &entry.turns);
        self.queued_bytes + in_flight.map(|turn| turn.header.size).sum::<u64>()
    }

    /// The previous turn of the given one, if that is on its way to the disk.
    #[must_use]
    pub fn previous_of(&self, id: &str) -> Option<Option<&str>> {
        let in_flight = self.in_flight.iter().flat_map(|entry| &entry.turns);
        let queued = self.queued.iter().flat_map(|entry| &entry.turns);
        in_flight
            .map(|turn| (&turn.header.id, &turn.header.previous))
            .chain(queued.map(|retained| (&retained.turn.id, &retained.turn.previous)))
            .find(|(known, _)| *known == id)
            .map(|(_, previous)| previous.as_deref())
    }
}
