//! Identity of a member of the fleet.

use foca::Identity;
use serde::{Deserialize, Serialize};
use std::net::SocketAddrV4;

/// Increase of the precedence when an identity is renewed, in milliseconds. The renewed identity must take precedence
/// over a process that started while its wall clock was up to about two hours ahead.
pub(crate) const RENEWAL_PRECEDENCE: u64 = 1 << 23;

/// One process of the fleet. The order of the fields determines the bytes on the wire.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Name of the limiter, which stays the same over restarts.
    pub name: String,
    /// Identifies this run of the process; each start uses another number. SWIM's incarnation numbers are separate and
    /// kept by the library.
    pub instance: u64,
    /// Of two processes at one address, the one with the greater value is the current one. Starts as the wall clock
    /// time in milliseconds.
    pub precedence: u64,
    /// Address on which the process listens.
    pub address: SocketAddrV4,
    /// Failure domain of the process.
    pub zone: String,
    /// Name of the machine that the process runs on.
    pub machine: String,
    /// Version of the protocol between limiters that the process uses.
    pub version: u16,
    /// Whether the process is a voter of the singleton roles' log.
    pub voter: bool,
}

impl Identity for Member {
    type Addr = SocketAddrV4;

    fn renew(&self) -> Option<Self> {
        Some(Member {
            precedence: self.precedence.saturating_add(RENEWAL_PRECEDENCE),
            ..self.clone()
        })
    }

    fn addr(&self) -> SocketAddrV4 {
        self.address
    }

    fn win_addr_conflict(&self, other: &Self) -> bool {
        (self.precedence, self.instance) > (other.precedence, other.instance)
    }
}
