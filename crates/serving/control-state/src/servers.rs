//! The servers of all services.
//!
//! Reports come by many ways and overtake each other: `sequence` orders those of one id. What can't be undone
//! at a server, draining and leaving, can't be undone here by anything that is late.

use crate::{
    departed::{Departed, Departure},
    Change, ServerReport, ServerState,
};
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, net::SocketAddr};

/// The most servers that are kept. Against callers that make up ids: what goes beyond is not taken in.
const MAX_SERVERS: usize = 8_192;

/// The servers that are there, and those that are remembered.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Servers {
    present: BTreeMap<String, ServerReport>,
    departed: Departed,
}

impl Servers {
    /// The servers that are there, by id.
    pub(crate) fn all(&self) -> impl Iterator<Item = &ServerReport> {
        self.present.values()
    }

    /// A server that is there.
    pub(crate) fn get(&self, id: &str) -> Option<&ServerReport> {
        self.present.get(id)
    }

    /// Takes a report.
    pub(crate) fn report(&mut self, report: &ServerReport, changes: &mut Vec<Change>) {
        if let Some(known) = self.present.get(&report.id) {
            let next = merged(known, report);
            return self.enter(next, changes);
        }
        match self.departed.get(&report.id) {
            None if self.present.len() < MAX_SERVERS => self.enter(report.clone(), changes),
            None | Some(Departure::Left) => {}
            Some(&Departure::Away { sequence, state }) => {
                self.report_of_away(report, sequence, state, changes)
            }
        }
    }

    /// A server has said that it ends.
    pub(crate) fn left(&mut self, id: &str, changes: &mut Vec<Change>) {
        self.depart(id, Departure::Left, changes);
    }

    /// Nothing was heard of a server since its report `last_sequence`. If one with a higher number has come
    /// since that was found, it means nothing.
    pub(crate) fn expired(&mut self, id: &str, last_sequence: u64, changes: &mut Vec<Change>) {
        let Some(known) = self.present.get(id) else {
            return;
        };
        if known.sequence <= last_sequence {
            let departure = Departure::Away {
                sequence: last_sequence,
                state: known.state,
            };
            self.depart(id, departure, changes);
        }
    }

    /// What a subscriber has to know.
    pub(crate) fn image(&self) -> impl Iterator<Item = Change> + '_ {
        self.present.values().cloned().map(Change::Server)
    }

    /// A report of a server that is away: a newer one brings it back, and an older one may still tell that it
    /// was draining.
    fn report_of_away(
        &mut self,
        report: &ServerReport,
        sequence: u64,
        state: ServerState,
        changes: &mut Vec<Change>,
    ) {
        let state = state.max(report.state);
        if report.sequence > sequence && self.present.len() < MAX_SERVERS {
            return self.enter(
                ServerReport {
                    state,
                    ..report.clone()
                },
                changes,
            );
        }
        self.departed
            .amend(&report.id, Departure::Away { sequence, state });
    }

    /// A server is there as `next` says, and whichever other one had its address isn't any more.
    fn enter(&mut self, next: ServerReport, changes: &mut Vec<Change>) {
        let known = self.present.get(&next.id);
        if known.is_none_or(|known| known.address != next.address) {
            self.displace(next.address, changes);
        }
        let known = self.present.get(&next.id);
        if known.is_none_or(|known| differs(known, &next)) {
            changes.push(Change::Server(next.clone()));
        }
        self.departed.forget(&next.id);
        self.present.insert(next.id.clone(), next);
    }

    /// A server isn't there any more.
    fn depart(&mut self, id: &str, departure: Departure, changes: &mut Vec<Change>) {
        if self.present.remove(id).is_some() {
            changes.push(Change::ServerGone { id: id.to_owned() });
        }
        self.departed.remember(id, departure);
    }

    /// Another server has come up at an address: the one that was there is over. Should its report have been
    /// the older one after all, its next one takes the address back.
    fn displace(&mut self, address: SocketAddr, changes: &mut Vec<Change>) {
        let older = self
            .present
            .values()
            .find(|server| server.address == address);
        let Some(older) = older else { return };
        let departure = Departure::Away {
            sequence: older.sequence,
            state: older.state,
        };
        let id = older.id.clone();
        self.depart(&id, departure, changes);
    }
}

/// What is known of a server after another report of it. Draining counts however late it comes.
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

/// Whether two reports of a server say different things.
fn differs(one: &ServerReport, other: &ServerReport) -> bool {
    ServerReport {
        sequence: one.sequence,
        ..other.clone()
    } != *one
}
