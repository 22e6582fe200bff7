//! What processes of the system say to each other, as postcard payloads of `dunespur-link` frames.

use bytes::Bytes;
use dunespur_chain_replication::{MemberId, Message, Peer, View};
use dunespur_control_state::{Change, NodeReport, Operation, Outcome, RetireState};
use dunespur_load_distribution::{Answer, Ask};
use dunespur_turn_replication::message::{StoreReply, StoreRequest};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// A call or message to a process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Request {
    /// From one core member to another; not answered.
    Chain { from: MemberId, message: Message },
    /// Which view do you know of?
    Hello,
    /// A machine with an empty disk at the first start of the system asks to be part of the first view.
    Candidate { peer: Peer },
    /// Carry out an operation; answered once it is committed.
    Execute(Operation),
    /// The newest configuration, confirmed by the whole chain.
    ReadConfiguration,
    /// How far a retirement is, confirmed by the whole chain.
    ReadRetirement { node: String },
    /// Changes of the control state after an index; waits for some, a bounded time.
    Watch(WatchRequest),
    /// Leases that other core members were told of.
    LeaseRenewals(LeaseRenewals),
    /// To a store.
    Store(StoreRequest),
    /// A core member tells the view to a process that may know none; not answered.
    Announce(View),
    /// How are you, and how is the budget of this program?
    Status { program: Option<String> },
    /// From one gateway to another as the home of a service.
    Home(Ask),
}

/// Asks for changes, and renews leases on the way.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct WatchRequest {
    /// The newest index that the caller holds; `None` asks for everything.
    pub after: Option<u64>,
    /// Number of the newest view that the caller knows.
    pub view: u64,
    pub renewals: LeaseRenewals,
}

/// Servers and nodes that were heard of lately.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LeaseRenewals {
    /// Ids of servers.
    pub servers: Vec<String>,
    pub nodes: Vec<NodeLease>,
}

/// One life of a process that renews its membership.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct NodeLease {
    pub name: String,
    pub incarnation: u64,
}

impl NodeLease {
    /// The lease of a node that reports itself so.
    pub fn of(report: &NodeReport) -> NodeLease {
        NodeLease {
            name: report.name.clone(),
            incarnation: report.incarnation,
        }
    }
}

/// Answers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// The process can't answer this now; another one may.
    Unavailable,
    View(Option<View>),
    Candidacy(Candidacy),
    Executed(Outcome),
    Configuration(Option<String>),
    Retirement(Option<RetireState>),
    StateUpdate(StateUpdate),
    Store(StoreReply),
    /// A [`Status`](crate::status::Status) as JSON.
    Status(String),
    Home(Answer),
}

/// What a candidate for the first view is told.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Candidacy {
    /// Ask again soon.
    Wait,
    /// The first view, with the asking machine in it.
    Found(View),
    /// The system stands already: join it.
    Join(View),
}

/// Changes after the index that was asked for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StateUpdate {
    /// The index up to which these changes go.
    pub index: u64,
    /// The list holds the whole state, and replaces what the caller has.
    pub complete: bool,
    pub changes: Vec<Change>,
    /// The view, if it is newer than the caller's.
    pub view: Option<View>,
}

/// The payload of a message.
pub fn encode<T: Serialize>(message: &T) -> Bytes {
    postcard::to_stdvec(message)
        .map(Bytes::from)
        .unwrap_or_default()
}

/// The message of a payload, if it is one.
pub fn decode<T: DeserializeOwned>(payload: &[u8]) -> Option<T> {
    postcard::from_bytes(payload).ok()
}
