//! Which limiter may do what only one may: a small group of voters replicates one log by Raft, and in it who
//! is registered and who holds which slot of which singleton role under which fencing token. Two state
//! machines, [`voter::Voter`] and [`client::RoleClient`]: messages and times go in, [`Output`]s come out. No
//! sockets, clock, disk or task. It must never let two limiters hold one slot at one time, as far as clocks
//! keep within the stated drift, and never give a token that is not greater than all before it.
//! docs/duties.md has the argument.

pub mod audit;
pub mod client;
pub mod discovery_relay;
pub mod fencing;
pub mod health_check;
pub mod lease;
mod memory_log;
pub mod message;
pub mod placement;
pub mod raft_types;
pub mod records;
pub mod settings;
pub mod table;
pub mod voter;

pub use message::{Identity, Message, Output, Severity};
pub use settings::{Role, Settings, SettingsError, SlotRange};

/// A limiter's name, the same after a restart.
pub type Name = String;
/// One shard of one role, numbered densely over all roles.
pub type Slot = u32;
