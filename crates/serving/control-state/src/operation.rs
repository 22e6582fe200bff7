//! What the core is asked to agree on.

use dunespur_budget::CounterRequest;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// One operation on the control state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Operation {
    /// The operator changes the configuration.
    Configure(Order),
    /// A server says how it is.
    Server(ServerReport),
    /// A server says that it ends.
    ServerLeft {
        /// Its id.
        id: String,
    },
    /// The core has heard nothing of a server for too long.
    ServerExpired {
        /// Its id.
        id: String,
        /// The number of its last report that was heard.
        last_sequence: u64,
    },
    /// A gateway or store says how it is.
    Node(NodeReport),
    /// The core has heard nothing of a gateway or store for too long.
    NodeGone {
        /// Its name.
        name: String,
        /// The life of its process that is over.
        incarnation: u64,
    },
    /// The operator wants a store emptied and taken away.
    RetireStart {
        /// Its name.
        node: String,
        /// How many stores may be lost at once; more than that have to remain.
        tolerated_losses: u32,
        /// What an earlier call was told with [`Outcome::Fenced`](crate::Outcome::Fenced), else 0.
        fence: u64,
    },
    /// All that a store held is kept elsewhere.
    RetireDone {
        /// Its name.
        node: String,
        /// The life of its process that was emptied.
        incarnation: u64,
        /// The round in which it found so.
        round: u64,
    },
    /// A limiter asks a program's counter.
    Budget(CounterRequest),
}

/// An order of the operator, as it was sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// What it does with the body.
    pub kind: OrderKind,
    /// The generation that it builds on, 0 for none.
    pub base: u64,
    /// Its body, byte for byte.
    pub body: Vec<u8>,
    /// What an earlier call was told with [`Outcome::Fenced`](crate::Outcome::Fenced), else 0. No part of what the
    /// order says.
    pub fence: u64,
}

/// What an order does with its body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderKind {
    /// The body is a whole configuration.
    Replace,
    /// The body changes named items.
    Patch,
}

/// What a server says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerReport {
    /// Names this start of the server; every start has another.
    pub id: String,
    /// The service that it belongs to.
    pub backend: String,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Where it stands.
    pub zone: String,
    /// Of its software.
    pub generation: String,
    /// How many requests it handles at once.
    pub slots: u32,
    /// Whether it takes requests.
    pub state: ServerState,
    /// Rises with each report of one id.
    pub sequence: u64,
}

/// Whether a server takes requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum ServerState {
    /// It takes requests.
    Ready,
    /// It is about to end and is to get no more. There is no way back.
    Draining,
}

/// What a gateway or store says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeReport {
    /// The machine's name.
    pub name: String,
    /// What it is.
    pub kind: NodeKind,
    /// Where it stands.
    pub zone: String,
    /// Where other processes of the system reach it.
    pub address: SocketAddr,
    /// Rises with each life of its process.
    pub incarnation: u64,
    /// Of a store: names this life of its disk; another number means that the earlier contents are lost.
    pub disk: u64,
    /// Of a store: all that it should hold is there.
    pub whole: bool,
}

/// What a node is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum NodeKind {
    /// It carries the traffic.
    Gateway,
    /// It keeps turns.
    Store,
}
