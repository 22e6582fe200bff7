//! Load reports between gateways: each gateway's load on a service's servers, and the servers that it has ejected for
//! faults.
//!
//! Each service has a load aggregator in each zone: a gateway selected by rendezvous hashing of the gateways present.
//! The zone's gateways subscribe to it: they report their loads, and the aggregator answers each report with an update
//! of the changed totals of all gateways. The aggregators of one service report their zones' sums to each other. No
//! state is durable or agreed on by consensus: if an aggregator departs, its subscribers fill the next one's table.
//!
//! - [`membership`]: the gateways that are present, and the aggregator of a service in a zone;
//! - [`message`]: the messages between gateways;
//! - `failover`: the gateway that gets reports while an aggregator is unresponsive;
//! - `subscription`: the sender of reports;
//! - `aggregator`: the receiver of reports, which sums the loads and answers with updates;
//! - `loads`: sums of loads by server;
//! - [`distribution`]: one gateway's subscriptions and aggregators for all services.
//!
//! The crate does no I/O and reads no clock: the caller passes the time in milliseconds of a steady clock, sends each
//! [`Call`] to the other gateway, and passes its update back.

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

/// Time in milliseconds after which a call without an update has failed.
pub const REPORT_TIMEOUT_MS: u64 = 400;
