//! Messages between limiters about singleton roles, and the outputs of the state machines. Messages are
//! encoded by position, so the order of their fields and variants must not change.

use crate::raft_types::RaftMessage;
use crate::records::WriteBatch;
use crate::table::{Assignment, Group};
use crate::{Name, Slot};
use serde::{Deserialize, Serialize};

/// The identity of a limiter, as its [`crate::client::RoleClient`] sends it to the voters.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Identity {
    /// The limiter's name; it stays the same across restarts.
    pub name: Name,
    /// The number of this run; it differs with every start.
    pub run: u64,
    /// The failure domain that the limiter runs in.
    pub zone: String,
    /// The machine that the limiter runs on.
    pub machine: String,
}

/// A slot that a limiter stopped working on.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Release {
    /// The released slot.
    pub slot: Slot,
    /// The token under which it was held.
    pub token: u64,
    /// The slot was released because the work on it made no progress.
    pub stalled: bool,
}

/// A limiter's request to renew its lease, which covers all slots that it holds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RenewRequest {
    /// The limiter that renews its lease.
    pub identity: Identity,
    /// Number of the request, repeated in the response.
    pub seq: u64,
    /// Version of the last assignments received; the response has assignments only if they changed since.
    pub version: u64,
    /// Slots that the limiter stopped working on.
    pub released: Vec<Release>,
    /// The limiter is shutting down and takes no more slots.
    pub leaving: bool,
    /// The limiter has just started and needs all tokens for its fencing check.
    pub needs_tokens: bool,
    /// Slots whose owners the limiter asks for.
    pub lookups: Vec<Slot>,
}

/// A looked-up slot and the limiter that holds it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SlotOwner {
    /// The owned slot.
    pub slot: Slot,
    /// Name of the limiter that owns the slot.
    pub owner: Name,
}

/// A leader's response to a renewal, sent after a majority has confirmed that it leads.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RenewResponse {
    /// Number of the renewal request.
    pub seq: u64,
    /// Index of the last log entry that changed the limiter's assignments.
    pub version: u64,
    /// Index up to which the leader had applied the log; it never decreases.
    pub index: u64,
    /// All slots assigned to the limiter, if they changed since the version in the request.
    pub assignments: Option<Vec<Assignment>>,
    /// Slots that the limiter must release because another limiter is preferred for them.
    pub revoked: Vec<Slot>,
    /// The last token of every slot, if the request asked for them.
    pub tokens: Option<Vec<u64>>,
    /// Owners of the slots that the request looked up.
    pub owners: Vec<SlotOwner>,
}

/// The state of a voter's disk, sent by the voter when it starts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VoterHello {
    /// The voter's name.
    pub name: Name,
    /// Identity of the voter's disk.
    pub disk: u64,
    /// How often the voter has started with this disk.
    pub starts: u64,
    /// Distinguishes this start from a start with a copy of the disk.
    pub nonce: u64,
    /// The term stored on the disk.
    pub term: u64,
    /// Index of the last log entry on the disk.
    pub last_index: u64,
    /// Whether the voter believes that its disk has a vote.
    pub is_voter: bool,
}

/// The leader that a voter knows, all 0 if it knows none. Ordered by term.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct KnownLeader {
    /// The leader's term.
    pub term: u64,
    /// Identity of the leader's disk.
    pub disk: u64,
}

/// Another voter's response to a [`VoterHello`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum HelloResponse {
    /// The responding voter belongs to no group.
    Empty {
        /// Identity of the responding voter's disk.
        disk: u64,
    },
    /// The responding voter belongs to a group.
    Formed {
        /// Identity of the responding voter's disk.
        disk: u64,
        /// The original members of the group.
        group: Group,
        /// The responding voter's verdict on the disk that the hello describes.
        verdict: DiskVerdict,
        /// The leader that the responding voter knows.
        leader: KnownLeader,
    },
}

/// A voter's verdict on the disk of another voter.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum DiskVerdict {
    /// No newer state of this disk is known.
    Current,
    /// A newer state of this disk is known: an older copy was restored.
    Outdated,
    /// This disk has no vote; the voter's name belongs or belonged to another disk.
    Unknown,
}

/// A message between limiters.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// A message of the consensus protocol between voters of one group.
    Raft {
        /// The group's number.
        group: u64,
        /// The message of the consensus library.
        message: RaftMessage,
    },
    /// A voter that starts describes its disk.
    Hello(VoterHello),
    /// A voter's response to the hello of another voter.
    HelloResponse {
        /// Identity of the disk that the hello describes.
        disk: u64,
        /// The nonce of the hello, so that responses to an earlier start are ignored.
        nonce: u64,
        /// The responding voter's state.
        response: HelloResponse,
    },
    /// A limiter's request to renew its lease.
    Renew(RenewRequest),
    /// The leader renewed the lease.
    Renewed {
        /// Run of the limiter that the message is for.
        run: u64,
        /// The response to the renewal request; receiving it renews the lease.
        response: RenewResponse,
    },
    /// The voter that was asked to renew is not the leader.
    NotLeader {
        /// Run of the limiter that the message is for.
        run: u64,
        /// Number of the renewal request.
        seq: u64,
        /// Name of the leader, if it is known.
        leader: Option<Name>,
    },
    /// Two running processes use the limiter's name; neither may hold slots.
    DuplicateName {
        /// Run of the limiter that the message is for.
        run: u64,
    },
    /// The limiter's assignments changed; it should renew now.
    AssignmentsChanged {
        /// Run of the limiter that the message is for.
        run: u64,
    },
}

/// Importance of a report to operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Severity {
    /// An expected event.
    Info,
    /// An event that operators should look into.
    Warning,
}

impl Severity {
    /// Whether operators should look into the report.
    #[must_use]
    pub fn is_warning(self) -> bool {
        self == Severity::Warning
    }
}

/// An effect that the caller carries out for a state machine.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a message to every process with this name.
    Send {
        /// The receiver's name.
        to: Name,
        /// The message to send.
        message: Message,
    },
    /// Write the batch to disk with fsync, in order, then report its number to [`crate::voter::Voter::written`].
    Write(WriteBatch),
    /// The limiter holds a slot from now on.
    Acquired {
        /// The acquired slot.
        slot: Slot,
        /// The token under which it is held.
        token: u64,
    },
    /// The limiter no longer holds a slot.
    Lost {
        /// The lost slot.
        slot: Slot,
        /// The token under which it was held.
        token: u64,
    },
    /// A line for the operators' log.
    Report {
        /// Importance to operators.
        severity: Severity,
        /// Description of the event.
        text: String,
    },
    /// The last token of every slot, read after this limiter's start; initializes its fencing check.
    Tokens(Vec<u64>),
}

pub(crate) fn report(out: &mut Vec<Output>, severity: Severity, text: String) {
    out.push(Output::Report { severity, text });
}
