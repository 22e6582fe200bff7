//! The gateways: which are there, for one another, and how many, for the counters of budgets.
//!
//! Each life of a gateway's process has a higher incarnation than the one before, which orders what is said
//! of it.

use crate::{Change, GatewayEntry, NodeReport};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// How many gateways are kept that are no longer there. Against machines that are added and removed without
/// end.
const MAX_ABSENT: usize = 1_024;

/// All gateways, by name.
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
    /// What others see of it: nothing while it is not there.
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
    /// The gateways that are there, by name.
    pub(crate) fn all(&self) -> impl Iterator<Item = &NodeReport> {
        self.gateways
            .values()
            .filter(|gateway| gateway.present)
            .map(|gateway| &gateway.report)
    }

    /// All gateways that are remembered, those included that are no longer there.
    pub(crate) fn remembered(&self) -> impl Iterator<Item = &NodeReport> {
        self.gateways.values().map(|gateway| &gateway.report)
    }

    /// How many gateways are there.
    pub(crate) fn count(&self) -> u32 {
        u32::try_from(self.all().count()).unwrap_or(u32::MAX)
    }

    /// Takes a report.
    pub(crate) fn report(&mut self, report: &NodeReport, changes: &mut Vec<Change>) {
        let known = self.gateways.get(&report.name);
        if known.is_none_or(|known| known.report.incarnation <= report.incarnation) {
            self.set(
                Gateway {
                    report: report.clone(),
                    present: true,
                },
                changes,
            );
        }
    }

    /// Nothing is heard of a life of a gateway any more.
    pub(crate) fn gone(&mut self, name: &str, incarnation: u64, changes: &mut Vec<Change>) {
        let Some(known) = self.gateways.get(name) else {
            return;
        };
        if known.report.incarnation <= incarnation {
            let report = known.report.clone();
            self.set(
                Gateway {
                    report,
                    present: false,
                },
                changes,
            );
        }
    }

    /// What a subscriber has to know.
    pub(crate) fn image(&self) -> impl Iterator<Item = Change> + '_ {
        self.gateways
            .values()
            .filter_map(Gateway::entry)
            .map(Change::Gateway)
    }

    /// The one change of a gateway's state.
    fn set(&mut self, gateway: Gateway, changes: &mut Vec<Change>) {
        let name = gateway.report.name.clone();
        let after = gateway.entry();
        let before = self
            .gateways
            .insert(name.clone(), gateway)
            .and_then(|known| known.entry());
        match (before, after) {
            (before, Some(after)) if before.as_ref() != Some(&after) => {
                changes.push(Change::Gateway(after))
            }
            (Some(_), None) => changes.push(Change::GatewayGone { name }),
            _ => {}
        }
        self.bound();
    }

    fn bound(&mut self) {
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
