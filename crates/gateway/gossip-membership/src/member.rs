//! Identity of a process of the fleet.

use foca::Identity;
use serde::{Deserialize, Serialize};
use std::net::SocketAddrV4;

/// By how much a renewed identity's precedence rises, in milliseconds of the wall clock: it has to stand above a
/// process that started while the clock was ahead by up to about two hours.
pub(crate) const RENEWAL_PRECEDENCE: u64 = 1 << 23;

/// One process of the fleet. The order of the fields is that of the bytes on the wire.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Name of the limiter, the same over restarts.
    pub name: String,
    /// Names this run of the process: every start has another. (SWIM's incarnation numbers are the library's.)
    pub instance: u64,
    /// Of two processes at one address the greater takes precedence; starts from the wall clock in milliseconds.
    pub precedence: u64,
    /// Where it listens.
    pub address: SocketAddrV4,
    /// Its failure domain.
    pub zone: String,
    /// Its machine.
    pub machine: String,
    /// Version of the protocol between limiters that it speaks.
    pub version: u16,
    /// Whether it is a voter of the singleton roles' log.
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
