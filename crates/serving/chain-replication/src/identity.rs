//! Who the members are.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// One run of a member's process, drawn at random at its start.
pub type Incarnation = u64;

/// A machine with one incarnation of its disk. A machine whose disk was wiped is another member: it has forgotten what
/// it promised and accepted.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MemberId {
    /// The machine's name.
    pub node: String,
    /// Drawn at random when the disk's file was made.
    pub disk: u64,
}

/// A member and the address of its internal port.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Peer {
    /// Which member it is.
    pub id: MemberId,
    /// Where other members reach it.
    pub address: SocketAddr,
}
