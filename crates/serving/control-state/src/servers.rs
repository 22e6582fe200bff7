//! The registered servers of all services.
//!
//! Reports arrive on several paths and overtake each other: `sequence` orders those of one id. What is final at a
//! server, draining and leaving, is not undone here by a late report.

use crate::{
    departed::{Departed, Departure},
    Change, ServerReport, ServerState,
};
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, net::SocketAddr};

/// The maximum number of registered servers. Bounds memory against callers that invent ids: further ones are not
/// registered.
const MAX_SERVERS: usize = 8_192;

/// The present servers, and the recorded departures of others.
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

    /// Applies a report.
    pub(crate) fn report(&mut self, report: &ServerReport, changes: &mut Vec<Change>) {
        if let Some(known) = self.present.get(&report.id) {
            let next = merged(known, report);
            return self.insert(next, changes);
        }
        match self.departed.get(&report.id) {
            None if self.present.len() < MAX_SERVERS => self.insert(report.clone(), changes),
            None | Some(Departure::Left) => {}
            Some(&Departure::Inactive { sequence, state }) => {
                self.report_of_inactive(report, sequence, state, changes);
            }
        }
    }

    /// A server deregistered.
    pub(crate) fn leave(&mut self, id: &str, changes: &mut Vec<Change>) {
        self.remove(id, Departure::Left, changes);
    }

    /// A server's registration expired after its report `last_sequence`. A newer report that was applied meanwhile
    /// renewed it.
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

    /// The changes that a new subscriber needs.
    pub(crate) fn initial_changes(&self) -> impl Iterator<Item = Change> + '_ {
        self.present.values().cloned().map(Change::Server)
    }

    /// A report of an inactive server: a newer one brings it back, and an older one may still say that it was
    /// draining.
    fn report_of_inactive(
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

    /// Makes a server present, and removes another one that had its address.
    fn insert(&mut self, next: ServerReport, changes: &mut Vec<Change>) {
        let known = self.present.get(&next.id);
        if known.is_none_or(|known| known.address != next.address) {
            self.remove_at(next.address, changes);
        }
        let known = self.present.get(&next.id);
        if known.is_none_or(|known| differs(known, &next)) {
            changes.push(Change::Server(next.clone()));
        }
        self.departed.remove(&next.id);
        self.present.insert(next.id.clone(), next);
    }

    /// Makes a server absent.
    fn remove(&mut self, id: &str, departure: Departure, changes: &mut Vec<Change>) {
        if self.present.remove(id).is_some() {
            changes.push(Change::ServerRemoved { id: id.to_owned() });
        }
        self.departed.record(id, departure);
    }

    /// Removes the server at an address where another one has started. Should the other's report have been the older
    /// one after all, the next report of the removed one takes the address back.
    fn remove_at(&mut self, address: SocketAddr, changes: &mut Vec<Change>) {
        let older = self
            .present
            .values()
            .find(|server| server.address == address);
        let Some(older) = older else { return };
        let departure = Departure::Inactive {
            sequence: older.sequence,
            state: older.state,
        };
        let id = older.id.clone();
        self.remove(&id, departure, changes);
    }
}

/// A server after another report of it. Draining is final however late its report comes.
fn merged(known: &ServerReport, report: &ServerReport) -> ServerReport {
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
fn differs(one: &ServerReport, other: &ServerReport) -> bool {
    ServerReport {
        sequence: one.sequence,
        ..other.clone()
    } != *one
}
