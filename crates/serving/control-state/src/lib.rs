//! The replicated state machine of the core: configuration, servers, gateways, stores and token budgets.
//!
//! Every core member applies the same committed [`Operation`]s in the same order to its [`ControlState`], so all
//! members reach the same state. Applying an operation returns its [`Outcome`] and the [`Change`]s that subscribers in
//! the data plane receive. The state machine has no clock and no I/O: an operation that needs a time contains it.
//!
//! Operations are delivered at least once and in any order, because a sender repeats an operation until it is
//! acknowledged. Each part of the state documents how it treats duplicated, reordered and late operations.

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
