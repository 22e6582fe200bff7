//! The record of servers that are no longer present, so that late reports don't bring them back.

use crate::ServerState;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// How many departures are recorded. Bounds memory against servers that come and go without end, and callers that
/// invent ids: the earliest departures are evicted.
const MAX_DEPARTED: usize = 4_096;

/// How a server departed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Departure {
    /// It deregistered: no later report of it counts.
    Left,
    /// Its registration expired, or another server took its address. A newer report brings it back.
    Inactive {
        /// The sequence number of its last report that counted.
        sequence: u64,
        /// Its state then; draining is final.
        state: ServerState,
    },
}

/// The servers that departed, by id.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Departed {
    servers: BTreeMap<String, Entry>,
    next_number: u64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Entry {
    departure: Departure,
    /// Rises with each departure.
    number: u64,
}

impl Departed {
    /// How a server departed, if that is recorded.
    pub(crate) fn get(&self, id: &str) -> Option<&Departure> {
        self.servers.get(id).map(|entry| &entry.departure)
    }

    /// Records a departure, in place of an earlier one of the same server.
    pub(crate) fn record(&mut self, id: &str, departure: Departure) {
        let number = self.next_number;
        self.next_number += 1;
        self.servers
            .insert(id.to_owned(), Entry { departure, number });
        if self.servers.len() > MAX_DEPARTED {
            self.evict_oldest();
        }
    }

    /// Replaces what is recorded of a departure, if it is recorded; its age stays.
    pub(crate) fn amend(&mut self, id: &str, departure: Departure) {
        if let Some(entry) = self.servers.get_mut(id) {
            entry.departure = departure;
        }
    }

    /// Removes the record of a server that is present again.
    pub(crate) fn remove(&mut self, id: &str) {
        self.servers.remove(id);
    }

    fn evict_oldest(&mut self) {
        let oldest = self.servers.iter().min_by_key(|(_, entry)| entry.number);
        if let Some(id) = oldest.map(|(id, _)| id.clone()) {
            self.servers.remove(&id);
        }
    }
}
