//! One store machine as a state machine: requests, membership changes, replies of other stores, completions of the
//! disk and the time go in; [`Effect`]s come out. The process around it owns sockets, disk and clock.
//!
//! After every call take all effects with [`StoreNode::poll`], and call [`StoreNode::tick`] when
//! [`StoreNode::next_due`] says so. Disk work is to be done in the order in which it comes.
//!
//! - [`StoreNode`] and what it holds: `state`; what can happen to it: `events`.
//! - What follows from each: `requests`, `commits` (and expiry), `pulls` (anti-entropy), `completions` (missing
//!   ancestors), `handoffs`, `membership`.
//! - Its two life cycles: `bootstrap` (how far a new disk is), `lifecycle` (whether the store is draining).

mod bootstrap;
mod commits;
mod completions;
mod events;
mod handoffs;
mod interface;
mod lifecycle;
mod membership;
mod phases;
mod pulls;
mod purposes;
mod requests;
mod state;

pub use interface::{Declaration, DiskOutcome, DiskState, DiskWork, Effect, StoreSettings};
pub use state::StoreNode;
pub use state::{BOOTSTRAP_GRACE_MS, EXPIRY_SWEEP_MS, PEER_REQUEST_TIMEOUT_MS};
