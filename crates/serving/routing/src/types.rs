//! The plain values that go into the choice of a server and come out of it.

use std::net::SocketAddr;
use std::rc::Rc;

/// Milliseconds of a steady clock.
pub type Millis = u64;

/// The id of one incarnation of a server.
pub type ServerId = Rc<str>;

/// Identifies one attempt of one request until it is finished.
pub type TicketKey = u64;

/// One server, as its registration states it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Server {
    /// Id of this incarnation.
    pub id: ServerId,
    /// The service that it belongs to.
    pub backend: Rc<str>,
    /// Where it accepts connections.
    pub address: SocketAddr,
    /// Its failure domain.
    pub zone: Rc<str>,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it is shutting down gracefully; such a server is never chosen.
    pub draining: bool,
    /// How much longer it is slow after its start, in milliseconds.
    pub warmup_left_ms: u64,
    /// Set where the server is a model engine.
    pub engine: Option<EngineShape>,
    /// Connections that it accepts from all callers together; 0 when unknown.
    pub max_conns: u32,
}

/// What the configuration states of a service's engines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineShape {
    /// Tokens that fit into its KV cache, running requests and cached prefixes together.
    pub kv_capacity: u64,
    /// Requests in one batch.
    pub slots: u32,
    /// Tokens in one event of a stream.
    pub chunk_tokens: u32,
}

/// One segment of a prompt; equal ids mean equal text.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptSegment {
    /// Identifies the text.
    pub id: u64,
    /// Length of the text in tokens.
    pub tokens: u32,
}

/// A request for which a server is wanted.
#[derive(Debug, Clone, Copy)]
pub struct RoutingRequest<'a> {
    /// The service that the route names.
    pub backend: &'a str,
    /// The agent program that the request belongs to.
    pub program: Option<&'a str>,
    /// The sequence of turns within the program.
    pub session: Option<&'a str>,
    /// The segments of the prompt, in order.
    pub prefix: &'a [PromptSegment],
    /// Length of the complete prompt.
    pub prompt_tokens: u32,
    /// Upper bound of the tokens to generate.
    pub max_tokens: u32,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Priority of the route, 0 highest.
    pub priority: u8,
    /// Time until the client no longer wants an answer.
    pub time_left_ms: u64,
    /// The route's latency target: a later answer counts for less.
    pub target_ms: u64,
    /// Servers at which this request was attempted before.
    pub tried: &'a [ServerId],
}

/// What to do with a request.
#[derive(Debug, Clone)]
pub enum Choice {
    /// Dispatch it to the ticket's server; it counts as in flight there.
    Send(Ticket),
    /// Reject it: every slot is taken and it can't be done in time.
    Reject {
        /// When slots are expected to be free again.
        retry_after_ms: u64,
    },
    /// No eligible server is left.
    NoServer,
}

/// One attempt of one request.
#[derive(Debug, Clone)]
pub struct Ticket {
    /// The chosen server.
    pub server: Rc<Server>,
    /// To be handed back with the attempt's outcome.
    pub key: TicketKey,
    /// The `Priority` header to set on the request, for engines.
    pub engine_priority: Option<u8>,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// A complete response with success.
    Served {
        /// Tokens generated; 0 where the server is no engine.
        tokens_out: u32,
    },
    /// An error status of the server's own, a reset, or bytes that form no response.
    Failed,
    /// No response in time.
    TimedOut,
    /// The server rejected it, as it was full; it has not run.
    Rejected,
    /// Another instance has the address (421 Misdirected Request, RFC 9110 section 15.5.20); it has not run.
    Misdirected,
    /// No connection was established.
    Unreachable,
    /// The client disconnected first.
    Cancelled,
}

impl Outcome {
    /// Whether the server responded at all.
    pub(crate) fn is_response(self) -> bool {
        match self {
            Outcome::Served { .. } | Outcome::Failed | Outcome::Rejected | Outcome::Misdirected => {
                true
            }
            Outcome::TimedOut | Outcome::Unreachable | Outcome::Cancelled => false,
        }
    }
}

/// What one gateway has in flight on one server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadReport {
    /// The server.
    pub server: ServerId,
    /// Requests in flight there.
    pub in_flight: u32,
    /// Prompt tokens that it has yet to prefill for those without a first event.
    pub prefill_tokens: u64,
}
