//! Records servers that are no longer present, so that late reports do not register them again.

use crate::ServerState;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Maximum number of recorded departures. Beyond it, the earliest departure is evicted. This bounds the memory that
/// endless restarts of servers, or callers with arbitrary ids, can use up.
const MAX_DEPARTED: usize = 4_096;

/// How a server departed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Departure {
    /// The server deregistered; no later report of it has any effect.
    Left,
    /// The server's registration expired, or another server took its address. A newer report makes it present again.
    Inactive {
        /// The sequence number up to which reports of the server are ignored.
        sequence: u64,
        /// The server's last state. Draining is final.
        state: ServerState,
    },
}

/// Departed servers, by id.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Departed {
    servers: BTreeMap<String, DepartedServer>,
    next_number: u64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct DepartedServer {
    departure: Departure,
    /// Increases with each departure; the lowest number is evicted first.
    number: u64,
}

impl Departed {
    /// The recorded departure of a server, if any.
    pub(crate) fn get(&self, id: &str) -> Option<&Departure> {
        self.servers.get(id).map(|entry| &entry.departure)
    }

    /// Records a departure, replacing an earlier one of the same server.
    pub(crate) fn record(&mut self, id: &str, departure: Departure) {
        let number = self.next_number;
        self.next_number += 1;
        self.servers
            .insert(id.to_owned(), DepartedServer { departure, number });
        if self.servers.len() > MAX_DEPARTED {
            self.evict_oldest();
        }
    }

    /// Replaces a recorded departure without changing its place in the order of eviction. Does nothing if none is
    /// recorded.
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
