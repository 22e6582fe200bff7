//! What members say to each other.

use crate::agreed::{AcceptedView, Ballot, DecidedView};
use crate::identity::{MemberId, Peer, View};
use crate::log::{Entry, Origin, Payload, Position};
use crate::member::transfer::{SnapshotPart, SnapshotProgress};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// One message. Those of the chain carry the number of the view in which they hold.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// The caller's founder proposes the first view.
    Found {
        view: View,
    },
    /// A newcomer asks to be added.
    Join {
        newcomer: Peer,
    },
    /// A view was decided: an answer to whoever seems not to know it.
    Decided {
        decided: DecidedView,
    },
    Ping(Ping),

    /// Asks for a promise to vote for no lesser ballot, in the agreement on the view after `decided`.
    Prepare {
        ballot: Ballot,
        decided: DecidedView,
    },
    Promise(Promise),
    /// Another ballot stands before this one.
    Refuse {
        number: u64,
        promised: Ballot,
    },
    Accept {
        ballot: Ballot,
        proposal: DecidedView,
    },
    Accepted {
        number: u64,
        ballot: Ballot,
    },

    /// To the successor: entries after a position; without entries, a question whether it holds that position.
    Append(Append),
    /// To the predecessor: send from another position.
    Attach(Attach),
    /// To the tail, from a member out of the chain: send what is committed after my position.
    Follow(Attach),
    /// From the tail: committed entries, up to `last` at most.
    Followed(Append),
    /// As [`Message::SnapshotPart`], whole: from members of an earlier version.
    Snapshot {
        view: u64,
        position: Position,
        bytes: Payload,
    },
    /// To the predecessor: the tail has synced up to here.
    Committed {
        view: u64,
        index: u64,
    },

    /// To the head: append this.
    Submit {
        view: u64,
        origin: Origin,
        payload: Payload,
    },
    /// From the head: it has too much in hand.
    Overloaded {
        origin: Origin,
    },
    /// A read on its way from head to tail.
    Probe(Probe),
    /// From the tail: what the read must see.
    ProbeAnswer {
        round: u64,
        index: u64,
    },

    /// To the successor, or from the tail to a member that follows: a part of the caller's state, as the log doesn't
    /// reach back far enough.
    SnapshotPart {
        view: u64,
        part: SnapshotPart,
    },
    /// The answer to a part.
    SnapshotProgress {
        view: u64,
        progress: SnapshotProgress,
    },
}

/// A sign of life. Numbers of views are 0 at a member that knows none.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ping {
    /// Where the sender is reached: the receiver may not know it from its view.
    pub address: SocketAddr,
    pub view: u64,
    /// The sender's clock, from a beginning drawn for each run of its process.
    pub stamp: u64,
    /// The receiver's newest stamp that has reached the sender.
    pub echo: Option<u64>,
    /// Whom the sender hears and is heard by: a bit for each of its view's members, in their order.
    pub connected: u32,
    /// Its log holds all that it must in its view.
    pub synced: bool,
    /// Its disk hasn't answered for long.
    pub stalled: bool,
    /// It asks to be put out of the chain.
    pub leaving: bool,
    /// It has given out the commits up to here.
    pub committed: u64,
    /// An answer is wanted at once.
    pub answer: bool,
}

/// What of a ping bears on who should be in the chain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PingStanding {
    view: u64,
    connected: u32,
    synced: bool,
    stalled: bool,
    leaving: bool,
}

impl Ping {
    pub fn standing(&self) -> PingStanding {
        PingStanding {
            view: self.view,
            connected: self.connected,
            synced: self.synced,
            stalled: self.stalled,
            leaving: self.leaving,
        }
    }
}

/// A promise in the agreement on view `number`; the view before it is sealed at the sender.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Promise {
    pub number: u64,
    pub ballot: Ballot,
    pub accepted: Option<AcceptedView>,
    /// The newest view in which the sender's log held all that it must.
    pub synced_view: u64,
    /// The end of its log.
    pub last: Position,
}

/// Entries for the successor, each on the sender's disk.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Append {
    pub view: u64,
    /// Where the entries go on from.
    pub previous: Position,
    pub entries: Vec<Entry>,
    /// The end of what is on the sender's disk.
    pub last: u64,
}

/// Where a successor's log ends.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Attach {
    pub view: u64,
    pub last: Position,
    pub committed: u64,
}

/// A read's way along the chain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Probe {
    pub view: u64,
    pub reader: MemberId,
    pub round: u64,
}
