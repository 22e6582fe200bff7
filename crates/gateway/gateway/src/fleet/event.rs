//! What the rest of the process tells its part in the fleet.

use dunespur_decisions::types::CounterReply;
use dunespur_quota_sharing::LeaseRequest;
use dunespur_singleton_roles::health_check::Observation;
use dunespur_singleton_roles::Slot;
use serde_json::Value;
use std::net::SocketAddr;

/// What the rest of the process tells the fleet.
pub enum FleetEvent {
    /// Discovery's own watch brought a line, or a sign of life.
    Line(Option<Value>),
    /// SIGTERM: hand over and say goodbye.
    Leave,
    /// SIGUSR1.
    Report,
    /// A delivery to this server ended, with any answer or with none.
    Delivered { server: SocketAddr, answered: bool },
    /// A call to the counter ended: answered, or nobody knows.
    Counted { name: u64, add: f64, answered: bool },
    /// A probe of this server is over.
    Probed {
        server: String,
        observation: Observation,
    },
    /// The counter's total for a name, read for the audit.
    Total { name: u64, total: f64 },
    /// This limiter asks the broker of a slot.
    Borrow { slot: Slot, request: LeaseRequest },
    /// A call of this process's own broker has ended.
    Brokered { call: u64, counted: CounterReply },
}
