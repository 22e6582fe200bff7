//! The stores: which there are, which of them are on their way out.
//!
//! Each life of a store's process has a higher incarnation than the one before, which orders what is said of
//! it. A store that isn't heard of stays known as absent: its machine, and what it holds, may come back.

use crate::{Change, NodeReport, RetireOutcome, RetireState, StoreEntry};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// How many stores are kept that are no longer there. Against machines that are added and removed without
/// end: those that were taken away as planned are forgotten first.
const MAX_ABSENT: usize = 1_024;

/// All stores, by name.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Stores {
    stores: BTreeMap<String, Store>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Store {
    report: NodeReport,
    present: bool,
    retirement: Option<RetireState>,
}

impl Store {
    /// What the data plane sees of it: nothing once it was emptied and taken away.
    fn entry(&self) -> Option<StoreEntry> {
        let retired = self.retirement == Some(RetireState::Done);
        let taken_away = retired && !self.present;
        (!taken_away).then(|| StoreEntry {
            name: self.report.name.clone(),
            zone: self.report.zone.clone(),
            address: self.report.address,
            incarnation: self.report.incarnation,
            disk: self.report.disk,
            whole: self.report.whole,
            present: self.present,
            retiring: self.retirement == Some(RetireState::Running),
            retired,
        })
    }

    /// The store after another report of it.
    fn reported(&self, report: &NodeReport) -> Store {
        let emptied = self.retirement == Some(RetireState::Done);
        // A machine of that name with another disk is not the one that was taken away.
        let another = emptied && report.disk != self.report.disk;
        let retirement = if another { None } else { self.retirement };
        Store { report: report.clone(), present: true, retirement }
    }
}

impl Stores {
    /// The stores that are there, or may come back, by name.
    pub(crate) fn all(&self) -> impl Iterator<Item = StoreEntry> + '_ {
        self.stores.values().filter_map(Store::entry)
    }

    /// How far a store is on its way out, if it is.
    pub(crate) fn retirement(&self, name: &str) -> Option<RetireState> {
        self.stores.get(name)?.retirement
    }

    /// Takes a report.
    pub(crate) fn report(&mut self, report: &NodeReport, changes: &mut Vec<Change>) {
        match self.stores.get(&report.name) {
            None => self.set(Store { report: report.clone(), present: true, retirement: None }, changes),
            Some(known) if known.report.incarnation <= report.incarnation => {
                let next = known.reported(report);
                self.set(next, changes);
            }
            Some(_) => {}
        }
    }

    /// Nothing is heard of a life of a store any more.
    pub(crate) fn gone(&mut self, name: &str, incarnation: u64, changes: &mut Vec<Change>) {
        let Some(known) = self.stores.get(name) else { return };
        if known.report.incarnation <= incarnation {
            let next = Store { present: false, ..known.clone() };
            self.set(next, changes);
        }
    }

    /// The operator wants a store emptied. Said again, it is taken again.
    pub(crate) fn retire(
        &mut self,
        name: &str,
        tolerated_losses: u32,
        changes: &mut Vec<Change>,
    ) -> RetireOutcome {
        let Some(known) = self.stores.get(name) else { return RetireOutcome::UnknownNode };
        if known.retirement.is_some() {
            return RetireOutcome::Taken;
        }
        if self.remaining_without(name) <= tolerated_losses as usize {
            return RetireOutcome::TooFew;
        }
        let next = Store { retirement: Some(RetireState::Running), ..known.clone() };
        self.set(next, changes);
        RetireOutcome::Taken
    }

    /// A store is empty. That of an earlier life of it means nothing.
    pub(crate) fn emptied(&mut self, name: &str, incarnation: u64, changes: &mut Vec<Change>) {
        let Some(known) = self.stores.get(name) else { return };
        if known.retirement == Some(RetireState::Running) && known.report.incarnation == incarnation {
            let next = Store { retirement: Some(RetireState::Done), ..known.clone() };
            self.set(next, changes);
        }
    }

    /// What a subscriber has to know.
    pub(crate) fn image(&self) -> impl Iterator<Item = Change> + '_ {
        self.all().map(Change::Store)
    }

    /// How many stores would go on taking data without this one.
    fn remaining_without(&self, name: &str) -> usize {
        let stays = |store: &&Store| store.retirement.is_none() && store.report.name != name;
        self.stores.values().filter(stays).count()
    }

    /// The one change of a store's state.
    fn set(&mut self, store: Store, changes: &mut Vec<Change>) {
        let name = store.report.name.clone();
        let before = self.stores.get(&name).and_then(Store::entry);
        let after = store.entry();
        self.stores.insert(name.clone(), store);
        match (before, after) {
            (before, Some(after)) if before.as_ref() != Some(&after) => changes.push(Change::Store(after)),
            (Some(_), None) => changes.push(Change::StoreGone { name }),
            _ => {}
        }
        self.bound(changes);
    }

    fn bound(&mut self, changes: &mut Vec<Change>) {
        let absent = || self.stores.values().filter(|store| !store.present);
        if absent().count() <= MAX_ABSENT {
            return;
        }
        let oldest = absent().min_by_key(|store| (store.entry().is_some(), store.report.incarnation));
        let Some(name) = oldest.map(|store| store.report.name.clone()) else { return };
        let forgotten = self.stores.remove(&name);
        if forgotten.is_some_and(|store| store.entry().is_some()) {
            changes.push(Change::StoreGone { name });
        }
    }
}
