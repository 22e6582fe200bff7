//! The interface of the data plane to its node, which makes all decisions that are not about HTTP.

use bytes::Bytes;
use dunespur_configuration::RouteTable;
use dunespur_routing::{Availability, Choice, Outcome, RoutingRequest, Server, TicketKey};
use std::future::Future;
use std::rc::Rc;

/// The node that a [`crate::ProxyServer`] belongs to.
pub trait Node: 'static {
    /// Returns the routes of the current configuration; None before the first configuration has arrived.
    fn route_table(&self) -> Option<Rc<RouteTable>>;

    /// Whether the configuration may be outdated, because no update has arrived for too long.
    fn is_configuration_stale(&self) -> bool;

    /// Waits until the configuration or any other state of the node has changed.
    fn next_change(&self) -> impl Future<Output = ()>;

    /// Whether the platform should send new client connections to this node.
    fn is_ready(&self) -> bool;

    /// Chooses an endpoint for a request. After [`Choice::Send`] the request counts as in flight there until
    /// [`Node::record_outcome`].
    fn choose(&self, request: &RoutingRequest) -> Choice;

    /// Returns whether an endpoint that [`Node::choose`] returned earlier may still get the request.
    fn availability(&self, endpoint: &Server) -> Availability;

    /// Records the first event of a stream, or the head of a plain response.
    fn record_first_event(&self, key: TicketKey);

    /// Records the outcome of a request in flight. Called exactly once for each ticket.
    fn record_outcome(&self, key: TicketKey, outcome: Outcome);

    /// Reserves the most tokens that a turn may generate. If the future is dropped before it is ready, nothing stays
    /// reserved.
    fn admit(&self, turn: AdmissionRequest<'_>) -> impl Future<Output = AdmissionDecision>;

    /// Records tokens of a turn that are about to be forwarded to the client.
    fn record_tokens(&self, turn: TurnKey, tokens: u64);

    /// Ends a turn and releases its unused tokens. Called exactly once for each admitted turn.
    fn release(&self, turn: TurnKey);

    /// Returns the stored turns up to and including `previous`.
    fn history(&self, program: &str, previous: &str) -> impl Future<Output = History>;

    /// Stores a turn; returns true once it is durable. Only then does the client get the last byte.
    fn persist(&self, turn: CompletedTurn) -> impl Future<Output = bool>;
}

/// A turn to be admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionRequest<'a> {
    /// The agent program.
    pub program: &'a str,
    /// Tokens that all turns of the program may generate.
    pub budget: u64,
    /// The most tokens that this turn may generate.
    pub max_tokens: u64,
}

/// Identifies an admitted turn until it is released.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct TurnKey(pub u64);

/// Whether a turn may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// The turn may run.
    Admitted(TurnKey),
    /// The budget is spent; the turn must not run.
    BudgetSpent,
    /// It is not known at present whether the budget allows the turn.
    RetryLater {
        /// Milliseconds until the client may retry.
        retry_after_ms: u64,
    },
}

/// The stored turns that a turn continues.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum History {
    /// The inputs and outputs of the turns, oldest first.
    Found(Vec<Bytes>),
    /// The previous turn does not exist.
    Unknown,
    /// Not all stores that may have the turns could be queried.
    Unavailable {
        /// Milliseconds until the client may retry.
        retry_after_ms: u64,
    },
}

/// A turn with a complete response, to be stored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CompletedTurn {
    /// The `X-Dunespur-Request-Id` of the turn's request.
    pub id: String,
    /// The id of the turn that this turn continues.
    pub previous: Option<String>,
    /// The agent program; empty if the client named none.
    pub program: String,
    /// The body of the client's request.
    pub input: Bytes,
    /// The data lines of all events, each followed by a line feed.
    pub output: Bytes,
    /// How long the turn is to be retained from now on, in milliseconds.
    pub retention_ms: u64,
}
