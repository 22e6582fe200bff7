//! A member of the core: runs the chain's state machine with a disk and connections to the other members, applies
//! committed operations to the control state, and answers gateways and stores.
//!
//! Steps of an operation: [`coordinator`] receives it (`coordinator/requests.rs`) and proposes it to the state
//! machine, sends the resulting messages to the other members ([`peer_links`]), which replicate the operation along
//! the chain, persists the state machine's writes ([`disk_writer`]), applies committed operations
//! ([`applied_state`]), and notifies callers ([`pending_operations`]) and watches (`coordinator/watches.rs`).

mod applied_state;
mod change_log;
mod coordinator;
mod disk_writer;
mod encoded_updates;
mod lease_expiry;
mod lease_table;
mod peer_links;
mod pending_operations;
mod pending_reads;
mod replay_cost;
mod replica;

pub use coordinator::{Coordinator, CoreIdentity};
