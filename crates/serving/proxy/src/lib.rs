//! The data plane: clients' and servers' connections, streams, retries, drain.
//!
//! One [`Front`] takes the connections of clients and sends each request to a server that its [`Node`] chooses.
//! All runs on one thread (`tokio::task::spawn_local`): a request, its server's connection and its answer are
//! driven by the task of the client's connection, so that the client's leaving ends them all at once.
//!
//! What is decided here:
//!
//! - Every attempt to have a request answered ends in one row of one table ([`disposition`]).
//! - A request that can't be repeated is sent on only as long as nothing of it can have run. What can be repeated
//!   runs at no more servers than its route's `retries`; where these are used up it may be sent to the same server
//!   again, and a server found to be gone no longer counts.
//! - A 402, 408 or 503 of the system's own promises that the request has not run and never will. Where it may have
//!   run, a 502 or 504 tells so; no answer of the system's own carries a server's stamp.
//! - Short answers are awaited whole, so that a broken one becomes a failure; long ones and streams are passed on as
//!   they come, and end visibly broken if the server's does.
//! - The end of a kept turn's answer waits until the turn is kept. An output too long to be kept ends broken, as does
//!   a success that is no stream: whole, they would promise that a later turn may go on from them. For the same
//!   reason a client takes no kept turn up behind `Last-Event-Id`: the turn is refused with a 503, to be sent anew.
//! - A request with a length beside chunks is read by its chunks, and its connection ends with the answer.

mod answer;
mod answer_head;
mod asked;
mod attempt;
mod body;
mod client;
mod clock;
pub mod disposition;
mod events;
mod exchange;
mod flight;
mod front;
mod guards;
mod http_headers;
mod limit;
mod link;
mod memory;
mod node;
mod plain;
mod progress;
mod ready;
mod refusal;
mod reply;
mod reuse;
mod run_record;
mod sending;
mod servers;
mod stream;
mod trace;
mod turn;
mod watched_stream;

pub use events::{Event, Splitter, TooLong};
pub use front::{Counters, Front, FrontSettings};
pub use guards::Guards;
pub use node::{History, KeptTurn, Node, Reserve, TurnAsk, TurnKey};
pub use ready::serve_ready;
