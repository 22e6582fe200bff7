//! The queue before the disk: whatever waits while one commit is under way goes into the next, so that many
//! turns share one sync.

use std::collections::VecDeque;

use crate::message::Refusal;
use crate::node::CallerId;
use crate::turn::{HeldTurn, Turn, TurnHeader};

/// Most bytes of bodies waiting, beyond the commit under way.
const QUEUE_BOUND_BYTES: u64 = 16 << 20;
/// Most bytes of bodies in one commit, unless a single entry is larger.
const BATCH_BYTES: u64 = 4 << 20;

/// Who waits for a commit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Waiter {
    /// A caller, to be told that its turns are kept; with the home that this store stands in for.
    Caller {
        caller: CallerId,
        hint: Option<String>,
    },
    /// The pull that fetched the turns.
    Pull { pass: u64 },
    /// The completion of a chain that lacked this turn.
    Completion { id: String },
}

/// A turn of a commit, without its bodies.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CommittedTurn {
    pub header: TurnHeader,
    pub remaining_ms: u64,
}

/// One entry whose turns are on the disk, or failed to get there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Committed {
    pub turns: Vec<CommittedTurn>,
    pub waiter: Waiter,
}

#[derive(Debug)]
struct Entry {
    turns: Vec<HeldTurn>,
    bytes: u64,
    waiter: Waiter,
}

/// Turns on their way to the disk.
#[derive(Debug, Default)]
pub struct CommitQueue {
    waiting: VecDeque<Entry>,
    waiting_bytes: u64,
    under_way: Vec<Committed>,
}

impl CommitQueue {
    /// Lets turns wait for the next commit.
    pub fn push(&mut self, turns: Vec<HeldTurn>, waiter: Waiter) -> Result<(), Refusal> {
        let bytes = turns.iter().map(|held| held.turn.size()).sum();
        // A queue that grows without end would cost the process its memory.
        if !self.waiting.is_empty() && self.waiting_bytes + bytes > QUEUE_BOUND_BYTES {
            return Err(Refusal::Busy);
        }
        self.waiting_bytes += bytes;
        self.waiting.push_back(Entry {
            turns,
            bytes,
            waiter,
        });
        Ok(())
    }

    /// The next commit, if none is under way and something waits.
    pub fn begin(&mut self) -> Option<Vec<Turn>> {
        if !self.under_way.is_empty() || self.waiting.is_empty() {
            return None;
        }
        let mut turns = Vec::new();
        let mut bytes = 0;
        while let Some(entry) = self.waiting.front() {
            if bytes > 0 && bytes + entry.bytes > BATCH_BYTES {
                break;
            }
            bytes += entry.bytes;
            let entry = self.waiting.pop_front()?;
            self.waiting_bytes -= entry.bytes;
            self.start(entry, &mut turns);
        }
        Some(turns)
    }

    fn start(&mut self, entry: Entry, turns: &mut Vec<Turn>) {
        let committed = entry.turns.iter().map(|held| CommittedTurn {
            header: held.turn.header(),
            remaining_ms: held.remaining_ms,
        });
        self.under_way.push(Committed {
            turns: committed.collect(),
            waiter: entry.waiter,
        });
        turns.extend(entry.turns.into_iter().map(|held| held.turn));
    }

    /// The commit under way has ended.
    pub fn finish(&mut self) -> Vec<Committed> {
        std::mem::take(&mut self.under_way)
    }

    /// Nothing waits and nothing is under way.
    pub fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.under_way.is_empty()
    }

    /// Bytes of bodies that wait or are under way.
    pub fn bytes(&self) -> u64 {
        let under_way = self.under_way.iter().flat_map(|committed| &committed.turns);
        self.waiting_bytes + under_way.map(|turn| turn.header.size).sum::<u64>()
    }

    /// The turn before the given one, if that is on its way to the disk.
    pub fn previous_of(&self, id: &str) -> Option<Option<&str>> {
        let under_way = self.under_way.iter().flat_map(|committed| &committed.turns);
        let waiting = self.waiting.iter().flat_map(|entry| &entry.turns);
        under_way
            .map(|turn| (&turn.header.id, &turn.header.previous))
            .chain(waiting.map(|held| (&held.turn.id, &held.turn.previous)))
            .find(|(known, _)| *known == id)
            .map(|(_, previous)| previous.as_deref())
    }
}
