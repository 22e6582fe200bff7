//! Messages between members.
//!
//! They are encoded by postcard, which identifies fields and variants by their position, not by their name: new variants
//! are added at the end, and existing ones keep their order (`tests/encodings.rs`).

use crate::agreement::{AcceptedView, DecidedView, ProposalNumber};
use crate::identity::{MemberId, Peer};
use crate::log::{Entry, LogIndex, Origin, Position};
use crate::payload::Payload;
use crate::snapshot_transfer::{SnapshotChunk, SnapshotProgress};
use crate::view::{View, ViewNumber};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// One message. Messages of the chain carry the number of the view that they belong to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// The first view, from the process that bootstraps the system.
    Bootstrap {
        /// The first view.
        view: View,
    },
    /// A joiner requests to be added.
    Join {
        /// The new member.
        joiner: Peer,
    },
    /// A view was decided: sent to its members, and to processes that seem not to know it.
    Decided {
        /// The view.
        decided: DecidedView,
    },
    /// A heartbeat.
    Ping(Ping),

    /// Paxos, phase 1a: requests a promise to accept nothing below a number, in the agreement on the view after `decided`.
    Prepare {
        /// The number to promise.
        proposal_number: ProposalNumber,
        /// The newest view that the proposer knows.
        decided: DecidedView,
    },
    /// Paxos, phase 1b.
    Promise(Promise),
    /// The request is rejected, as a greater number was promised.
    Reject {
        /// The view to be decided.
        view: ViewNumber,
        /// The promised number.
        promised: ProposalNumber,
    },
    /// Paxos, phase 2a: requests to accept a view.
    Accept {
        /// The number that a majority has promised.
        proposal_number: ProposalNumber,
        /// The proposed view.
        proposal: DecidedView,
    },
    /// Paxos, phase 2b: the sender has accepted the proposal.
    Accepted {
        /// The view to be decided.
        view: ViewNumber,
        /// The accepted number.
        proposal_number: ProposalNumber,
    },

    /// To the successor: entries after a position; without entries, a query whether the successor's log reaches that
    /// position.
    Append(AppendEntries),
    /// To the predecessor: a request to send entries from another position.
    Resume(ResumePoint),
    /// To the tail, from a member out of the chain: a request for the committed entries after a position.
    FetchCommitted(ResumePoint),
    /// From the tail: committed entries, up to `last` at most.
    CommittedEntries(AppendEntries),
    /// A snapshot in one message, as members of an earlier version send it; now [`Message::SnapshotChunk`].
    UnchunkedSnapshot {
        /// The view that the message belongs to.
        view: ViewNumber,
        /// The last entry that the snapshot includes.
        position: Position,
        /// The caller's state.
        bytes: Payload,
    },
    /// To the predecessor: the tail has synced the log up to `index`.
    Committed {
        /// The view that the message belongs to.
        view: ViewNumber,
        /// The commit index.
        index: LogIndex,
    },

    /// To the head: a payload to append.
    Submit {
        /// The newest view that the sender knows.
        view: ViewNumber,
        /// The origin of the submission.
        origin: Origin,
        /// The payload to append.
        payload: Payload,
    },
    /// From the head: it rejected a submission, as too much is uncommitted.
    Overloaded {
        /// The origin of the rejected submission.
        origin: Origin,
    },
    /// A read request, forwarded along the chain from head to tail.
    ReadIndex(ReadIndexRequest),
    /// From the tail: the commit index that the read has to wait for.
    ReadIndexReply {
        /// The number of the request.
        request: u64,
        /// The commit index at the tail.
        index: LogIndex,
    },

    /// To the successor, or from the tail to a learner: a chunk of a snapshot, because the sender's log begins after the end
    /// of the receiver's log.
    SnapshotChunk {
        /// The view that the message belongs to.
        view: ViewNumber,
        /// The chunk of the snapshot.
        chunk: SnapshotChunk,
    },
    /// The receiver's reply to a chunk.
    SnapshotProgress {
        /// The view that the message belongs to.
        view: ViewNumber,
        /// The receiver's progress.
        progress: SnapshotProgress,
    },
}

/// A heartbeat. The view number is 0 at a process that knows no view.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ping {
    /// The sender's address, which the receiver's view may lack.
    pub address: SocketAddr,
    /// The sender's view.
    pub view: ViewNumber,
    /// The sender's clock, plus a random start drawn for each run of its process.
    pub timestamp: u64,
    /// The newest timestamp that the sender has received from the receiver of this ping.
    pub echoed_timestamp: Option<u64>,
    /// The members that the sender is connected with in both directions: a bit for each member of its view, by index.
    pub connected: u32,
    /// The sender's log is complete as of its view.
    pub synced: bool,
    /// The sender's disk has not completed its present batch for a long time.
    pub disk_stalled: bool,
    /// The sender requests to be removed from the chain.
    pub leaving: bool,
    /// The index up to which the sender has applied commits.
    pub commit_index: LogIndex,
    /// The sender requests a ping in reply at once.
    pub reply_requested: bool,
}

impl Ping {
    /// Whether the sender is connected in both directions with the member at this index of its view.
    #[must_use]
    pub fn is_connected_with(&self, member_index: usize) -> bool {
        self.connected & (1 << member_index) != 0
    }
}

/// A promise in the agreement on view `view`; the view before it is sealed at the sender.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Promise {
    /// The view to be decided.
    pub view: ViewNumber,
    /// The promised number.
    pub proposal_number: ProposalNumber,
    /// The proposal that the sender has already accepted, if any.
    pub accepted: Option<AcceptedView>,
    /// The newest view as of which the sender's log was complete.
    pub synced_view: ViewNumber,
    /// The end of the sender's log.
    pub last: Position,
}

/// Entries for the successor or a learner, each of them on the sender's disk.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendEntries {
    /// The view that the entries are sent in.
    pub view: ViewNumber,
    /// The position before the first entry.
    pub previous: Position,
    /// The entries, in order and without gaps.
    pub entries: Vec<Entry>,
    /// Index up to which the sender can send entries: to the successor those on disk, to a learner the committed ones.
    pub last: LogIndex,
}

impl AppendEntries {
    /// The index of the last entry, or of `previous` if there are no entries.
    #[must_use]
    pub fn end(&self) -> LogIndex {
        self.previous.index + self.entries.len() as u64
    }
}

/// The end of the log of a member that requests entries, for the sender to resume from.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResumePoint {
    /// The view that the message belongs to.
    pub view: ViewNumber,
    /// The end of the requesting member's log.
    pub last: Position,
    /// The requesting member's commit index.
    pub commit_index: LogIndex,
}

/// A read request that passes along the chain: Raft's `ReadIndex`, but confirmed by each member of the chain in turn.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadIndexRequest {
    /// The view that the message belongs to.
    pub view: ViewNumber,
    /// The member that the tail replies to.
    pub reader: MemberId,
    /// The reader's number for this request.
    pub request: u64,
}
