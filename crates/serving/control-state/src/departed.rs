//! Memory of servers that are no longer there, so that what is late doesn't raise them again.

use crate::ServerState;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// How many servers are remembered. Against servers that come and go without end, and callers that make up
/// ids: the ones that departed first are forgotten.
const MAX_DEPARTED: usize = 4_096;

/// How a server departed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Departure {
    /// It said so: nothing of it counts any more.
    Left,
    /// It fell silent, or another one took its address. A newer report brings it back.
    Away {
        /// The number of its last report that counted.
        sequence: u64,
        /// What it was in; draining stays.
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
    /// How a server departed, if it is remembered.
    pub(crate) fn get(&self, id: &str) -> Option<&Departure> {
        self.servers.get(id).map(|entry| &entry.departure)
    }

    /// Remembers a departure, in the place of an earlier one of the same server.
    pub(crate) fn remember(&mut self, id: &str, departure: Departure) {
        let number = self.next_number;
        self.next_number += 1;
        self.servers
            .insert(id.to_owned(), Entry { departure, number });
        if self.servers.len() > MAX_DEPARTED {
            self.forget_oldest();
        }
    }

    /// Writes down more of a departure that is remembered.
    pub(crate) fn amend(&mut self, id: &str, departure: Departure) {
        if let Some(entry) = self.servers.get_mut(id) {
            entry.departure = departure;
        }
    }

    /// Forgets a server that is back.
    pub(crate) fn forget(&mut self, id: &str) {
        self.servers.remove(id);
    }

    fn forget_oldest(&mut self) {
        let oldest = self.servers.iter().min_by_key(|(_, entry)| entry.number);
        if let Some(id) = oldest.map(|(id, _)| id.clone()) {
            self.servers.remove(&id);
        }
    }
}
