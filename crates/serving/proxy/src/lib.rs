//! The data plane: client and endpoint connections, event streams, retries, graceful shutdown.
//!
//! One [`ProxyServer`] accepts client connections and forwards each request to an endpoint (a server instance of a
//! service) that its [`Node`] chooses. Everything runs on one thread (`tokio::task::spawn_local`): a request, its
//! endpoint connection and its response are driven by the task of the client's connection, so that a client that
//! disconnects ends them all at once.
//!
//! # A request's way, by module
//!
//! | step | modules |
//! | --- | --- |
//! | accept | `server` listens, accepts, expires idle clients and drains; `client_task` serves one connection, `client_connection` is its state |
//! | parse | `parsed_request` reads the headers, `request_body` the body within `body_memory` |
//! | match | `route_match` finds the route, waiting for the first configuration where needed |
//! | admit | `admission` looks up the turns that a turn continues and reserves its token budget |
//! | choose | `active_request` asks the node for an endpoint, within the request's `deadline` |
//! | send | `dispatch` decides about retries, `attempt` makes one of them, `connection_pool` and `endpoint_connection` carry it |
//! | relay | `relay` forwards plain responses, `event_relay` streams of events, `client_body` hands both to the client |
//! | record | `in_flight` reports each outcome to the node, `execution_record` where the request may have run, `admitted_turn` its tokens |
//!
//! `handler` calls these steps in this order.
//!
//! # Rules
//!
//! - Every attempt to get a response is classified by one table ([`classification`]).
//! - A request that is not idempotent is retried only as long as nothing of it can have run. An idempotent one runs at
//!   no more endpoints than its route's `retries`; once these are used up it may be sent to the same endpoint again,
//!   and an endpoint that turns out to have crashed no longer counts.
//! - A 402, 408 or 503 of the proxy's own promises that the request has not run and never will. Where it may have run,
//!   a 502 or 504 says so; no response of the proxy's own carries an endpoint's stamp.
//! - Short responses are buffered, so that a truncated one becomes an error status; long ones and event streams are
//!   forwarded as they arrive, and end visibly truncated if the endpoint's does.
//! - The end of a persisted turn's response waits until the turn is stored. An output too long to be stored ends
//!   truncated, as does a success that is no event stream: complete, they would promise that a later turn can
//!   continue from them. For the same reason no client resumes a persisted turn by `Last-Event-Id`: the request is
//!   rejected with a 503, to be sent anew.
//! - A request with both a length and chunks is read by its chunks, and its connection closes with the response
//!   (RFC 9112 section 6.3).

mod active_request;
mod admission;
mod admitted_turn;
mod attempt;
mod attempt_error;
mod body_memory;
pub mod classification;
mod client_body;
mod client_connection;
mod client_task;
mod clock;
mod connection_permit;
mod connection_pool;
mod counters;
mod deadline;
mod dial;
mod dispatch;
mod endpoint_connection;
mod endpoint_io;
mod endpoint_response;
mod event_relay;
mod event_stream;
mod execution_record;
mod handler;
mod http_headers;
mod idle_age;
mod in_flight;
mod monitored_stream;
mod node;
mod outbound_request;
mod parsed_request;
mod readiness;
mod rejection;
mod relay;
mod request_body;
mod response_head;
mod route_match;
mod safeguards;
mod send_tracker;
mod server;
mod shared;
mod trace;

pub use counters::Counters;
pub use event_stream::{Event, EventSplitter, EventTooLong};
pub use node::{AdmissionDecision, AdmissionRequest, CompletedTurn, History, Node, TurnKey};
pub use readiness::serve_readiness;
pub use safeguards::Safeguards;
pub use server::{ProxyServer, ProxySettings};
