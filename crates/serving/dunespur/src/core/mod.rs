//! A member of the core: runs the replica's state machine with its disk and its links, applies what is committed to
//! the control state, and answers gateways and stores.
//!
//! The way of a change, step by step: [`coordinator`] *receives* an operation (`coordinator/requests.rs`), *proposes*
//! it to the state machine, *sends* the messages that come of it over its links ([`peer_links`]), which replicate it
//! along the chain, *persists* what the state machine writes ([`disk_writer`]), *applies* what the chain has committed
//! ([`applied_state`]), and *notifies* callers ([`pending_operations`]) and watches (`coordinator/watches.rs`).

mod applied_state;
mod change_log;
mod coordinator;
mod disk_writer;
mod lease_expiry;
mod lease_table;
mod peer_links;
mod pending_operations;
mod pending_reads;
mod replica;

pub use coordinator::{Coordinator, CoreIdentity};
