//! What goes into a member's state machine and what comes out of it.

use crate::durable::Write;
use crate::identity::{MemberId, Peer};
use crate::log::{LogIndex, Ticket};
use crate::message::Message;
use crate::view::View;
use std::net::SocketAddr;

/// What happens to a member.
#[derive(Clone, Debug)]
pub enum Input {
    /// A message of another member has come.
    Received {
        /// The sender.
        from: MemberId,
        /// The message.
        message: Message,
    },
    /// The connection to another member was refused or reset.
    Disconnected {
        /// The other member.
        peer: MemberId,
    },
    /// Append a payload to the log, at whichever member. After faults it may be committed twice.
    Submit {
        /// Comes back with the commit.
        ticket: Ticket,
        /// What to append.
        payload: Vec<u8>,
    },
    /// Give [`Output::ReadReady`] once all that is committed now is applied here (a linearizable read).
    Read {
        /// Comes back with the output.
        ticket: Ticket,
    },
    /// All writes of the batch are on disk.
    Persisted {
        /// The number of the batch.
        batch: u64,
    },
    /// Start with this view, on an empty disk.
    Bootstrap {
        /// The first view.
        view: View,
    },
    /// Request to be added to the view that these know.
    Join {
        /// Addresses of core members.
        contacts: Vec<SocketAddr>,
    },
    /// Request to be removed from the chain, as the process is about to end.
    Leave,
    /// The caller's state after the commit at `index`: the reply to [`Output::TakeSnapshot`].
    SnapshotTaken {
        /// The last entry that the state includes.
        index: LogIndex,
        /// The state in the caller's encoding.
        bytes: Vec<u8>,
    },
    /// The time of [`Member::next_tick`](super::Member::next_tick) has come.
    Tick,
}

/// What is to be done, in this order.
#[derive(Clone, Debug)]
pub enum Output {
    /// Send a message.
    Send {
        /// The receiver.
        to: Peer,
        /// The message.
        message: Message,
    },
    /// Send a message to a member whose identity isn't known yet.
    SendToAddress {
        /// The receiver's address.
        address: SocketAddr,
        /// The message.
        message: Message,
    },
    /// Write to disk; to be answered by [`Input::Persisted`] once all are on disk. One sync for all.
    Persist {
        /// The number of the batch.
        batch: u64,
        /// In this order, all or none.
        writes: Vec<Write>,
    },
    /// Apply the next payload of the log, which is committed.
    Apply {
        /// Its index in the log.
        index: LogIndex,
        /// What was submitted.
        payload: Vec<u8>,
        /// The caller's ticket, if it was submitted here.
        ticket: Option<Ticket>,
    },
    /// All commits that the read must see have been given out before.
    ReadReady {
        /// The caller's ticket.
        ticket: Ticket,
    },
    /// Too much was pending, or it took too long: the caller may retry. It may still be committed later.
    Dropped {
        /// The caller's ticket.
        ticket: Ticket,
    },
    /// Take a snapshot; to be answered by [`Input::SnapshotTaken`].
    TakeSnapshot,
    /// Replace the caller's state by this one, which is after the commit at `index`.
    InstallSnapshot {
        /// The last entry that the state includes.
        index: LogIndex,
        /// The state in the caller's encoding.
        bytes: Vec<u8>,
    },
    /// There is a new view, or this member has gained or lost its quorum.
    ViewChanged {
        /// The newest view known here.
        view: View,
        /// Whether a majority of its members has replied lately.
        has_quorum: bool,
    },
}
