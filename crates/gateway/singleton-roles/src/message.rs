//! The messages between limiters about singleton roles, and what the state machines want done. The encoding
//! goes by position and order: fields and variants keep theirs.

use crate::raft_types::RaftMessage;
use crate::records::WriteBatch;
use crate::table::{Assignment, Group};
use crate::{Name, Slot};
use serde::{Deserialize, Serialize};

/// A limiter as its client presents it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Identity {
    /// Its name, the same after a restart.
    pub name: Name,
    /// Differs with every start.
    pub run: u64,
    /// The failure domain it runs in.
    pub zone: String,
    /// The machine it runs on.
    pub machine: String,
}

/// A slot that a client stopped working on.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Release {
    /// The slot.
    pub slot: Slot,
    /// The token under which it was held.
    pub token: u64,
    /// It was given up because the work on it made no progress.
    pub stalled: bool,
}

/// A limiter renews its lease: one message renews all that it holds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RenewRequest {
    /// Who renews.
    pub identity: Identity,
    /// Number of the request; the response repeats it.
    pub seq: u64,
    /// Of the assignments it last got; the response repeats them only if they changed.
    pub version: u64,
    /// Slots it stopped.
    pub released: Vec<Release>,
    /// It shuts down and wants nothing more.
    pub leaving: bool,
    /// It started and knows no tokens yet: its fencing check would take any.
    pub needs_tokens: bool,
    /// Slots whose owners it wants to know; a few.
    pub lookups: Vec<Slot>,
}

/// Who owns a slot.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SlotOwner {
    /// The slot.
    pub slot: Slot,
    /// Its owner's name.
    pub owner: Name,
}

/// What a leader answers to a renewal, after a majority has confirmed that it leads.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RenewResponse {
    /// Number of the request.
    pub seq: u64,
    /// The last log entry that changed the limiter's assignments.
    pub version: u64,
    /// How far the leader's log was applied when it answered; never runs back.
    pub index: u64,
    /// All slots that the limiter holds, if they changed since the version that it has.
    pub assignments: Option<Vec<Assignment>>,
    /// Slots that another is better placed to hold: stop and say so.
    pub revoked: Vec<Slot>,
    /// Every slot's token, for one that asked for them.
    pub tokens: Option<Vec<u64>>,
    /// Who holds the slots it asked about.
    pub owners: Vec<SlotOwner>,
}

/// Where a voter's disk stands, as it says when it starts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VoterHello {
    /// The voter's name.
    pub name: Name,
    /// Its disk's identity.
    pub disk: u64,
    /// How often it started with this disk.
    pub starts: u64,
    /// Tells this start from another one of a copy of the disk.
    pub nonce: u64,
    /// The term on its disk.
    pub term: u64,
    /// The last entry on its disk.
    pub last_index: u64,
    /// It has a vote as far as it knows.
    pub is_voter: bool,
}

/// The leader that a voter knows of; all 0 where it knows none. Later terms order after earlier ones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct KnownLeader {
    /// Its term.
    pub term: u64,
    /// Its disk.
    pub disk: u64,
}

/// What another voter answers to a hello.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum HelloResponse {
    /// It has formed no group either.
    Empty {
        /// Its own disk.
        disk: u64,
    },
    /// It belongs to a group.
    Formed {
        /// Its own disk.
        disk: u64,
        /// The group as it was formed.
        group: Group,
        /// What it holds of the asker's disk.
        verdict: DiskVerdict,
        /// The leader, as far as it knows.
        leader: KnownLeader,
    },
}

/// What a voter holds of another one's disk.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum DiskVerdict {
    /// Nothing newer of this disk was seen.
    Current,
    /// This disk is behind what was seen of it: an older copy was put back.
    Outdated,
    /// This disk has no vote, as the name has or had another.
    Unknown,
}

/// Between limiters.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Between voters of one group.
    Raft {
        /// The group's number.
        group: u64,
        /// What the consensus library wants said.
        message: RaftMessage,
    },
    /// A voter that starts presents its disk.
    Hello(VoterHello),
    /// Answers a hello.
    HelloResponse {
        /// The disk that said hello.
        disk: u64,
        /// The nonce of that hello: an answer to an earlier start says nothing of this one.
        nonce: u64,
        /// The answer.
        response: HelloResponse,
    },
    /// A client renews its lease.
    Renew(RenewRequest),
    /// The leader renewed it.
    Renewed {
        /// The client's run.
        run: u64,
        /// Lease and assignments.
        response: RenewResponse,
    },
    /// Not the leader; perhaps another one is.
    NotLeader {
        /// The client's run.
        run: u64,
        /// Number of the request.
        seq: u64,
        /// The leader, if it is known.
        leader: Option<Name>,
    },
    /// Two living processes have this name: neither holds anything.
    DuplicateName {
        /// The client's run.
        run: u64,
    },
    /// Something changed for this limiter: renew now.
    AssignmentsChanged {
        /// The client's run.
        run: u64,
    },
}

/// How much a report matters to operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Severity {
    /// In the ordinary course of things.
    Info,
    /// Operators should look.
    Warning,
}

impl Severity {
    /// Whether operators should look.
    #[must_use]
    pub fn is_warning(self) -> bool {
        self == Severity::Warning
    }
}

/// What a state machine wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a message to every process of this name.
    Send {
        /// The receiver's name.
        to: Name,
        /// What to send.
        message: Message,
    },
    /// Put this on the disk, in order, with fsync, then say so by its number.
    Write(WriteBatch),
    /// A slot is held from now on.
    Acquired {
        /// The slot.
        slot: Slot,
        /// The token under which it is held.
        token: u64,
    },
    /// A slot is held no more.
    Lost {
        /// The slot.
        slot: Slot,
        /// The token under which it was held.
        token: u64,
    },
    /// A line for the operators' log.
    Report {
        /// How much it matters.
        severity: Severity,
        /// What happened.
        text: String,
    },
    /// Every slot's token as of after this limiter's start: its fencing check can be used.
    Tokens(Vec<u64>),
}

pub(crate) fn report(out: &mut Vec<Output>, severity: Severity, text: String) {
    out.push(Output::Report { severity, text });
}
