//! Singleton roles: work that only one limiter of the fleet may do at a time. A small group of voters
//! replicates a log by Raft; the log records which limiters are registered and which limiter holds each slot
//! of each role, under which fencing token.
//!
//! The crate has two state machines, [`voter::Voter`] and [`client::RoleClient`]. They take messages and times
//! and return [`Output`]s; they use no sockets, clock, disk or tasks. Two limiters must never hold one slot at
//! the same time, as long as clocks stay within the configured drift, and every new token must be greater than
//! all tokens before it. docs/duties.md has the argument.

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

/// A limiter's name; it stays the same across restarts.
pub type Name = String;
/// The number of one shard of one role; slots are numbered without gaps over all roles.
pub type Slot = u32;
