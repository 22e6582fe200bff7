//! What gateways say to each other about a service.

use serde::{Deserialize, Serialize};
use std::rc::Rc;

/// What one gateway, or a zone's gateways together, have on one server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerLoad {
    /// The server's id.
    pub server: Rc<str>,
    /// Requests sent there that are not finished.
    pub in_flight: u32,
    /// Prompt tokens that it is still to read.
    pub waiting_tokens: u64,
    /// How many gateways find the server in trouble.
    pub in_trouble: u32,
}

/// Everything that a speaker has; a later one replaces it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Statement {
    /// Rises with each statement in one life of the speaker.
    pub version: u64,
    /// Servers on which it has nothing are left out.
    pub loads: Vec<ServerLoad>,
}

/// Who speaks.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Speaker {
    /// A gateway of the zone, for itself.
    Subscriber {
        /// The machine's name.
        gateway: Rc<str>,
    },
    /// The home in another zone, for its subscribers.
    Home {
        /// Its zone.
        zone: Rc<str>,
        /// The machine's name: more than one may take itself for the home.
        gateway: Rc<str>,
    },
}

impl Speaker {
    /// The machine that speaks.
    pub fn gateway(&self) -> &Rc<str> {
        match self {
            Speaker::Subscriber { gateway } | Speaker::Home { gateway, .. } => gateway,
        }
    }
}

/// Which of the asked one's statements the asker holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Known {
    /// The life of the asked one that told it; 0 for none.
    pub life: u64,
    /// Its version.
    pub version: u64,
}

/// Tells a home what the speaker has, and asks it for what is new there.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask {
    /// The service.
    pub service: Rc<str>,
    /// Who speaks.
    pub speaker: Speaker,
    /// The life of the speaker's process.
    pub life: u64,
    /// The version of its newest statement.
    pub version: u64,
    /// That statement, unless this home has it.
    pub statement: Option<Statement>,
    /// What the speaker holds of this home.
    pub known: Known,
}

/// A home's answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The life of its process.
    pub life: u64,
    /// The version up to which the loads go.
    pub version: u64,
    /// The loads replace all that the speaker holds; else only those of the servers that they name.
    pub whole: bool,
    /// To a subscriber: what all gateways have together, its own included. To another zone's home: what this zone's
    /// subscribers have together.
    pub loads: Vec<ServerLoad>,
    /// The newest statement is not held here: it has to be told.
    pub wants_statement: bool,
}
