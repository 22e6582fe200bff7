//! The stores: which are registered, and which of them retire.
//!
//! Each start of a store's process has a higher incarnation than the one before, which orders its reports. A store
//! whose lease expired stays recorded as absent: its machine, and what it holds, may come back.
//!
//! **Retirement.** A store *remains* if it is present, complete and not retired or retiring. A request to retire a
//! store is accepted only if more others remain than may be lost at once. That can change later: then the retirement
//! is *paused*, and the store is used like any other until enough remain again.
//!
//! **Epochs.** Each change of a store's [`MembershipState`](crate::store::MembershipState) begins another epoch, which
//! the retiring stores learn. One that finds itself empty names the epoch in which it found that out, and its
//! statement counts in that epoch only: it relies on all the other stores as they are in it.

use crate::{
    safeguards::{Safeguard, Safeguards},
    store::{Retirement, Store},
    Change, NodeReport, RetirementOutcome, RetirementState, StoreEntry,
};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// How many absent stores are recorded. Bounds memory against machines that are added and removed without end:
/// decommissioned ones are evicted first.
const MAX_ABSENT: usize = 1_024;

/// All stores, by name.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Stores {
    stores: BTreeMap<String, Store>,
    /// Rises with each change of a store's membership state.
    epoch: u64,
    #[serde(skip)]
    safeguards: Safeguards,
}

impl Stores {
    /// Replaces the safeguards, which no snapshot contains.
    #[cfg(feature = "removable-safeguards")]
    pub(crate) fn set_safeguards(&mut self, safeguards: Safeguards) {
        self.safeguards = safeguards;
    }

