//! Settings, effects and disk jobs: the interface between a store node and the process around it.

use crate::ids::{CallerId, JobId, PeerRequestId};
use crate::message::{StoreReply, StoreRequest};
use crate::turn::{Turn, TurnHeader};

/// Settings of a store node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreSettings {
    /// Name of the store in the membership.
    pub name: String,
    /// Incarnation of the store's process, as reported to the core.
    pub incarnation: u64,
    /// How many stores hold each turn: one more than may be lost at the same time.
    pub replication_factor: usize,
    /// Maximum total bytes of stored turns. The file on disk may need three times as much.
    pub capacity_bytes: u64,
    /// Maximum number of stored turns; each takes about 250 bytes of memory.
    pub capacity_turns: usize,
    /// Time of absence after which a store is replaced, in milliseconds: its turns are then replicated to other stores.
    pub absent_repair_ms: u64,
}

/// Contents of the disk at the start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DiskState {
    /// Identifies the contents of the disk.
    pub disk: u64,
    /// Whether the disk has never been complete with its current contents.
    pub fresh: bool,
    /// Headers of all turns on the disk.
    pub headers: Vec<TurnHeader>,
}

/// An action that the process around the node has to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Reply to a caller.
    Reply {
        /// The caller to reply to.
        caller: CallerId,
        /// The reply to send.
        reply: StoreReply,
    },
    /// Send a request to another store; its reply goes to [`super::StoreNode::peer_replied`].
    SendRequest {
        /// Identifies the request.
        request_id: PeerRequestId,
        /// The store to send it to.
        store: String,
        /// The request to send.
        request: StoreRequest,
    },
    /// Do a disk job; its outcome goes to [`super::StoreNode::disk_done`].
    Disk {
        /// Identifies the disk job.
        job: JobId,
        /// The work to be done.
        work: DiskWork,
    },
    /// Send a declaration to the core.
    Declare(Declaration),
}

/// The work of a disk job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DiskWork {
    /// Write these turns in one synced commit.
    Put(Vec<Turn>),
    /// Read these turns, in the given order.
    Get(Vec<String>),
    /// Delete these turns.
    Remove(Vec<String>),
    /// Record on disk that the disk is complete, and sync the record.
    MarkComplete,
}

/// Outcome of a disk job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DiskOutcome {
    /// The job is done.
    Done,
    /// For [`DiskWork::Get`]: the turns that were found, in the order of the request.
    Turns(Vec<Turn>),
    /// The job was not done, or not certainly; requests that waited for it are rejected.
    Failed,
}

/// A statement of a store to the core about its own state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Declaration {
    /// All turns that this store should hold are on its disk.
    Complete,
    /// All turns of this store are on enough other stores of this membership epoch, so that its machine may be removed.
    Drained {
        /// The membership epoch.
        epoch: u64,
    },
}
