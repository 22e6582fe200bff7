//! The input and output types of the balancer.

use std::net::SocketAddr;
use std::rc::Rc;

/// Milliseconds of a steady clock.
pub type Millis = u64;

/// Id of one incarnation of a server.
pub type ServerId = Rc<str>;

/// Identifies one attempt of one request until its outcome is recorded.
pub type TicketKey = u64;

/// One server, as its registration states it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Server {
    /// Id of this incarnation.
    pub id: ServerId,
    /// The service that the server belongs to.
    pub backend: Rc<str>,
    /// The address at which the server accepts connections.
    pub address: SocketAddr,
    /// The server's failure domain.
    pub zone: Rc<str>,
    /// Requests that the server processes at once.
    pub slots: u32,
    /// Whether the server is shutting down gracefully; a draining server is never chosen.
    pub draining: bool,
    /// Remaining time for which the server is slow after its start, in milliseconds.
    pub warmup_left_ms: u64,
    /// Set if the server is a model engine.
    pub engine: Option<EngineParameters>,
    /// Connections that the server accepts from all callers together; 0 if unknown.
    pub max_conns: u32,
}

/// The configured parameters of a service's engines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineParameters {
    /// Tokens that fit into the KV cache of an engine, for running requests and cached prefixes together.
    pub kv_capacity: u64,
    /// Maximum number of requests in one batch.
    pub slots: u32,
    /// Tokens in one event of a stream.
    pub chunk_tokens: u32,
}

/// A part of a prompt; equal ids mean equal text.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptSegment {
    /// Identifies the text of the segment.
    pub id: u64,
    /// Length of the text in tokens.
    pub tokens: u32,
}

/// A request for which a server is to be chosen.
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
    /// Length of the complete prompt in tokens.
    pub prompt_tokens: u32,
    /// Maximum number of tokens to generate.
    pub max_tokens: u32,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Priority of the route; 0 is the most urgent.
    pub priority: u8,
    /// Time left until the client's deadline, in milliseconds.
    pub time_left_ms: u64,
    /// The route's latency target in milliseconds; a later response is worth less.
    pub target_ms: u64,
    /// Servers at which this request has already been attempted.
    pub tried: &'a [ServerId],
}

/// The balancer's decision on a request.
#[derive(Debug, Clone)]
pub enum Choice {
    /// Dispatch the request to the ticket's server, where it counts as in flight.
    Send(Ticket),
    /// Reject the request: every slot is taken and the request would miss its deadline.
    Reject {
        /// Time after which the client may retry, in milliseconds.
        retry_after_ms: u64,
    },
    /// No server is eligible for the request.
    NoServer,
}

/// Whether a server that was chosen earlier may still get the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Availability {
    /// The server is listed and takes requests.
    InService,
    /// The server is draining or no longer listed; it may still run requests that it has.
    Leaving,
    /// Another server has the address; the chosen one is gone.
    Replaced,
}

/// An attempt of a request that is to be dispatched.
#[derive(Debug, Clone)]
pub struct Ticket {
    /// The chosen server.
    pub server: Rc<Server>,
    /// Identifies the attempt; passed back with its outcome.
    pub key: TicketKey,
    /// Value of the request's `Priority` header; only set for engines.
    pub engine_priority: Option<u8>,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// A complete and successful response.
    Served {
        /// Tokens generated; 0 for a server without an engine.
        tokens_out: u32,
    },
    /// An error status from the server itself, a connection reset, or an invalid response.
    Failed,
    /// No response within the time limit.
    TimedOut,
    /// The server was full and rejected the request, which has not run.
    Rejected,
    /// Another instance has the address (421 Misdirected Request, RFC 9110 section 15.5.20); the request has not run.
    Misdirected,
    /// No connection was established.
    Unreachable,
    /// The client disconnected before the response was complete.
    Cancelled,
}

impl Outcome {
    /// Whether the server has sent a response of any kind.
    pub(crate) fn is_response(self) -> bool {
        match self {
            Outcome::Served { .. } | Outcome::Failed | Outcome::Rejected | Outcome::Misdirected => {
                true
            }
            Outcome::TimedOut | Outcome::Unreachable | Outcome::Cancelled => false,
        }
    }
}

/// The load of one gateway on one server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadReport {
    /// Id of the server.
    pub server: ServerId,
    /// The gateway's requests in flight on the server.
    pub in_flight: u32,
    /// Prompt tokens that the server still has to prefill for requests without a first event.
    pub prefill_tokens: u64,
}
