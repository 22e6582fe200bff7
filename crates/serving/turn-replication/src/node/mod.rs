//! One store machine as a state machine. Its inputs are requests, membership changes, replies of other stores, results
//! of disk jobs and the time; its outputs are [`Effect`]s. The process around it owns sockets, disk and clock.
//!
//! After every call the process has to take all effects with [`StoreNode::poll`], and it has to call
//! [`StoreNode::tick`] at the time that [`StoreNode::next_due`] returns. Disk jobs have to be done in order.
//!
//! - `state` contains [`StoreNode`] and its fields; `events` contains the entry points for its inputs.
//! - The inputs are handled in `requests`, `commits` (and expiry), `pulls` (anti-entropy), `completions` (missing
//!   ancestors), `handoffs` and `membership`.
//! - The two life cycles are in `bootstrap` (filling a new disk) and `lifecycle` (draining the store).

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
