//! The registered gateways. Gateways need to know each other, and budget counters need the number of present gateways.
//!
//! The incarnation of a gateway's process increases with each start and orders the gateway's reports.

use crate::{Change, GatewayEntry, NodeReport};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Maximum number of recorded absent gateways. Bounds memory while machines are added and removed without end.
const MAX_ABSENT: usize = 1_024;

/// All recorded gateways, by name.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Gateways {
    gateways: BTreeMap<String, Gateway>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Gateway {
    report: NodeReport,
    present: bool,
}

impl Gateway {
    /// The gateway as subscribers see it, or `None` while it is absent.
    fn entry(&self) -> Option<GatewayEntry> {
        self.present.then(|| GatewayEntry {
            name: self.report.name.clone(),
            zone: self.report.zone.clone(),
            address: self.report.address,
            incarnation: self.report.incarnation,
        })
    }
}

impl Gateways {
    /// The present gateways, by name.
    pub(crate) fn present(&self) -> impl Iterator<Item = &NodeReport> {
        self.gateways
            .values()
            .filter(|gateway| gateway.present)
            .map(|gateway| &gateway.report)
    }

    /// All recorded gateways, including absent ones.
    pub(crate) fn recorded(&self) -> impl Iterator<Item = &NodeReport> {
        self.gateways.values().map(|gateway| &gateway.report)
    }

    /// The number of present gateways.
    pub(crate) fn count(&self) -> u32 {
        u32::try_from(self.present().count()).unwrap_or(u32::MAX)
    }

    /// Applies a gateway's report, unless it is from an earlier incarnation.
    pub(crate) fn report(&mut self, report: &NodeReport, changes: &mut Vec<Change>) {
        let known = self.gateways.get(&report.name);
        if known.is_none_or(|known| known.report.incarnation <= report.incarnation) {
            let next = Gateway {
                report: report.clone(),
                present: true,
            };
            self.replace(next, changes);
        }
    }

    /// Makes a gateway absent because the lease of this incarnation expired. Ignored if a newer incarnation has
    /// reported.
    pub(crate) fn expire(&mut self, name: &str, incarnation: u64, changes: &mut Vec<Change>) {
        let Some(known) = self.gateways.get(name) else {
            return;
        };
        if known.report.incarnation <= incarnation {
            let next = Gateway {
                report: known.report.clone(),
                present: false,
            };
            self.replace(next, changes);
        }
    }

    /// The changes that bring a new subscriber up to date.
    pub(crate) fn initial_changes(&self) -> impl Iterator<Item = Change> + '_ {
        self.gateways
            .values()
            .filter_map(Gateway::entry)
            .map(Change::Gateway)
    }

    /// Replaces a gateway's record and publishes the change. All changes of a gateway go through this function.
    fn replace(&mut self, gateway: Gateway, changes: &mut Vec<Change>) {
        let name = gateway.report.name.clone();
        let after = gateway.entry();
        let before = self
            .gateways
            .insert(name.clone(), gateway)
            .and_then(|known| known.entry());
        match (before, after) {
            (before, Some(after)) if before.as_ref() != Some(&after) => {
                changes.push(Change::Gateway(after));
            }
            (Some(_), None) => changes.push(Change::GatewayRemoved { name }),
            _ => {}
        }
        self.evict_oldest_absent();
    }

    fn evict_oldest_absent(&mut self) {
        let absent = || self.gateways.iter().filter(|(_, gateway)| !gateway.present);
        if absent().count() <= MAX_ABSENT {
            return;
        }
        let oldest = absent().min_by_key(|(_, gateway)| gateway.report.incarnation);
        if let Some(name) = oldest.map(|(name, _)| name.clone()) {
            self.gateways.remove(&name);
        }
    }
}
