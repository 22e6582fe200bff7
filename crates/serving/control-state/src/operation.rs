//! Operations: the commands of the replicated state machine.
//!
//! Their encoding in messages and in the log depends on the order of fields and variants, so neither may change.

use dunespur_budget::CounterRequest;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// One operation on the control state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Operation {
    /// The operator changes the configuration.
    Configure(ConfigurationRequest),
    /// A server registers or renews its registration.
    Server(ServerReport),
    /// A server deregisters because it is about to exit.
    ServerLeft {
        /// The server's id.
        id: String,
    },
    /// A server's registration was not renewed in time.
    ServerExpired {
        /// The server's id.
        id: String,
        /// The sequence number of the last report that the core received from the server.
        last_sequence: u64,
    },
    /// A gateway or store registers or changes its registration.
    Node(NodeReport),
    /// The lease of a gateway or store was not renewed in time.
    NodeExpired {
        /// The node's name.
        name: String,
        /// The incarnation of the node's process whose lease expired.
        incarnation: u64,
    },
    /// The operator requests that a store is retired: emptied, so that it can be decommissioned.
    RetireStart {
        /// The store's name.
        node: String,
        /// The number of stores that may be lost at once. More stores than that must remain.
        tolerated_losses: u32,
        /// The token from an earlier [`Outcome::Fenced`](crate::Outcome::Fenced), or 0 without one.
        fencing_token: u64,
    },
    /// A retiring store reports that everything it holds is replicated elsewhere.
    RetireDone {
        /// The store's name.
        node: String,
        /// The incarnation of the store's process that reports.
        incarnation: u64,
        /// The epoch in which the store found that everything is replicated.
        epoch: u64,
    },
    /// A limiter's request to the counter of a program's budget.
    Budget(CounterRequest),
}

/// An operator's request to change the configuration, as it was received.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationRequest {
    /// How the body is to be applied.
    pub kind: ConfigurationRequestKind,
    /// The generation that the request builds on, or 0 for none.
    pub base: u64,
    /// The request's body, byte for byte.
    pub body: Vec<u8>,
    /// The token from an earlier [`Outcome::Fenced`](crate::Outcome::Fenced), or 0 without one. Requests that differ
    /// only in the token count as the same request.
    pub fencing_token: u64,
}

/// How the body of a configuration request is applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConfigurationRequestKind {
    /// The body is a complete configuration.
    Replace,
    /// The body changes named items of the current configuration.
    Patch,
}

/// A server's registration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerReport {
    /// Identifies one start of the server; every start has a new id.
    pub id: String,
    /// The service that the server belongs to.
    pub backend: String,
    /// The address at which the server accepts requests.
    pub address: SocketAddr,
    /// The server's failure domain.
    pub zone: String,
    /// The generation of the server's software.
    pub generation: String,
    /// Maximum number of requests that the server runs at once.
    pub slots: u32,
    /// Whether the server accepts requests.
    pub state: ServerState,
    /// Increases with each report of the same id.
    pub sequence: u64,
}

/// Whether a server accepts requests. Of two reported states the greater one takes effect, so the order of the variants
/// matters.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum ServerState {
    /// The server accepts requests.
    Ready,
    /// The server completes its requests in flight and accepts no new ones. It never becomes ready again.
    Draining,
}

/// The registration of a gateway or store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeReport {
    /// The machine's name.
    pub name: String,
    /// Whether the node is a gateway or a store.
    pub kind: NodeKind,
    /// The node's failure domain.
    pub zone: String,
    /// The address at which other processes of the system reach the node.
    pub address: SocketAddr,
    /// The incarnation of the node's process, which increases with each start.
    pub incarnation: u64,
    /// For a store: identifies the content of its disk. A different number means that the earlier content is lost.
    pub disk: u64,
    /// For a store: whether it holds a replica of everything that is assigned to it.
    pub complete: bool,
}

/// The role of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum NodeKind {
    /// Forwards requests to servers.
    Gateway,
    /// Stores turns.
    Store,
}
