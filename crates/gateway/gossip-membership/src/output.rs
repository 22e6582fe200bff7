//! What the membership protocol wants done, and what it reports.

use crate::member::Member;
use std::net::SocketAddrV4;

/// Two living processes that have one name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DuplicateName {
    /// The name.
    pub name: String,
    /// One of the two.
    pub first_instance: u64,
    /// The other.
    pub second_instance: u64,
}

/// One thing to do or to know.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a datagram.
    Datagram {
        /// Where to.
        to: SocketAddrV4,
        /// Its bytes.
        bytes: Vec<u8>,
    },
    /// A member is up.
    Up(Member),
    /// A member is down, or has left.
    Down(Member),
    /// Two living processes have one name.
    DuplicateName(DuplicateName),
    /// This process was stalled (suspended, or without processor time); it trusts what it timed meanwhile less.
    Stalled {
        /// For how long.
        seconds: f64,
    },
}
