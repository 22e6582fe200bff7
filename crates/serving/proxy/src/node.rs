//! What the data plane asks of its node. All decisions outside HTTP lie behind it.

use bytes::Bytes;
use dunespur_configuration::RouteTable;
use dunespur_routing::{Choice, Outcome, RoutingRequest, TicketKey};
use std::future::Future;
use std::rc::Rc;

/// The node that a [`crate::ProxyServer`] belongs to.
pub trait Node: 'static {
    /// The routes of the configuration in force; none before the first has come.
    fn route_table(&self) -> Option<Rc<RouteTable>>;

    /// Whether the configuration may be another one by now, as no update has arrived for too long.
    fn is_configuration_stale(&self) -> bool;

    /// Ready once what the node knows has changed, the configuration or anything else.
    fn next_change(&self) -> impl Future<Output = ()>;

    /// Whether new client connections are wanted.
    fn is_ready(&self) -> bool;

    /// The endpoint for a request. With [`Choice::Send`] the request counts as in flight there until `finished`.
    fn choose(&self, request: &RoutingRequest) -> Choice;

    /// The first event of a stream, or the head of a plain response, has come.
    fn first_event(&self, key: TicketKey);

    /// The outcome of a request that was sent. Called once for each ticket, whatever happens.
    fn finished(&self, key: TicketKey, outcome: Outcome);

    /// Reserves the most tokens that a turn may generate. A future that is dropped before it is ready leaves nothing
    /// reserved.
    fn admit(&self, turn: AdmissionRequest<'_>) -> impl Future<Output = AdmissionDecision>;

    /// Tokens of a turn that are about to be forwarded to its client.
    fn record_tokens(&self, turn: TurnKey, tokens: u64);

    /// A turn has ended: what it has not used is free. Called once for each admitted turn, whatever happens.
    fn release(&self, turn: TurnKey);

    /// The turns that a turn continues.
    fn history(&self, program: &str, previous: &str) -> impl Future<Output = History>;

    /// Stores a turn; true once it is durable. Only then does its client get the last byte.
    fn persist(&self, turn: CompletedTurn) -> impl Future<Output = bool>;
}

/// A turn to be admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionRequest<'a> {
    /// The agent program.
    pub program: &'a str,
    /// Tokens that all turns of the program may generate.
    pub budget: u64,
    /// The most tokens that this turn generates.
    pub max_tokens: u64,
}

/// Names an admitted turn until it is released.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct TurnKey(pub u64);

/// Whether a turn may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// It may.
    Admitted(TurnKey),
    /// The budget is spent: it never runs.
    BudgetSpent,
    /// Not now: it isn't known whether the budget allows it.
    RetryLater {
        /// When the client may retry.
        retry_after_ms: u64,
    },
}

/// The stored turns that a turn continues.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum History {
    /// The inputs and outputs of the chain, from the oldest on.
    Found(Vec<Bytes>),
    /// There is no such turn.
    Unknown,
    /// Not all stores that may have it could be asked.
    Unavailable {
        /// When the client may retry.
        retry_after_ms: u64,
    },
}

/// A turn with a complete response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CompletedTurn {
    /// Its `X-Dunespur-Request-Id`.
    pub id: String,
    /// The turn that it continued.
    pub previous: Option<String>,
    /// The agent program; empty where the client named none.
    pub program: String,
    /// What the client sent.
    pub input: Bytes,
    /// The data of each event, followed by a line feed.
    pub output: Bytes,
    /// How long it is to be retained from now on.
    pub retention_ms: u64,
}
