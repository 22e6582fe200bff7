//! Group commit: turns that arrive while a commit is in flight are queued for the next commit, so that many turns
//! share one disk sync.

use std::collections::VecDeque;

use crate::ids::CallerId;
use crate::message::Rejection;
use crate::turn::{RetainedTurn, Turn, TurnHeader};

/// Maximum bytes of queued turns, not counting the commit in flight. A single entry may exceed it if nothing else is
/// queued.
const MAX_QUEUED_BYTES: u64 = 16 << 20;
/// Maximum bytes of turns in one commit. A single entry may exceed it.
const MAX_BATCH_BYTES: u64 = 4 << 20;

/// What a commit was requested for, and what is informed of its end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommitRequester {
    /// A caller that is sent an acknowledgement.
    Caller {
        /// The caller to reply to.
        caller: CallerId,
        /// The replica that this store substitutes for, if any.
        substitute_for: Option<String>,
    },
    /// The pull that fetched the turns.
    Pull {
        /// Serial number of the pull, see [`crate::anti_entropy::AntiEntropy::next_request`].
        serial: u64,
    },
    /// The search for a missing earlier turn of a turn's chain.
    AncestorSearch {
        /// Id of the missing turn.
        id: String,
    },
}

/// One turn of a commit in flight, without its bodies.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CommitTurn {
    /// Header of the turn.
    pub header: TurnHeader,
    /// Remaining retention of the turn, in milliseconds.
    pub remaining_ms: u64,
}

/// One entry of a commit: the turns of one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CommitEntry {
    /// The turns that are written.
    pub turns: Vec<CommitTurn>,
    /// What is informed once these turns are synced.
    pub requester: CommitRequester,
}

#[derive(Debug)]
struct QueuedEntry {
    turns: Vec<RetainedTurn>,
    bytes: u64,
    requester: CommitRequester,
}

/// Turns that are queued for the disk or being written.
#[derive(Debug, Default)]
pub struct CommitQueue {
    queued: VecDeque<QueuedEntry>,
    queued_bytes: u64,
    in_flight: Vec<CommitEntry>,
}

impl CommitQueue {
    /// Queues turns for the next commit.
    ///
    /// # Errors
    ///
    /// [`Rejection::Busy`] if the queue is not empty and would exceed `MAX_QUEUED_BYTES`, which bounds its memory.
    pub fn push(
        &mut self,
        turns: Vec<RetainedTurn>,
        requester: CommitRequester,
    ) -> Result<(), Rejection> {
        let bytes = turns.iter().map(|retained| retained.turn.size()).sum();
        if !self.queued.is_empty() && self.queued_bytes + bytes > MAX_QUEUED_BYTES {
            return Err(Rejection::Busy);
        }
        self.queued_bytes += bytes;
        self.queued.push_back(QueuedEntry {
            turns,
            bytes,
            requester,
        });
        Ok(())
    }

    /// Begins the next commit and returns its turns; `None` if a commit is in flight or the queue is empty.
    pub fn begin_commit(&mut self) -> Option<Vec<Turn>> {
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
        let committed = entry.turns.iter().map(|retained| CommitTurn {
            header: retained.turn.header(),
            remaining_ms: retained.remaining_ms,
        });
        self.in_flight.push(CommitEntry {
            turns: committed.collect(),
            requester: entry.requester,
        });
        turns.extend(entry.turns.into_iter().map(|retained| retained.turn));
    }

    /// Ends the commit in flight, successful or not, and returns its entries.
    pub fn finish_commit(&mut self) -> Vec<CommitEntry> {
        std::mem::take(&mut self.in_flight)
    }

    /// Whether no turn is queued or in flight.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.queued.is_empty() && self.in_flight.is_empty()
    }

    /// Total bytes of the turns that are queued or in flight.
    #[must_use]
    pub fn bytes(&self) -> u64 {
        let in_flight = self.in_flight.iter().flat_map(|entry| &entry.turns);
        self.queued_bytes + in_flight.map(|turn| turn.header.size).sum::<u64>()
    }

    /// The previous turn of the turn `id`: `None` if the turn is neither queued nor in flight, `Some(None)` if it has no
    /// previous turn.
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
