//! Changes of the control state, as subscribers receive them.
//!
//! They are encoded by position and variant order: neither may change.

use crate::ServerReport;
use dunespur_turn_replication::membership::StoreEntry;
use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, sync::Arc};

/// One change of the control state. Each replaces an earlier one of the same item.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// Another configuration is current.
    Configuration {
        /// Its generation.
        generation: u64,
        /// The complete document.
        json: Arc<str>,
    },
    /// A server was registered, or its registration changed.
    Server(ServerReport),
    /// A server deregistered, expired or was replaced at its address.
    ServerRemoved {
        /// Its id.
        id: String,
    },
    /// A store was registered, or its state changed.
    Store(StoreEntry),
    /// A retired store was decommissioned, or an absent one was evicted.
    StoreRemoved {
        /// Its name.
        name: String,
    },
    /// A gateway is present, or its registration changed.
    Gateway(GatewayEntry),
    /// A gateway is no longer present.
    GatewayRemoved {
        /// Its name.
        name: String,
    },
}

/// A gateway that is present, as subscribers see it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GatewayEntry {
    /// The machine's name.
    pub name: String,
    /// Its failure domain.
    pub zone: String,
    /// Where other processes of the system reach it.
    pub address: SocketAddr,
    /// The incarnation of its process.
    pub incarnation: u64,
}
