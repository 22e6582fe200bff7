//! The plain values that go into the choice of a server and come out of it.

use std::net::SocketAddr;
use std::rc::Rc;

/// Milliseconds of a steady clock.
pub type Millis = u64;

/// The id of one incarnation of a server.
pub type ServerId = Rc<str>;

/// Names one send of one request until it is finished.
pub type TicketKey = u64;

/// One server, as its registration states it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Server {
    /// Id of this incarnation.
    pub id: ServerId,
    /// The service that it belongs to.
    pub backend: Rc<str>,
    /// Where it takes connections.
    pub address: SocketAddr,
    /// The zone that it stands in.
    pub zone: Rc<str>,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it is leaving; such a server is never chosen.
    pub draining: bool,
    /// How much longer it is slow from its start, in milliseconds.
    pub cold_left_ms: u64,
    /// Set where the server is a model engine.
    pub engine: Option<EngineShape>,
    /// Connections that it accepts from all callers together; 0 when unknown.
    pub max_conns: u32,
}

/// What the configuration states of a service's engines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineShape {
    /// Tokens that fit into its memory, running requests and cached parts together.
    pub kv_capacity: u64,
    /// Requests in one batch.
    pub slots: u32,
    /// Tokens in one event of a stream.
    pub chunk_tokens: u32,
}

/// One part of a prompt; equal ids mean equal text.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Part {
    /// Names the text.
    pub id: u64,
    /// Length of the text.
    pub tokens: u32,
}

/// A request for which a server is wanted.
#[derive(Debug, Clone, Copy)]
pub struct Ask<'a> {
    /// The service that the route names.
    pub backend: &'a str,
    /// The agent program that the request belongs to.
    pub program: Option<&'a str>,
    /// The line of turns within the program.
    pub session: Option<&'a str>,
    /// The parts that the prompt consists of, in order.
    pub prefix: &'a [Part],
    /// Length of the whole prompt.
    pub prompt_tokens: u32,
    /// The most tokens that the answer may have.
    pub most_tokens: u32,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Rank of the route, 0 highest.
    pub priority: u8,
    /// Time until the client no longer wants an answer.
    pub time_left_ms: u64,
    /// Time within which an answer earns its full worth.
    pub target_ms: u64,
    /// Servers to which this request was sent before.
    pub tried: &'a [ServerId],
}

/// Where a request goes.
#[derive(Debug, Clone)]
pub enum Choice {
    /// Send it to the server of the ticket; it counts as in flight there.
    Send(Ticket),
    /// Turn it away: every place is taken and it can't be done in time.
    Refuse {
        /// When places are expected to be free again.
        retry_after_ms: u64,
    },
    /// No server is left that could be asked.
    NoServer,
}

/// One send of one request.
#[derive(Debug, Clone)]
pub struct Ticket {
    /// The chosen server.
    pub server: Rc<Server>,
    /// To be handed back with what became of the request.
    pub key: TicketKey,
    /// The `Priority` to set on the request, for engines.
    pub engine_priority: Option<u8>,
}

/// What became of a request that was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// A whole answer with success.
    Served {
        /// Tokens generated; 0 for a plain answer.
        tokens_out: u32,
    },
    /// An error status of the server's own, a reset, or bytes that form no answer.
    Failed,
    /// Nothing came in time.
    Silent,
    /// The server turned it away, as it was full; it has not run.
    Shed,
    /// Another instance has the address (421); it has not run.
    Moved,
    /// No connection came up.
    Unreachable,
    /// The client left first.
    Abandoned,
}

impl Outcome {
    /// Whether the server did anything at all.
    pub(crate) fn is_sign_of_life(self) -> bool {
        match self {
            Outcome::Served { .. } | Outcome::Failed | Outcome::Shed | Outcome::Moved => true,
            Outcome::Silent | Outcome::Unreachable | Outcome::Abandoned => false,
        }
    }
}

/// What one gateway has in flight on one server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadReport {
    /// The server.
    pub server: ServerId,
    /// Requests sent there that are not finished.
    pub in_flight: u32,
    /// Prompt tokens that it is still to read for those without a first event.
    pub waiting_tokens: u64,
}
