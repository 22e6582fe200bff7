//! What goes into a store's state machine and what comes out of it.

use crate::ids::{CallerId, JobId, PeerRequestId};
use crate::message::{StoreReply, StoreRequest};
use crate::turn::{Turn, TurnHeader};

/// Settings of a store node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreSettings {
    /// Its name in the membership.
    pub name: String,
    /// The incarnation of its process, as it is reported to the core.
    pub incarnation: u64,
    /// How many stores hold each turn: one more than may be lost at one time.
    pub replication_factor: usize,
    /// Maximum bytes of its turns. The file on disk may need three times as much.
    pub capacity_bytes: u64,
    /// Maximum number of its turns; each takes some 250 bytes of memory.
    pub capacity_turns: usize,
    /// A store that is absent for this long is replaced: what it held is replicated elsewhere, in milliseconds.
    pub absent_repair_ms: u64,
}

/// What was found on disk at the start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DiskState {
    /// Identifies the contents of the disk.
    pub disk: u64,
    /// The disk has not been complete since these contents began.
    pub fresh: bool,
    /// All turns on it.
    pub headers: Vec<TurnHeader>,
}

/// What the process around the node has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Reply to a caller.
    Reply {
        /// The caller.
        caller: CallerId,
        /// The reply.
        reply: StoreReply,
    },
    /// Send a request to another store; its reply goes to [`super::StoreNode::peer_replied`].
    SendRequest {
        /// Identifies the request.
        request_id: PeerRequestId,
        /// The store to send it to.
        store: String,
        /// The request.
        request: StoreRequest,
    },
    /// Do a piece of disk work; its outcome goes to [`super::StoreNode::disk_done`].
    Disk {
        /// Identifies the piece of work.
        job: JobId,
        /// What is to be done.
        work: DiskWork,
    },
    /// Inform the core.
    Declare(Declaration),
}

/// Work for the disk.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DiskWork {
    /// Write these turns in one synced commit.
    Put(Vec<Turn>),
    /// Read these turns, in this order.
    Get(Vec<String>),
    /// Delete these turns.
    Remove(Vec<String>),
    /// Record, synced, that the disk is complete.
    MarkComplete,
}

/// How a piece of disk work ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DiskOutcome {
    /// It is done.
    Done,
    /// For [`DiskWork::Get`]: the turns that were found, in the order of the request.
    Turns(Vec<Turn>),
    /// It was not done, or not certainly; what waited for it is rejected.
    Failed,
}

/// What the core has to be informed of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Declaration {
    /// Everything that this store should hold is on its disk.
    Complete,
    /// Everything that this store held is on enough others, as they are in this membership epoch: its machine may
    /// be taken away.
    Drained {
        /// The epoch.
        epoch: u64,
    },
}
