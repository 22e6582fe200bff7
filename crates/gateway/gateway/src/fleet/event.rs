//! Events that the rest of the process sends to the fleet task.

use dunespur_decisions::types::CounterReply;
use dunespur_quota_sharing::LeaseRequest;
use dunespur_singleton_roles::health_check::Observation;
use dunespur_singleton_roles::Slot;
use serde_json::Value;
use std::net::SocketAddr;

/// An event for the fleet task.
pub enum FleetEvent {
    /// The own watch of discovery received a list, or `None` for an empty line.
    WatchLine(Option<Value>),
    /// SIGTERM: hand the roles over and leave the fleet.
    Leave,
    /// SIGUSR1: log the statistics.
    Report,
    /// An attempt at this server ended, with any response (`answered`) or none.
    AttemptEnded { server: SocketAddr, answered: bool },
    /// A counter call ended, with a total (`answered`) or an unknown outcome.
    CounterCallEnded { name: u64, add: f64, answered: bool },
    /// A health check of this server ended.
    HealthCheckEnded {
        server: String,
        observation: Observation,
    },
    /// The counter's total for a name, read for an audit.
    AuditTotal { name: u64, total: f64 },
    /// The limiter of this process requests a lease from the broker of a slot.
    LeaseRequested { slot: Slot, request: LeaseRequest },
    /// A counter call of this process's own broker ended.
    BrokerCallEnded { call: u64, reply: CounterReply },
}
