//! Load balancing: chooses a server for each request. Model engines are chosen by estimated time and cached prefix,
//! other servers by load.
//!
//! Each gateway process has one [`Balancer`]. It opens no sockets and reads no clock: the caller passes the time in
//! milliseconds of a steady clock, and dispatches the request to the server of the [`Ticket`].
//!
//! - [`types`]: the types of the public interface;
//! - `balancer`: the balancer of all services, and the attempts in flight;
//! - `pool` and `endpoint`: the endpoints of one service, and the state of one endpoint;
//! - `attempt`: one attempt of a request at one server, from dispatch to outcome;
//! - `engine_selection` and `least_loaded`: the choice among model engines and among other servers;
//! - `admission`: rejection of requests that would miss their deadline;
//! - `priority`: the priority of a request in an engine's queue;
//! - `timing_model`, `observation`, `linear_fit`, `ewma`: estimates of a request's time, learned from observed times;
//! - `prefix_cache`, `prefix_statistics`, `rendezvous`: estimates of which engine caches the prefix of a prompt;
//! - `outlier`, `fault_hint`, `load`: ejection of faulty endpoints, fault hints and load reports of other gateways.

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
    Availability, Choice, EngineParameters, LoadReport, Millis, Outcome, PromptSegment,
    RoutingRequest, Server, ServerId, Ticket, TicketKey,
};
