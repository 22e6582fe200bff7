//! Changes of the control state, as subscribers receive them.
//!
//! They are encoded by position and variant order: neither may change.

use crate::ServerReport;
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

/// A store, as subscribers see it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreEntry {
    /// The machine's name.
    pub name: String,
    /// Its failure domain.
    pub zone: String,
    /// Where other processes of the system reach it.
    pub address: SocketAddr,
    /// The incarnation of its process.
    pub incarnation: u64,
    /// Identifies the content of its disk; another number means that earlier content is lost.
    pub disk: u64,
    /// It holds a replica of everything that it should hold.
    pub complete: bool,
    /// Its lease is valid.
    pub present: bool,
    /// It is being emptied: no turns are placed on it, and it accepts them only where other stores fail.
    pub retiring: bool,
    /// It is empty, and stays so.
    pub retired: bool,
    /// While it is being emptied: the epoch, which changes whenever the membership state of any store does; else 0.
    pub epoch: u64,
}
