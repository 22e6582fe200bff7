//! Heartbeats of servers. One that says nothing new only renews the server's lease; anything else is an operation
//! for the core, and is acknowledged once it is committed.

use crate::directory::KnownState;
use dunespur_control_state::{ServerReport, ServerState};
use serde::Deserialize;
use std::net::SocketAddr;

/// The body of a heartbeat. Fields that are not listed are ignored.
#[derive(Deserialize)]
pub struct Heartbeat {
    backend: String,
    address: SocketAddr,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    generation: String,
    #[serde(default)]
    slots: u32,
    state: State,
    seq: u64,
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "lowercase")]
enum State {
    Ready,
    Draining,
}

impl Heartbeat {
    /// The report for the core; `id` stood in the path.
    pub fn report(self, id: String) -> ServerReport {
        let state = match self.state {
            State::Ready => ServerState::Ready,
            State::Draining => ServerState::Draining,
        };
        ServerReport {
            id,
            backend: self.backend,
            address: self.address,
            zone: self.zone,
            generation: self.generation,
            slots: self.slots,
            state,
            sequence: self.seq,
        }
    }
}

/// Whether the control state says the same of this server already. A server that has reported to be draining stays so,
/// whatever an overtaken heartbeat says.
pub fn is_known(known: &KnownState, report: &ServerReport) -> bool {
    let Some(entry) = known.servers.get(&report.id) else {
        return false;
    };
    let same_address = entry.backend == report.backend && entry.address == report.address;
    let same_kind = entry.zone == report.zone && entry.generation == report.generation;
    let same_state = entry.state == report.state || entry.state == ServerState::Draining;
    same_address && same_kind && entry.slots == report.slots && same_state
}
