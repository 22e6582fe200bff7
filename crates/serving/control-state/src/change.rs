//! What subscribers are told of the control state.

use crate::ServerReport;
use dunespur_turn_replication::membership::StoreEntry;
use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, sync::Arc};

/// One change of the control state. Each replaces what was told of the same thing before.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// Another configuration is current.
    Configuration {
        /// Its number.
        generation: u64,
        /// The whole of it.
        json: Arc<str>,
    },
    /// A server is new, or something about it is.
    Server(ServerReport),
    /// A server is over, or nothing is heard of it.
    ServerGone {
        /// Its id.
        id: String,
    },
    /// A store is new, or something about it is.
    Store(StoreEntry),
    /// A retired store was taken away.
    StoreGone {
        /// Its name.
        name: String,
    },
    /// A gateway is there, or something about it has changed.
    Gateway(GatewayEntry),
    /// A gateway is no longer there.
    GatewayGone {
        /// Its name.
        name: String,
    },
}

/// A gateway that is there, as the core knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GatewayEntry {
    /// The machine's name.
    pub name: String,
    /// Where it stands.
    pub zone: String,
    /// Where other processes of the system reach it.
    pub address: SocketAddr,
    /// The life of its process.
    pub incarnation: u64,
}
