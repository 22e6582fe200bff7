//! What gateways send each other about a service.
//!
//! The messages travel as postcard, which goes by the position of a field and the order of variants: both stay.

use serde::{Deserialize, Serialize};
use std::rc::Rc;

/// What one gateway, or a zone's gateways together, have on one server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerLoad {
    /// The server's id.
    pub server: Rc<str>,
    /// Requests in flight there.
    pub in_flight: u32,
    /// Prompt tokens that it has yet to prefill.
    pub prefill_tokens: u64,
    /// How many gateways have ejected the server for faults.
    pub ejected_by: u32,
}

/// All loads of a reporter; a later table replaces it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadTable {
    /// Increases with each table in one incarnation of the reporter.
    pub version: u64,
    /// Servers without any load are left out.
    pub loads: Vec<ServerLoad>,
}

/// The sender of a report.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Reporter {
    /// A gateway of the zone, for itself.
    Subscriber {
        /// The machine's name.
        gateway: Rc<str>,
    },
    /// The aggregator in another zone, for its subscribers.
    Aggregator {
        /// Its zone.
        zone: Rc<str>,
        /// The machine's name: more than one may take itself for the aggregator.
        gateway: Rc<str>,
    },
}

impl Reporter {
    /// The machine that reports.
    #[must_use]
    pub fn gateway(&self) -> &Rc<str> {
        match self {
            Reporter::Subscriber { gateway } | Reporter::Aggregator { gateway, .. } => gateway,
        }
    }
}

/// Up to where the reporter knows the aggregator's table.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownVersion {
    /// The incarnation of the aggregator whose table it is; 0 for none.
    pub incarnation: u64,
    /// Its version.
    pub version: u64,
}

/// Tells an aggregator what the reporter has, and requests what is new there.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The service.
    pub service: Rc<str>,
    /// The sender.
    pub reporter: Reporter,
    /// The incarnation of the sender's process.
    pub incarnation: u64,
    /// The version of its newest table.
    pub version: u64,
    /// That table, unless this aggregator has acknowledged it.
    pub table: Option<LoadTable>,
    /// What the sender knows of this aggregator.
    pub known: KnownVersion,
}

/// An aggregator's answer to a report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// The incarnation of its process.
    pub incarnation: u64,
    /// The version up to which the loads go.
    pub version: u64,
    /// The loads replace all that the reporter knows; else only those of the servers that they name.
    pub complete: bool,
    /// To a subscriber: what all gateways have together, its own included. To another zone's aggregator: what this
    /// zone's subscribers have together.
    pub loads: Vec<ServerLoad>,
    /// The newest table is not stored here: it has to be reported.
    pub wants_table: bool,
}
