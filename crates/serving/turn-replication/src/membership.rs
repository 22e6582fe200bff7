//! The membership: the store machines that the core has agreed on.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// One store machine of the membership.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StoreEntry {
    /// The machine's name.
    pub name: String,
    /// The machine's failure domain.
    pub zone: String,
    /// Address at which the store accepts requests of gateways and other stores.
    pub address: SocketAddr,
    /// Number that increases with each start of the store's process.
    pub incarnation: u64,
    /// Identifies the contents of the store's disk; a different number means that the earlier contents are lost.
    pub disk: u64,
    /// All turns that the store should hold are on its disk.
    pub complete: bool,
    /// The core receives heartbeats of the store.
    pub present: bool,
    /// The store is draining: it is not chosen as a replica and accepts turns only while other stores fail.
    pub retiring: bool,
    /// The store has been drained and removed.
    pub retired: bool,
    /// While the store is draining: a number that changes whenever any store joins, leaves, loses its disk or becomes
    /// complete.
    pub epoch: u64,
}

impl StoreEntry {
    /// Whether the store may be chosen as a replica.
    #[must_use]
    pub fn accepts_placement(&self) -> bool {
        !self.retiring && !self.retired
    }

    /// Whether the store is draining, so that it accepts turns only while their replicas fail.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.retiring && !self.retired
    }

    /// Whether other stores can rely on acknowledgements of this store.
    #[must_use]
    pub fn is_reliable(&self) -> bool {
        self.present && self.complete
    }
}

/// Name and zone of a store: the data that placement depends on.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Candidate {
    /// The machine's name.
    pub name: String,
    /// The machine's failure domain.
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

/// A store that turns can be placed on.
pub trait Placeable {
    /// The machine's name.
    fn name(&self) -> &str;
    /// The machine's failure domain.
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
