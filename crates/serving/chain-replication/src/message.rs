//! Messages between members.
//!
//! They are encoded by postcard, which goes by the position of fields and variants, not by their names: a new variant
//! goes to the end, and nothing moves (`tests/encodings.rs`).

use crate::agreement::{AcceptedView, DecidedView, ProposalNumber};
use crate::identity::{MemberId, Peer};
use crate::log::{Entry, LogIndex, Origin, Position};
use crate::payload::Payload;
use crate::snapshot_transfer::{SnapshotChunk, SnapshotProgress};
use crate::view::{View, ViewNumber};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// One message. Those of the chain carry the number of the view in which they count.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// The process that bootstraps the system proposes the first view.
    Bootstrap {
        /// The first view.
        view: View,
    },
    /// A joiner requests to be added.
    Join {
        /// The new member.
        joiner: Peer,
    },
    /// A view was decided: sent to its members, and to whoever seems not to know it.
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
    /// A greater number was promised to another proposer.
    Reject {
        /// The view to be decided.
        view: ViewNumber,
        /// What was promised.
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

    /// To the successor: entries after a position; without entries, a question whether it has that position.
    Append(AppendEntries),
    /// To the predecessor: send from another position.
    Resume(ResumePoint),
    /// To the tail, from a member out of the chain: send what is committed after a position.
    FetchCommitted(ResumePoint),
    /// From the tail: committed entries, up to `last` at most.
    CommittedEntries(AppendEntries),
    /// A snapshot in one message, as members of an earlier version send it; now [`Message::SnapshotChunk`].
    UnchunkedSnapshot {
        /// The view in which it counts.
        view: ViewNumber,
        /// The last entry that the snapshot includes.
        position: Position,
        /// The caller's state.
        bytes: Payload,
    },
    /// To the predecessor: the tail has synced up to here.
    Committed {
        /// The view in which it counts.
        view: ViewNumber,
        /// The commit index.
        index: LogIndex,
    },

    /// To the head: append this.
    Submit {
        /// The newest view that the sender knows.
        view: ViewNumber,
        /// Who submitted it.
        origin: Origin,
        /// What to append.
        payload: Payload,
    },
    /// From the head: too much is pending there, it didn't append the payload.
    Overloaded {
        /// Which submission.
        origin: Origin,
    },
    /// A read on its way from head to tail.
    ReadIndex(ReadIndexRequest),
    /// From the tail: what the read must see.
    ReadIndexReply {
        /// The number of the request.
        request: u64,
        /// The commit index at the tail.
        index: LogIndex,
    },

    /// To the successor, or from the tail to a learner: a chunk of the caller's state, as the log doesn't reach back far
    /// enough.
    SnapshotChunk {
        /// The view in which it counts.
        view: ViewNumber,
        /// The chunk.
        chunk: SnapshotChunk,
    },
    /// The reply to a chunk.
    SnapshotProgress {
        /// The view in which it counts.
        view: ViewNumber,
        /// What the receiver has so far.
        progress: SnapshotProgress,
    },
}

/// A heartbeat. View numbers are 0 at a member that knows none.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ping {
    /// Where the sender is reached: the receiver may not know it from its view.
    pub address: SocketAddr,
    /// The sender's view.
    pub view: ViewNumber,
    /// The sender's clock, from a beginning drawn for each run of its process.
    pub timestamp: u64,
    /// The newest timestamp of the receiver that has reached the sender.
    pub echoed_timestamp: Option<u64>,
    /// Which members the sender is connected with both ways: a bit for each of its view's members, in their order.
    pub connected: u32,
    /// The sender's log is complete as of its view.
    pub synced: bool,
    /// The sender's disk hasn't completed a batch for long.
    pub disk_stalled: bool,
    /// The sender requests to be removed from the chain.
    pub leaving: bool,
    /// The sender has applied the commits up to here.
    pub commit_index: LogIndex,
    /// A ping in reply is wanted at once.
    pub reply_requested: bool,
}

impl Ping {
    /// Whether the sender is connected both ways with the member at this index of its view.
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
    /// What the sender has accepted already.
    pub accepted: Option<AcceptedView>,
    /// The newest view as of which the sender's log was complete.
    pub synced_view: ViewNumber,
    /// The end of its log.
    pub last: Position,
}

/// Entries for the successor, each on the sender's disk.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendEntries {
    /// The view in which they count.
    pub view: ViewNumber,
    /// The position after which the entries come.
    pub previous: Position,
    /// In order, without gaps.
    pub entries: Vec<Entry>,
    /// The end of what is on the sender's disk.
    pub last: LogIndex,
}

impl AppendEntries {
    /// The index of the last entry, or of the position before if there are none.
    #[must_use]
    pub fn end(&self) -> LogIndex {
        self.previous.index + self.entries.len() as u64
    }
}

/// Where the receiver of entries stands, from which its sender is to go on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResumePoint {
    /// The view in which it counts.
    pub view: ViewNumber,
    /// The end of the sender's log.
    pub last: Position,
    /// The sender's commit index.
    pub commit_index: LogIndex,
}

/// A read's way along the chain, as Raft's `ReadIndex` but confirmed by each member of the chain in turn.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadIndexRequest {
    /// The view in which it counts.
    pub view: ViewNumber,
    /// Whom the tail replies to.
    pub reader: MemberId,
    /// The reader's number of this request.
    pub request: u64,
}
