//! Load balancing: chooses a server for each request, model engines by estimated time and cached prefix, other
//! servers by load.
//!
//! There is one [`Balancer`] in each gateway process. It opens no socket and reads no clock: the caller says when
//! something happened, in milliseconds of a steady clock, and dispatches the request where a [`Ticket`] points.
//!
//! - [`types`]: what goes in and comes out;
//! - `balancer`: the endpoints and the attempts in flight;
//! - `pool` and `endpoint`: the endpoints of one service, and what is known of one;
//! - `attempt`: one request at one server, from the choice to its outcome;
//! - `engine_selection` and `least_loaded`: the choice among model engines and among other servers;
//! - `admission`: when a request is rejected at once;
//! - `priority`: the rank of a request in an engine's queue;
//! - `timing_model`, `observation`, `linear_fit`, `ewma`: what a request would take, learned from observed times;
//! - `prefix_cache`, `prefix_statistics`, `rendezvous`: which engine caches the beginning of a prompt;
//! - `outlier`, `fault_hint`, `load`: ejection of faulty endpoints, hints of other gateways, load of all gateways.

mod admission;
mod attempt;
mod balancer;
mod endpoint;
mod engine_selection;
mod ewma;
mod fault_hint;
mod least_loaded;
mod linear_fit;
mod load;
mod observation;
mod outlier;
mod pool;
mod prefix_cache;
mod prefix_statistics;
mod priority;
mod rendezvous;
mod timing_model;
pub mod types;

pub use balancer::Balancer;
pub use types::{
    Choice, EngineShape, LoadReport, Millis, Outcome, PromptSegment, RoutingRequest, Server,
    ServerId, Ticket, TicketKey,
};
