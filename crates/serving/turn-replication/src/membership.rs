//! The membership: the store machines as the core agrees on them.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// One store machine of the membership.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StoreEntry {
    /// The machine's name.
    pub name: String,
    /// Its failure domain.
    pub zone: String,
    /// Where the store takes requests of gateways and other stores.
    pub address: SocketAddr,
    /// Increases with each start of its process.
    pub incarnation: u64,
    /// Identifies the contents of its disk; another number means that the earlier contents are lost.
    pub disk: u64,
    /// Everything that the store should hold is on its disk.
    pub complete: bool,
    /// The core receives its heartbeats.
    pub present: bool,
    /// It is draining: it is no replica of turns, and accepts them only while other stores fail.
    pub retiring: bool,
    /// It has been drained and taken away.
    pub retired: bool,
    /// While it is draining: changes whenever any store joins, leaves, loses its disk or becomes complete.
    pub epoch: u64,
}

impl StoreEntry {
    /// Whether it may be chosen as a replica of turns.
    #[must_use]
    pub fn accepts_placement(&self) -> bool {
        !self.retiring && !self.retired
    }

    /// Whether it is draining: it accepts turns only while their replicas fail.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.retiring && !self.retired
    }

    /// Whether another store can rely on what it acknowledges.
    #[must_use]
    pub fn is_reliable(&self) -> bool {
        self.present && self.complete
    }
}

/// A store as far as placement is concerned.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Candidate {
    /// The machine's name.
    pub name: String,
    /// Its failure domain.
    pub zone: String,
}

impl From<&StoreEntry> for Candidate {
    fn from(store: &StoreEntry) -> Self {
        Self {
            name: store.name.clone(),
            zone: store.zone.clone(),
        }
    }
}

/// Something that turns can be placed on.
pub trait Placeable {
    /// The machine's name.
    fn name(&self) -> &str;
    /// Its failure domain.
    fn zone(&self) -> &str;
}

impl Placeable for StoreEntry {
    fn name(&self) -> &str {
        &self.name
    }

    fn zone(&self) -> &str {
        &self.zone
    }
}

impl Placeable for Candidate {
    fn name(&self) -> &str {
        &self.name
    }

    fn zone(&self) -> &str {
        &self.zone
    }
}
