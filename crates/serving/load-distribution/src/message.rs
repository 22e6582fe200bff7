//! The messages between gateways about one service.
//!
//! They are encoded as postcard, which depends on the order of fields and variants, so this order must not change.

use serde::{Deserialize, Serialize};
use std::rc::Rc;

/// The load of one gateway, or of several gateways together, on one server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerLoad {
    /// The server's id.
    pub server: Rc<str>,
    /// Requests in flight on the server.
    pub in_flight: u32,
    /// Prompt tokens that the server still has to prefill.
    pub prefill_tokens: u64,
    /// Number of gateways that have ejected the server for faults.
    pub ejected_by: u32,
}

/// All loads of a reporter; a later table replaces an earlier one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadTable {
    /// Increases with each table within one incarnation of the reporter.
    pub version: u64,
    /// Loads by server; servers without load are left out.
    pub loads: Vec<ServerLoad>,
}

/// The sender of a report.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Reporter {
    /// A gateway of the aggregator's zone, which reports its own loads.
    Subscriber {
        /// The name of the gateway's machine.
        gateway: Rc<str>,
    },
    /// The aggregator of another zone, which reports the sum of its subscribers' loads.
    Aggregator {
        /// The zone of the reporting aggregator.
        zone: Rc<str>,
        /// The name of the aggregator's machine; several machines may act as aggregator of one zone.
        gateway: Rc<str>,
    },
}

impl Reporter {
    /// The name of the machine that reports.
    #[must_use]
    pub fn gateway(&self) -> &Rc<str> {
        match self {
            Reporter::Subscriber { gateway } | Reporter::Aggregator { gateway, .. } => gateway,
        }
    }
}

/// The version of the aggregator's table that the reporter knows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownVersion {
    /// The incarnation of the aggregator; 0 if the reporter knows no table.
    pub incarnation: u64,
    /// The version of the table.
    pub version: u64,
}

/// Reports the sender's loads to an aggregator, and requests the loads that are new there.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The service whose loads are reported.
    pub service: Rc<str>,
    /// The sender of the report.
    pub reporter: Reporter,
    /// The incarnation of the sender's process.
    pub incarnation: u64,
    /// The version of the sender's newest table.
    pub version: u64,
    /// The sender's newest table, unless this aggregator has acknowledged it.
    pub table: Option<LoadTable>,
    /// The version of this aggregator's table that the sender knows.
    pub known: KnownVersion,
}

/// An aggregator's answer to a report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// The incarnation of the aggregator's process.
    pub incarnation: u64,
    /// The version of the aggregator's table with these loads.
    pub version: u64,
    /// Whether `loads` replaces all loads that the reporter knows, not only those of the listed servers.
    pub complete: bool,
    /// For a subscriber, the total loads of all gateways, including its own. For another zone's aggregator, the sum of
    /// the loads of this zone's subscribers.
    pub loads: Vec<ServerLoad>,
    /// Whether the reporter must send its newest table, because this aggregator has not stored it.
    pub wants_table: bool,
}
