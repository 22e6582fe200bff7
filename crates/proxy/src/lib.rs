//! The data plane: clients' and servers' connections, streams, retries, drain.
//!
//! One [`Front`] takes the connections of clients and sends each request to a server that its [`Node`] chooses.
//! All runs on one thread (`tokio::task::spawn_local`): a request, its server's connection and its answer are
//! driven by the task of the client's connection, so that the client's leaving ends them all at once.

mod answer;
mod asked;
mod body;
mod client;
mod clock;
mod events;
mod exchange;
mod flight;
mod front;
mod hop;
mod limit;
mod link;
mod memory;
mod node;
mod plain;
mod ready;
mod refusal;
mod reuse;
mod sending;
mod servers;
mod stream;
mod turn;
mod verdict;

pub use events::{Event, Splitter, TooLong};
pub use front::{Counters, Front, FrontSettings};
pub use node::{History, KeptTurn, Node, Reserve, TurnAsk, TurnKey};
pub use ready::serve_ready;
