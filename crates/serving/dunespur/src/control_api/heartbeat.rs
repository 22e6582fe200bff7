//! Heartbeats of servers. A heartbeat without new information only renews the server's lease; any other is executed as
//! an operation at the core and acknowledged once it is committed.

use crate::directory::KnownState;
use dunespur_control_state::{ServerReport, ServerState};
use serde::Deserialize;
use std::net::SocketAddr;

/// The most bytes of a server's id, service, zone and generation together. As many servers as the core lists fit with such
/// reports into one message, beside the largest configuration.
pub const MAX_NAME_BYTES: usize = 384;

/// The body of a heartbeat. Unknown fields are ignored.
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
    /// Converts the heartbeat to a report for the core; `id` comes from the request's path.
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

/// Whether a report is small enough to be handed out with those of all other servers. A server that is listed already is
/// not refused: an earlier version may have accepted its names, and it has to be able to drain.
pub fn has_allowed_size(known: &KnownState, report: &ServerReport) -> bool {
    let names = [
        &report.id,
        &report.backend,
        &report.zone,
        &report.generation,
    ];
    let name_bytes: usize = names.iter().map(|name| name.len()).sum();
    name_bytes <= MAX_NAME_BYTES || known.servers.contains_key(&report.id)
}

/// Whether the control state already holds this report. A server that has reported that it is draining stays draining,
/// even if a delayed older heartbeat says otherwise.
pub fn is_known(known: &KnownState, report: &ServerReport) -> bool {
    let Some(entry) = known.servers.get(&report.id) else {
        return false;
    };
    let same_address = entry.backend == report.backend && entry.address == report.address;
    let same_version = entry.zone == report.zone && entry.generation == report.generation;
    let same_state = entry.state == report.state || entry.state == ServerState::Draining;
    same_address && same_version && entry.slots == report.slots && same_state
}