    /// The stores that are present or may come back, by name.
    pub(crate) fn entries(&self) -> impl Iterator<Item = StoreEntry> + '_ {
        self.stores.values().filter_map(|store| self.entry(store))
    }

    /// How far the retirement of a store is, if it was requested.
    pub(crate) fn retirement(&self, name: &str) -> Option<RetirementState> {
        match self.stores.get(name)?.retirement? {
            Retirement::Running { .. } => Some(RetirementState::Running),
            Retirement::Done => Some(RetirementState::Done),
        }
    }

    /// Applies a report, unless it is of an earlier incarnation.
    pub(crate) fn report(&mut self, report: &NodeReport, changes: &mut Vec<Change>) {
        match self.stores.get(&report.name) {
            None => self.replace(Store::registered(report), changes),
            Some(known) if known.report.incarnation <= report.incarnation => {
                let next = known.reported(report);
                self.replace(next, changes);
            }
            Some(_) => {}
        }
    }

    /// The lease of an incarnation of a store expired.
    pub(crate) fn expire(&mut self, name: &str, incarnation: u64, changes: &mut Vec<Change>) {
        let Some(known) = self.stores.get(name) else {
            return;
        };
        if known.report.incarnation <= incarnation {
            let next = Store {
                present: false,
                ..known.clone()
            };
            self.replace(next, changes);
        }
    }

    /// The operator requests that a store is emptied. Idempotent.
    pub(crate) fn retire(
        &mut self,
        name: &str,
        tolerated_losses: u32,
        changes: &mut Vec<Change>,
    ) -> RetirementOutcome {
        let Some(known) = self.stores.get(name) else {
            return RetirementOutcome::UnknownNode;
        };
        if known.retirement.is_some() {
            return RetirementOutcome::Accepted;
        }
        if !self.enough_remain_without(name, tolerated_losses) {
            return RetirementOutcome::TooFew;
        }
        let next = Store {
            retirement: Some(Retirement::Running { tolerated_losses }),
            ..known.clone()
        };
        self.replace(next, changes);
        RetirementOutcome::Accepted
    }

    /// A store found in an epoch that it is empty. That has no effect from an earlier incarnation of it or an earlier
    /// epoch, nor while too few others remain.
    pub(crate) fn complete_retirement(
        &mut self,
        name: &str,
        incarnation: u64,
        epoch: u64,
        changes: &mut Vec<Change>,
    ) {
        let Some(known) = self.stores.get(name) else {
            return;
        };
        let in_current_epoch =
            epoch == self.epoch || !self.safeguards.has(Safeguard::EpochsChecked);
        let counts = known.report.incarnation == incarnation && in_current_epoch;
        if counts && self.is_retiring(known) {
            let next = Store {
                retirement: Some(Retirement::Done),
                ..known.clone()
            };
            self.replace(next, changes);
        }
    }

    /// The changes that a new subscriber needs.
    pub(crate) fn initial_changes(&self) -> impl Iterator<Item = Change> + '_ {
        self.entries().map(Change::Store)
    }

    /// What subscribers see of a store: nothing once it is decommissioned.
    fn entry(&self, store: &Store) -> Option<StoreEntry> {
        let retiring = self.is_retiring(store);
        (!store.is_decommissioned()).then(|| StoreEntry {
            name: store.report.name.clone(),
            zone: store.report.zone.clone(),
            address: store.report.address,
            incarnation: store.report.incarnation,
            disk: store.report.disk,
            complete: store.report.complete,
            present: store.present,
            retiring,
            retired: store.retirement == Some(Retirement::Done),
            epoch: if retiring { self.epoch } else { 0 },
        })
    }

    /// Whether its retirement runs and is not paused.
    fn is_retiring(&self, store: &Store) -> bool {
        let enough = |tolerated| self.enough_remain_without(&store.report.name, tolerated);
        store.running_retirement().is_some_and(|tolerated| {
            enough(tolerated) || !self.safeguards.has(Safeguard::RetirementPaused)
        })
    }

    /// Whether more stores remain without this one than may be lost at once.
    fn enough_remain_without(&self, name: &str, tolerated_losses: u32) -> bool {
        let others = self
            .stores
            .values()
            .filter(|store| store.report.name != name);
        others.filter(|store| self.remains(store)).count() > tolerated_losses as usize
    }

    fn remains(&self, store: &Store) -> bool {
        let usable = store.present && store.report.complete;
        store.retirement.is_none()
            && (usable || !self.safeguards.has(Safeguard::RemainingPresentAndComplete))
    }

    /// The only transition of a store.
    fn replace(&mut self, store: Store, changes: &mut Vec<Change>) {
        let name = store.report.name.clone();
        let before = self.affected_entries(&name);
        let membership_state = store.membership_state();
        let known = self.stores.insert(name.clone(), store);
        if known.is_none_or(|known| known.membership_state() != membership_state) {
            self.epoch += 1;
        }
        self.publish(&name, &before, changes);
        self.evict_oldest_absent(changes);
    }

    /// What subscribers see of a store and of all retiring ones, which a change of it may affect.
    fn affected_entries(&self, name: &str) -> BTreeMap<String, StoreEntry> {
        let affected =
            |store: &&Store| store.report.name == name || store.running_retirement().is_some();
        let entries = self
            .stores
            .values()
            .filter(affected)
            .filter_map(|store| self.entry(store));
        entries.map(|entry| (entry.name.clone(), entry)).collect()
    }

    /// Adds the changes that subscribers see after a transition of the named store.
    fn publish(
        &self,
        name: &str,
        before: &BTreeMap<String, StoreEntry>,
        changes: &mut Vec<Change>,
    ) {
        let after = self.affected_entries(name);
        if before.contains_key(name) && !after.contains_key(name) {
            changes.push(Change::StoreRemoved {
                name: name.to_owned(),
            });
        }
        let changed = after
            .into_values()
            .filter(|entry| before.get(&entry.name) != Some(entry));
        changes.extend(changed.map(Change::Store));
    }

    fn evict_oldest_absent(&mut self, changes: &mut Vec<Change>) {
        let absent = || self.stores.values().filter(|store| !store.present);
        if absent().count() <= MAX_ABSENT {
            return;
        }
        let oldest =
            absent().min_by_key(|store| (!store.is_decommissioned(), store.report.incarnation));
        let Some(name) = oldest.map(|store| store.report.name.clone()) else {
            return;
        };
        let evicted = self.stores.remove(&name);
        if evicted.is_some_and(|store| !store.is_decommissioned()) {
            changes.push(Change::StoreRemoved { name });
        }
    }
}
