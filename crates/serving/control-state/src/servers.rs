//! The registered servers of all services.
//!
//! Reports arrive on several paths and may overtake each other; `sequence` orders the reports of one id. Draining and
//! deregistration are final: a late report does not undo them.

use crate::{
    departed::{Departed, Departure},
    Change, ServerReport, ServerState,
};
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, net::SocketAddr};

/// Maximum number of registered servers. Further servers are not registered. This bounds the memory that callers can use
/// up with arbitrary ids.
const MAX_SERVERS: usize = 8_192;

/// The present servers and the recorded departures of absent ones.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Servers {
    present: BTreeMap<String, ServerReport>,
    departed: Departed,
}

impl Servers {
    /// The present servers, by id.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &ServerReport> {
        self.present.values()
    }

    /// A present server.
    pub(crate) fn get(&self, id: &str) -> Option<&ServerReport> {
        self.present.get(id)
    }

    /// Applies a server's report.
    pub(crate) fn report(&mut self, report: &ServerReport, changes: &mut Vec<Change>) {
        if let Some(known) = self.present.get(&report.id) {
            let next = merge_report(known, report);
            return self.insert(next, changes);
        }
        match self.departed.get(&report.id) {
            None if self.present.len() < MAX_SERVERS => self.insert(report.clone(), changes),
            None | Some(Departure::Left) => {}
            Some(&Departure::Inactive { sequence, state }) => {
                self.report_inactive(report, sequence, state, changes);
            }
        }
    }

    /// Removes a server that deregistered.
    pub(crate) fn leave(&mut self, id: &str, changes: &mut Vec<Change>) {
        self.remove(id, Departure::Left, changes);
    }

    /// Removes a server whose registration expired after its report `last_sequence`, unless a newer report has renewed
    /// the registration since.
    pub(crate) fn expire(&mut self, id: &str, last_sequence: u64, changes: &mut Vec<Change>) {
        let Some(known) = self.present.get(id) else {
            return;
        };
        if known.sequence <= last_sequence {
            let departure = Departure::Inactive {
                sequence: last_sequence,
                state: known.state,
            };
            self.remove(id, departure, changes);
        }
    }

    /// The changes that bring a new subscriber up to date.
    pub(crate) fn initial_changes(&self) -> impl Iterator<Item = Change> + '_ {
        self.present.values().cloned().map(Change::Server)
    }

    /// Applies a report of an inactive server. A newer report makes the server present again; an older one may still
    /// show that the server was draining.
    fn report_inactive(
        &mut self,
        report: &ServerReport,
        sequence: u64,
        state: ServerState,
        changes: &mut Vec<Change>,
    ) {
        let state = state.max(report.state);
        if report.sequence > sequence && self.present.len() < MAX_SERVERS {
            let next = ServerReport {
                state,
                ..report.clone()
            };
            return self.insert(next, changes);
        }
        self.departed
            .amend(&report.id, Departure::Inactive { sequence, state });
    }

    /// Makes a server present and removes any other server at the same address.
    fn insert(&mut self, next: ServerReport, changes: &mut Vec<Change>) {
        let known = self.present.get(&next.id);
        if known.is_none_or(|known| known.address != next.address) {
            self.remove_server_at(next.address, changes);
        }
        let known = self.present.get(&next.id);
        if known.is_none_or(|known| differs_beyond_sequence(known, &next)) {
            changes.push(Change::Server(next.clone()));
        }
        self.departed.remove(&next.id);
        self.present.insert(next.id.clone(), next);
    }

    /// Makes a server absent and records its departure.
    fn remove(&mut self, id: &str, departure: Departure, changes: &mut Vec<Change>) {
        if self.present.remove(id).is_some() {
            changes.push(Change::ServerRemoved { id: id.to_owned() });
        }
        self.departed.record(id, departure);
    }

    /// Removes the server at an address where another server has started. If the other server's report was in fact a
    /// late one, the next report of the removed server takes the address back.
    fn remove_server_at(&mut self, address: SocketAddr, changes: &mut Vec<Change>) {
        let previous = self
            .present
            .values()
            .find(|server| server.address == address);
        let Some(previous) = previous else { return };
        let departure = Departure::Inactive {
            sequence: previous.sequence,
            state: previous.state,
        };
        let id = previous.id.clone();
        self.remove(&id, departure, changes);
    }
}

/// Merges another report into a server's registration. Draining is final, however late its report arrives.
fn merge_report(known: &ServerReport, report: &ServerReport) -> ServerReport {
    let newest = if report.sequence > known.sequence {
        report
    } else {
        known
    };
    ServerReport {
        state: known.state.max(report.state),
        ..newest.clone()
    }
}

/// Whether two reports of a server differ in more than their sequence number.
fn differs_beyond_sequence(one: &ServerReport, other: &ServerReport) -> bool {
    ServerReport {
        sequence: one.sequence,
        ..other.clone()
    } != *one
}
