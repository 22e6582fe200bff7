//! The inputs and outputs of a member's state machine.

use crate::durable::Write;
use crate::identity::{MemberId, Peer};
use crate::log::{LogIndex, Ticket};
use crate::message::Message;
use crate::view::View;
use std::net::SocketAddr;

/// An event that a member handles.
#[derive(Clone, Debug)]
pub enum Input {
    /// A message from another member has arrived.
    Received {
        /// The sender.
        from: MemberId,
        /// The message received.
        message: Message,
    },
    /// The connection to another member was refused or reset.
    Disconnected {
        /// The other member.
        peer: MemberId,
    },
    /// Append a payload to the log; any member accepts it. After faults the payload may be committed twice.
    Submit {
        /// Identifies the submission in [`Output::Apply`] or [`Output::Dropped`].
        ticket: Ticket,
        /// The payload to append.
        payload: Vec<u8>,
    },
    /// A linearizable read: emit [`Output::ReadReady`] once everything committed by now is applied here.
    Read {
        /// Identifies the read in [`Output::ReadReady`] or [`Output::Dropped`].
        ticket: Ticket,
    },
    /// All writes of the batch are on disk.
    Persisted {
        /// The number of the batch.
        batch: u64,
    },
    /// Install this view as the first one, on an empty disk.
    Bootstrap {
        /// The first view.
        view: View,
    },
    /// Request to be added to the view that the contacts know.
    Join {
        /// Addresses of members of the core.
        contacts: Vec<SocketAddr>,
    },
    /// Request to be removed from the chain, as the process is about to end.
    Leave,
    /// The reply to [`Output::TakeSnapshot`]: the caller's state after the commit at `index`.
    SnapshotTaken {
        /// The last entry that the state includes.
        index: LogIndex,
        /// The state in the caller's encoding.
        bytes: Vec<u8>,
    },
    /// Replace the log by a snapshot even if the log is short, because its entries take long to apply again.
    Compact,
    /// The time given by [`Member::next_tick`](super::Member::next_tick) has been reached.
    Tick,
}

/// An action that the caller has to carry out, in the order in which they are emitted.
#[derive(Clone, Debug)]
pub enum Output {
    /// Send a message.
    Send {
        /// The receiver.
        to: Peer,
        /// The message to send.
        message: Message,
    },
    /// Send a message to a member whose identity isn't known yet.
    SendToAddress {
        /// The receiver's address.
        address: SocketAddr,
        /// The message to send.
        message: Message,
    },
    /// Write a batch to disk with one sync, and reply with [`Input::Persisted`] once all writes are on disk.
    Persist {
        /// The number of the batch.
        batch: u64,
        /// Written in this order and atomically.
        writes: Vec<Write>,
    },
    /// Apply the next committed payload.
    Apply {
        /// The payload's index in the log.
        index: LogIndex,
        /// The submitted payload.
        payload: Vec<u8>,
        /// The caller's ticket, if the payload was submitted at this member.
        ticket: Option<Ticket>,
    },
    /// A read may be answered: all commits that it must see have been emitted before.
    ReadReady {
        /// The caller's ticket.
        ticket: Ticket,
    },
    /// A submission or read was dropped, as too many were pending or it took too long. The caller may retry; a dropped
    /// submission may still be committed later.
    Dropped {
        /// The caller's ticket.
        ticket: Ticket,
    },
    /// Take a snapshot, and reply with [`Input::SnapshotTaken`].
    TakeSnapshot,
    /// Replace the caller's state by the state after the commit at `index`.
    InstallSnapshot {
        /// The last entry that the state includes.
        index: LogIndex,
        /// The state in the caller's encoding.
        bytes: Vec<u8>,
    },
    /// A new view was installed, or this member has gained or lost its quorum.
    ViewChanged {
        /// The newest view that this member knows.
        view: View,
        /// Whether a majority of the view's members, including this one, has recently replied.
        has_quorum: bool,
    },
}
