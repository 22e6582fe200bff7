//! The control state that the core agrees on: configuration, servers, gateways, stores, budgets.
//!
//! Every core member applies the same committed [`Operation`]s in the same order to its [`ControlState`] and
//! so comes to the same state. What an operation comes to is its [`Outcome`]; what it changes for the data
//! plane is a list of [`Change`]s, which subscribers are sent. There is no clock and no I/O: an operation
//! that needs a time carries it.
//!
//! Operations may be doubled, overtaken and late, since whoever sends one and hears nothing sends it again.
//! Each part of the state says how it stands up to that.

mod change;
mod configuration;
mod departed;
mod gateways;
mod guards;
mod operation;
mod orders;
mod outcome;
mod retirement;
mod servers;
mod snapshot;
mod state;
mod stores;

pub use change::{Change, GatewayEntry};
pub use dunespur_turn_replication::membership::StoreEntry;
pub use guards::Guards;
pub use operation::{NodeKind, NodeReport, Operation, Order, OrderKind, ServerReport, ServerState};
pub use outcome::{Outcome, RetireOutcome, RetireState};
pub use snapshot::SnapshotError;
pub use state::ControlState;
