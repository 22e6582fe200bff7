//! Messages between the processes of the system, as postcard payloads of `dunespur-rpc` frames.
//!
//! Postcard goes by position and order: a field or variant that moves is another message. `tests/bytes` has the bytes
//! of every variant.

use bytes::Bytes;
use dunespur_chain_replication::{MemberId, Message, Peer, View};
use dunespur_control_state::{Change, NodeReport, Operation, Outcome, RetirementState};
use dunespur_load_distribution::{Report, Update};
use dunespur_turn_replication::message::{StoreReply, StoreRequest};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// A call or message to a process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Request {
    /// From one core member to another; not answered.
    Chain {
        /// The sender.
        from: MemberId,
        /// For its state machine.
        message: Message,
    },
    /// Queries the newest view that the process knows of.
    QueryView,
    /// A machine with an empty disk at the first start of the system applies for membership of the first view.
    Candidate {
        /// The machine.
        peer: Peer,
    },
    /// Executes an operation; answered once it is committed.
    Execute(Operation),
    /// The newest configuration, confirmed by the complete chain.
    ReadConfiguration,
    /// How far a retirement is, confirmed by the complete chain.
    ReadRetirement {
        /// The store's name.
        node: String,
    },
    /// Changes of the control state after an index; waits for some, a bounded time.
    Watch(WatchRequest),
    /// Leases whose renewals reached another core member.
    LeaseRenewals(LeaseRenewals),
    /// To a store.
    Store(StoreRequest),
    /// A core member tells the view to a process that may know none; not answered.
    Announce(View),
    /// Queries the status of the process, and of the budget of a program.
    Status {
        /// The program's name; none leaves its budget out.
        program: Option<String>,
    },
    /// From one gateway to another as the load aggregator of a service.
    LoadReport(Report),
}

/// Requests changes, and renews leases on the way.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct WatchRequest {
    /// The newest index that the caller knows; `None` requests everything.
    pub after: Option<u64>,
    /// Number of the newest view that the caller knows.
    pub view: u64,
    /// Leases renewed at the caller since its watch before.
    pub renewals: LeaseRenewals,
}

/// Servers and nodes that renewed their leases.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LeaseRenewals {
    /// Ids of servers.
    pub servers: Vec<String>,
    /// Gateways and stores.
    pub nodes: Vec<NodeLease>,
}

/// The lease of one incarnation of a process.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct NodeLease {
    /// The machine's name.
    pub name: String,
    /// Rises with each start of its process.
    pub incarnation: u64,
}

impl NodeLease {
    /// The lease of a node that reports itself so.
    #[must_use]
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
    /// The newest view that the process knows of; also acknowledges messages that have no other answer.
    View(Option<View>),
    /// To a candidate for the first view.
    Candidacy(Candidacy),
    /// What the operation came to.
    Executed(Outcome),
    /// The newest configuration as JSON; `None` where there is none yet.
    Configuration(Option<String>),
    /// How far the retirement is; `None` where there is none.
    Retirement(Option<RetirementState>),
    /// To a watch.
    StateUpdate(StateUpdate),
    /// Of a store.
    Store(StoreReply),
    /// A [`Status`](crate::status::Status) as JSON.
    Status(String),
    /// Of a load aggregator.
    LoadUpdate(Update),
}

/// The answer to a candidate for the first view.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Candidacy {
    /// Apply again soon.
    Wait,
    /// The first view, with the asking machine in it.
    Found(View),
    /// The system stands already: join it.
    Join(View),
}

/// Changes after the index of a watch.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StateUpdate {
    /// The index up to which these changes go.
    pub index: u64,
    /// The changes are the complete state, and replace what the caller has.
    pub complete: bool,
    /// The changes, in their order.
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
#[must_use]
pub fn decode<T: DeserializeOwned>(payload: &[u8]) -> Option<T> {
    postcard::from_bytes(payload).ok()
}
