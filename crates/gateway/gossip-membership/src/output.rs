//! Datagrams to send and events that the membership protocol reports.

use crate::member::Member;
use std::net::SocketAddrV4;

/// Two running processes that use the same name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DuplicateName {
    /// The shared name.
    pub name: String,
    /// Instance of one process.
    pub first_instance: u64,
    /// Instance of the other process.
    pub second_instance: u64,
}

/// A datagram to send or an event that the caller is notified of.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// A datagram to send.
    Datagram {
        /// Address of the receiver.
        to: SocketAddrV4,
        /// Contents of the datagram.
        bytes: Vec<u8>,
    },
    /// A member is up.
    Up(Member),
    /// A member is down, or has left.
    Down(Member),
    /// Two running processes use the same name.
    DuplicateName(DuplicateName),
    /// This process was stalled (suspended, or without processor time), so timers that judge other members are
    /// prolonged.
    Stalled {
        /// Length of the stall.
        seconds: f64,
    },
}
