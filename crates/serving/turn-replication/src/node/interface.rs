//! What goes into a store's state machine and what comes out of it.

use crate::index::IndexEntry;
use crate::message::{StoreReply, StoreRequest};
use crate::turn::Turn;

/// Names a caller that waits for a reply; chosen by the process around the node.
pub type CallerId = u64;
/// Names a question to another store.
pub type AskId = u64;
/// Names a piece of disk work.
pub type JobId = u64;

/// What the node is told at its start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Its name in the list of stores.
    pub name: String,
    /// The life of its process, as it is reported to the core.
    pub incarnation: u64,
    /// How many stores keep each turn: as many as may be lost at one time, and one more.
    pub copies: usize,
    /// The most that its turns may take. The file of the disk may need three times as much.
    pub capacity_bytes: u64,
    /// The most turns that it takes in; each costs some 250 bytes of memory.
    pub capacity_turns: usize,
    /// A store that is absent for this long is replaced: what it held gets further copies elsewhere.
    pub absent_repair_ms: u64,
}

/// What the disk brought at the start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DiskState {
    /// Names this life of the disk.
    pub disk: u64,
    /// It has not been whole in this life.
    pub fresh: bool,
    pub entries: Vec<IndexEntry>,
}

/// What the process around the node has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Answer a caller.
    Reply { caller: CallerId, reply: StoreReply },
    /// Ask another store; its answer goes to [`StoreNode::peer_answered`].
    Ask {
        ask: AskId,
        store: String,
        request: StoreRequest,
    },
    /// Work for the disk; its completion goes to [`StoreNode::disk_done`].
    Disk { job: JobId, work: DiskWork },
    /// Tell the core.
    Declare(Declaration),
}

/// Work for the disk.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DiskWork {
    /// One synced commit.
    Put(Vec<Turn>),
    /// Read these, in this order.
    Get(Vec<String>),
    Remove(Vec<String>),
    /// Remember, synced, that the disk is whole.
    MarkWhole,
}

/// How a piece of disk work ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DiskOutcome {
    Done,
    /// For [`DiskWork::Get`]: what was found, in the order asked for.
    Turns(Vec<Turn>),
    /// It was not done, or not surely; what waited for it is refused.
    Failed,
}

/// What the core has to hear.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Declaration {
    /// Everything that this store should hold is there.
    Whole,
    /// Everything that this store held is kept by enough others, as they stand in this round: its machine may be
    /// taken away.
    Emptied { round: u64 },
}
