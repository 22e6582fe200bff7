//! The gateways: only how many there are is needed, by the counters of budgets.
//!
//! Each life of a gateway's process has a higher incarnation than the one before, which orders what is said
//! of it.

use crate::{Change, NodeReport};
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

impl Gateways {
    /// The gateways that are there, by name.
    pub(crate) fn all(&self) -> impl Iterator<Item = &NodeReport> {
        self.gateways.values().filter(|gateway| gateway.present).map(|gateway| &gateway.report)
    }

    /// How many gateways are there.
    pub(crate) fn count(&self) -> u32 {
        u32::try_from(self.all().count()).unwrap_or(u32::MAX)
    }

    /// Takes a report.
    pub(crate) fn report(&mut self, report: &NodeReport, changes: &mut Vec<Change>) {
        let known = self.gateways.get(&report.name);
        if known.is_none_or(|known| known.report.incarnation <= report.incarnation) {
            self.set(Gateway { report: report.clone(), present: true }, changes);
        }
    }

    /// Nothing is heard of a life of a gateway any more.
    pub(crate) fn gone(&mut self, name: &str, incarnation: u64, changes: &mut Vec<Change>) {
        let Some(known) = self.gateways.get(name) else { return };
        if known.report.incarnation <= incarnation {
            let report = known.report.clone();
            self.set(Gateway { report, present: false }, changes);
        }
    }

    /// What a subscriber has to know.
    pub(crate) fn image(&self) -> Change {
        Change::Gateways { count: self.count() }
    }

    /// The one change of a gateway's state.
    fn set(&mut self, gateway: Gateway, changes: &mut Vec<Change>) {
        let before = self.count();
        self.gateways.insert(gateway.report.name.clone(), gateway);
        self.bound();
        if self.count() != before {
            changes.push(self.image());
        }
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
