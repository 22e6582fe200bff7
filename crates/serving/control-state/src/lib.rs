//! The replicated state machine of the core: configuration, servers, gateways, stores and token budgets.
//!
//! Every core member applies the same committed [`Operation`]s in the same order to its [`ControlState`] and so
//! reaches the same state. The result of an operation is its [`Outcome`]; what it changes for the data plane is a
//! list of [`Change`]s for subscribers. There is no clock and no I/O: an operation that needs a time carries it.
//!
//! Delivery is at least once and unordered, as a sender repeats an operation until it is acknowledged. So each part
//! of the state documents how it treats operations that are duplicated, reordered or late.

mod accepted_requests;
mod change;
mod configuration;
mod departed;
mod fenced_generations;
mod gateways;
mod operation;
mod outcome;
mod retirement_fencing;
mod safeguards;
mod servers;
mod snapshot;
mod state;
mod store;
mod stores;

pub use change::{Change, GatewayEntry};
pub use dunespur_turn_replication::membership::StoreEntry;
pub use operation::{
    ConfigurationRequest, ConfigurationRequestKind, NodeKind, NodeReport, Operation, ServerReport,
    ServerState,
};
pub use outcome::{Outcome, RetirementOutcome, RetirementState};
pub use safeguards::{Safeguard, Safeguards};
pub use snapshot::SnapshotError;
pub use state::ControlState;
