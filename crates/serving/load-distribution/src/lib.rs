//! Load reports between gateways: what each gateway has in flight on a service's servers, and which of them it has
//! ejected for faults.
//!
//! Each service has a load aggregator in each zone: the gateway that rendezvous hashing names among those present. The
//! zone's gateways subscribe to it: they report what they have in flight, and each report is answered by an update of
//! what all gateways have together, as far as it has changed. The aggregators of one service report their zones' sums
//! to each other. Nothing of this is agreed on or durable; an aggregator that departs loses a table that its
//! subscribers fill again.
//!
//! - [`membership`]: the gateways that are present, and which is the aggregator of a service in a zone;
//! - [`message`]: what gateways send each other;
//! - `failover`: which gateway gets reports while an aggregator is unresponsive;
//! - `subscription`: the side that reports;
//! - `aggregator`: the side that sums and updates;
//! - `loads`: sums of loads by server;
//! - [`distribution`]: one gateway's role on both sides.
//!
//! There is no I/O and no clock: the caller brings steady time in milliseconds, and carries [`Call`]s to other
//! gateways and their updates back.

mod aggregator;
pub mod distribution;
mod failover;
mod loads;
pub mod membership;
pub mod message;
mod subscription;

pub use distribution::{Call, Identity, LoadDistribution, RemoteLoads};
pub use membership::{Gateway, Membership};
pub use message::{KnownVersion, LoadTable, Report, Reporter, ServerLoad, Update};

/// Milliseconds of a steady clock.
pub type Millis = u64;

/// A call without an update for longer has failed.
pub const REPORT_TIMEOUT_MS: u64 = 400;
