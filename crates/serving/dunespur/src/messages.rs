//! Messages between the processes of the system, as postcard payloads of `dunespur-rpc` frames.
//!
//! Postcard encodes fields and variants by position, so their order is part of the protocol. `tests/bytes` holds the
//! encoded bytes of every variant.

use bytes::Bytes;
use dunespur_chain_replication::{MemberId, Message, Peer, View};
use dunespur_control_state::{Change, NodeReport, Operation, Outcome, RetirementState};
use dunespur_load_distribution::{Report, Update};
use dunespur_rpc::MAX_PAYLOAD_BYTES;
use dunespur_turn_replication::message::{StoreReply, StoreRequest};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// A request or one-way message to a process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Request {
    /// A state machine message between core members; one-way.
    Chain {
        /// The sending member.
        from: MemberId,
        /// The message for the receiver's state machine.
        message: Message,
    },
    /// Queries the newest view known to the process.
    QueryView,
    /// A machine with an empty disk at the first start of the system applies for membership of the first view.
    Candidate {
        /// The applying machine.
        peer: Peer,
    },
    /// Executes an operation; answered once the operation is committed.
    Execute(Operation),
    /// Reads the newest configuration, confirmed by the complete chain.
    ReadConfiguration,
    /// Reads the state of a store's retirement, confirmed by the complete chain.
    ReadRetirement {
        /// The store's name.
        node: String,
    },
    /// Requests changes of the control state after an index; waits for a bounded time if there are none.
    Watch(WatchRequest),
    /// Lease renewals, gossiped by another core member or sent by a store for its own lease; one-way.
    LeaseRenewals(LeaseRenewals),
    /// A request to a store.
    Store(StoreRequest),
    /// A core member sends the view to a process that may not know one; one-way.
    Announce(View),
    /// Queries the status of the process, optionally with the budget of one program.
    Status {
        /// The program's name; `None` omits budgets of programs.
        program: Option<String>,
    },
    /// A load report from one gateway to another, which is the load aggregator of a service.
    LoadReport(Report),
}

/// Requests changes of the control state and renews leases.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct WatchRequest {
    /// The newest index known to the caller; `None` requests the complete state.
    pub after: Option<u64>,
    /// Number of the newest view known to the caller; 0 if it knows none.
    pub view: u64,
    /// Leases renewed at the caller since its previous watch.
    pub renewals: LeaseRenewals,
}

/// Renewed leases of servers and nodes.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LeaseRenewals {
    /// Ids of the servers.
    pub servers: Vec<String>,
    /// Leases of gateways and stores.
    pub nodes: Vec<NodeLease>,
}

/// The lease of one incarnation of a process.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct NodeLease {
    /// The machine's name.
    pub name: String,
    /// Number of the process start; later starts have higher numbers.
    pub incarnation: u64,
}

impl NodeLease {
    /// The lease that belongs to a node's report.
    #[must_use]
    pub fn of(report: &NodeReport) -> NodeLease {
        NodeLease {
            name: report.name.clone(),
            incarnation: report.incarnation,
        }
    }
}

/// The reply to a [`Request`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// The process can't answer the request now; another process may.
    Unavailable,
    /// The newest view known to the process; also acknowledges messages that have no other reply.
    View(Option<View>),
    /// The answer to a candidate for the first view.
    Candidacy(Candidacy),
    /// The outcome of the operation.
    Executed(Outcome),
    /// The newest configuration as JSON; `None` if there is none yet.
    Configuration(Option<String>),
    /// State of the store's retirement; `None` if none was requested.
    Retirement(Option<RetirementState>),
    /// The answer to a watch.
    StateUpdate(StateUpdate),
    /// The reply of a store.
    Store(StoreReply),
    /// A [`Status`](crate::status::Status) as JSON.
    Status(String),
    /// The reply of a load aggregator.
    LoadUpdate(Update),
}

/// The answer to a candidate for the first view.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Candidacy {
    /// No first view yet, or another machine founds it: apply again soon.
    Wait,
    /// The first view; the asking machine is the head of its chain and starts it.
    Found(View),
    /// The system already has this view: join it.
    Join(View),
}

/// Changes after the index of a watch.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StateUpdate {
    /// The index of the control state after these changes.
    pub index: u64,
    /// Whether the changes are the complete state, which replaces the caller's.
    pub complete: bool,
    /// The changes, oldest first.
    pub changes: Vec<Change>,
    /// The newest view, if it is newer than the caller's.
    pub view: Option<View>,
}

/// Encodes a message.
pub fn encode<T: Serialize>(message: &T) -> Bytes {
    postcard::to_stdvec(message)
        .map(Bytes::from)
        .unwrap_or_default()
}

/// Encodes a reply. One that is larger than a frame can't be sent, so it is replaced by [`Reply::Unavailable`].
#[must_use]
pub fn encode_reply(reply: &Reply) -> Bytes {
    let payload = encode(reply);
    if payload.len() <= MAX_PAYLOAD_BYTES {
        return payload;
    }
    log::error!(
        "a reply of {} bytes can't be sent, as a frame carries at most {MAX_PAYLOAD_BYTES}",
        payload.len()
    );
    encode(&Reply::Unavailable)
}

/// Decodes a message; `None` if the payload is malformed.
#[must_use]
pub fn decode<T: DeserializeOwned>(payload: &[u8]) -> Option<T> {
    postcard::from_bytes(payload).ok()
}
