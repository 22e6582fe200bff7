//! Choice of a server: engines by estimated time and held context, plain servers by load.
//!
//! One [`Chooser`] lives in each gateway process. It opens no socket and reads no clock: the caller says when
//! something happened, in milliseconds of a steady clock, and sends the request where a [`Ticket`] points.
//!
//! - [`types`]: what goes in and out;
//! - `chooser`: the list of servers and the requests in flight;
//! - `flight`: one send, from its server's choice to its end;
//! - `engines` and `plain`: the choice among model engines and among other servers;
//! - `admission`: when a request is turned away;
//! - `priority`: the rank of a request at an engine;
//! - `estimate`, `learning`, `line_fit`: what an engine would take, learnt from observed times;
//! - `prefix_cache`, `sharing`, `rendezvous`: which engine holds the beginning of a prompt;
//! - `health`, `hint`, `load`, `member`: what is known of one server.

mod admission;
mod chooser;
mod engines;
mod estimate;
mod flight;
mod health;
mod hint;
mod learning;
mod line_fit;
mod load;
mod member;
mod plain;
mod pool;
mod prefix_cache;
mod priority;
mod rendezvous;
mod sharing;
pub mod types;

pub use chooser::Chooser;
pub use types::{
    Ask, Choice, EngineShape, LoadReport, Millis, Outcome, Part, Server, ServerId, Ticket,
    TicketKey,
};
