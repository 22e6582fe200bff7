//! Identities of members.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// One run of a member's process, drawn at random at its start.
pub type Incarnation = u64;

/// A machine together with one incarnation of its disk. A machine whose disk was wiped counts as another member, as its
/// promises and acceptances are lost.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MemberId {
    /// The machine's name.
    pub node: String,
    /// Drawn at random when the file on the disk was created.
    pub disk: u64,
}

/// A member and the address of its internal port.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Peer {
    /// The member's identity.
    pub id: MemberId,
    /// The address at which other members reach it.
    pub address: SocketAddr,
}
