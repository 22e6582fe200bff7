//! The list of store machines, as the core agrees on it.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::placement::Placed;

/// One store machine of the list.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Store {
    pub name: String,
    pub zone: String,
    /// Where the store takes requests of gateways and other stores.
    pub address: SocketAddr,
    /// Rises with each life of its process.
    pub incarnation: u64,
    /// Names this life of its disk; another number means that the earlier contents are lost.
    pub disk: u64,
    /// Everything that it should hold is there.
    pub whole: bool,
    /// The core hears of it.
    pub present: bool,
    /// It is being emptied: it is no home of turns, and takes them only while others fail.
    pub retiring: bool,
    /// It has been emptied and taken away.
    pub retired: bool,
    /// While it is being emptied: changes whenever any store comes, goes, loses its disk or becomes whole.
    pub round: u64,
}

impl Store {
    /// May be chosen as a home of turns.
    pub fn takes_turns(&self) -> bool {
        !self.retiring && !self.retired
    }

    /// Takes turns only while homes of theirs fail.
    pub fn is_fallback(&self) -> bool {
        self.retiring && !self.retired
    }

    /// Another store can count on what it acknowledges.
    pub fn is_sound(&self) -> bool {
        self.present && self.whole
    }
}

impl Placed for Store {
    fn name(&self) -> &str {
        &self.name
    }

    fn zone(&self) -> &str {
        &self.zone
    }
}

/// A store as far as placement is concerned.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Candidate {
    pub name: String,
    pub zone: String,
}

impl From<&Store> for Candidate {
    fn from(store: &Store) -> Self {
        Self {
            name: store.name.clone(),
            zone: store.zone.clone(),
        }
    }
}

impl Placed for Candidate {
    fn name(&self) -> &str {
        &self.name
    }

    fn zone(&self) -> &str {
        &self.zone
    }
}
