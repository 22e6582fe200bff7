//! Operations: the commands of the replicated state machine.
//!
//! They are encoded by position and variant order, in messages and in the log: neither may change.

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
    /// A server deregisters: it is about to end.
    ServerLeft {
        /// Its id.
        id: String,
    },
    /// A server's registration was not renewed in time.
    ServerExpired {
        /// Its id.
        id: String,
        /// The sequence number of its last report that the core received.
        last_sequence: u64,
    },
    /// A gateway or store registers or changes its registration.
    Node(NodeReport),
    /// The lease of a gateway or store was not renewed in time.
    NodeExpired {
        /// Its name.
        name: String,
        /// The incarnation of its process whose lease expired.
        incarnation: u64,
    },
    /// The operator requests that a store is emptied, so that it can be decommissioned.
    RetireStart {
        /// The store's name.
        node: String,
        /// How many stores may be lost at once; more than that have to remain.
        tolerated_losses: u32,
        /// The token of an earlier [`Outcome::Fenced`](crate::Outcome::Fenced), else 0.
        fencing_token: u64,
    },
    /// A store found that everything it holds is replicated elsewhere.
    RetireDone {
        /// The store's name.
        node: String,
        /// The incarnation of its process that found so.
        incarnation: u64,
        /// The epoch in which it found so.
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
    /// The generation that it builds on, 0 for none.
    pub base: u64,
    /// Its body, byte for byte.
    pub body: Vec<u8>,
    /// The token of an earlier [`Outcome::Fenced`](crate::Outcome::Fenced), else 0. Not part of the request's
    /// identity.
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
    /// Identifies this start of the server; every start has another.
    pub id: String,
    /// The service that it belongs to.
    pub backend: String,
    /// Where it accepts requests.
    pub address: SocketAddr,
    /// Its failure domain.
    pub zone: String,
    /// Of its software.
    pub generation: String,
    /// How many requests it runs at once.
    pub slots: u32,
    /// Whether it accepts requests.
    pub state: ServerState,
    /// Rises with each report of one id.
    pub sequence: u64,
}

/// Whether a server accepts requests. The order matters: of two states the greater one is final.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum ServerState {
    /// It accepts requests.
    Ready,
    /// It completes its requests in flight and accepts no new ones. It never becomes ready again.
    Draining,
}

/// The registration of a gateway or store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeReport {
    /// The machine's name.
    pub name: String,
    /// Gateway or store.
    pub kind: NodeKind,
    /// Its failure domain.
    pub zone: String,
    /// Where other processes of the system reach it.
    pub address: SocketAddr,
    /// The incarnation of its process; rises with each start.
    pub incarnation: u64,
    /// Of a store: identifies the content of its disk; another number means that earlier content is lost.
    pub disk: u64,
    /// Of a store: it holds a replica of everything that it should hold.
    pub complete: bool,
}

/// What a node does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum NodeKind {
    /// It forwards requests to servers.
    Gateway,
    /// It stores turns.
    Store,
}
