//! Changes of the control state, as subscribers receive them.
//!
//! The encoding depends on the order of fields and variants, so neither may change.

use crate::ServerReport;
use dunespur_turn_replication::membership::StoreEntry;
use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, sync::Arc};

/// One change of the control state. It replaces any earlier change of the same item.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// A new configuration is current.
    Configuration {
        /// The configuration's generation.
        generation: u64,
        /// The complete configuration as JSON.
        json: Arc<str>,
    },
    /// A server was registered, or its registration changed.
    Server(ServerReport),
    /// A server deregistered, its registration expired, or another server took its address.
    ServerRemoved {
        /// The server's id.
        id: String,
    },
    /// A store was registered, or its state changed.
    Store(StoreEntry),
    /// A retired store was decommissioned, or an absent one was evicted.
    StoreRemoved {
        /// The store's name.
        name: String,
    },
    /// A gateway became present, or its registration changed.
    Gateway(GatewayEntry),
    /// A gateway is no longer present.
    GatewayRemoved {
        /// The gateway's name.
        name: String,
    },
}

/// A gateway that is present, as subscribers see it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GatewayEntry {
    /// The machine's name.
    pub name: String,
    /// The gateway's failure domain.
    pub zone: String,
    /// The address at which other processes of the system reach the gateway.
    pub address: SocketAddr,
    /// The incarnation of the gateway's process.
    pub incarnation: u64,
}
