//! The registered stores and their retirements.
//!
//! The incarnation of a store's process increases with each start and orders the store's reports. A store whose lease
//! expired stays recorded as absent, because its machine and data may return.
//!
//! **Retirement.** A store *remains* if it is present, complete and neither retiring nor retired. A request to retire a
//! store is accepted only if more other stores remain than may be lost at once. If too few remain later, the retirement
//! is *paused*, and the store is used like any other until enough stores remain again.
//!
//! **Epochs.** Each change of a store's [`MembershipState`](crate::store::MembershipState) begins a new epoch, which is
//! published to retiring stores. A store that reports itself empty names the epoch in which it found this. The report
//! counts only in that epoch, because it relies on the state of all other stores in that epoch.

use crate::{
    safeguards::{Safeguard, Safeguards},
    store::{Retirement, Store},
    Change, NodeReport, RetirementOutcome, RetirementState, StoreEntry,
};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Maximum number of recorded absent stores. Bounds memory while machines are added and removed without end;
/// decommissioned stores are evicted first.
const MAX_ABSENT: usize = 1_024;

/// All recorded stores, by name.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Stores {
    stores: BTreeMap<String, Store>,
    /// Increases with each change of a store's membership state.
    epoch: u64,
    #[serde(skip)]
    safeguards: Safeguards,
}

impl Stores {
    /// Replaces the safeguards, which snapshots do not contain.
    #[cfg(feature = "removable-safeguards")]
    pub(crate) fn set_safeguards(&mut self, safeguards: Safeguards) {
        self.safeguards = safeguards;
    }

    /// All recorded stores that are not decommissioned, by name.
    pub(crate) fn entries(&self) -> impl Iterator<Item = StoreEntry> + '_ {
        self.stores.values().filter_map(|store| self.entry(store))
    }

    /// The state of a store's retirement, if one was requested.
    pub(crate) fn retirement(&self, name: &str) -> Option<RetirementState> {
        match self.stores.get(name)?.retirement? {
            Retirement::Running { .. } => Some(RetirementState::Running),
            Retirement::Done => Some(RetirementState::Done),
        }
    }

    /// Applies a store's report, unless it is from an earlier incarnation.
    pub(crate) fn report(&mut self, report: &NodeReport, changes: &mut Vec<Change>) {
        match self.stores.get(&report.name) {
            None => self.replace(Store::registered(report), changes),
            Some(known) if known.report.incarnation <= report.incarnation => {
                let next = known.with_report(report);
                self.replace(next, changes);
            }
            Some(_) => {}
        }
    }

    /// Makes a store absent because the lease of this incarnation expired. Ignored if a newer incarnation has
    /// reported.
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

    /// Starts the retirement of a store, if enough other stores remain. Idempotent.
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

    /// Completes a retirement after the store reported itself empty. The report has no effect if it is from another
    /// incarnation or epoch, or while the retirement is paused.
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

    /// The changes that bring a new subscriber up to date.
    pub(crate) fn initial_changes(&self) -> impl Iterator<Item = Change> + '_ {
        self.entries().map(Change::Store)
    }

    /// A store as subscribers see it, or `None` once it is decommissioned.
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

    /// Whether the store's retirement is running and not paused.
    fn is_retiring(&self, store: &Store) -> bool {
        let enough = |tolerated| self.enough_remain_without(&store.report.name, tolerated);
        store.running_retirement_losses().is_some_and(|tolerated| {
            enough(tolerated) || !self.safeguards.has(Safeguard::RetirementPaused)
        })
    }

    /// Whether more stores remain besides this one than may be lost at once.
    fn enough_remain_without(&self, name: &str, tolerated_losses: u32) -> bool {
        let others = self
            .stores
            .values()
            .filter(|store| store.report.name != name);
        others.filter(|store| self.remains(store)).count() > tolerated_losses as usize
    }

    /// Whether the store counts as remaining; see the module documentation.
    fn remains(&self, store: &Store) -> bool {
        let usable = store.present && store.report.complete;
        store.retirement.is_none()
            && (usable || !self.safeguards.has(Safeguard::RemainingPresentAndComplete))
    }

    /// Replaces a store's record, begins a new epoch if needed and publishes the changes. All changes of a store go
    /// through this function.
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

    /// The named store and all stores with a running retirement, as subscribers see them. A change of the named store
    /// may affect all of these.
    fn affected_entries(&self, name: &str) -> BTreeMap<String, StoreEntry> {
        let affected = |store: &&Store| {
            store.report.name == name || store.running_retirement_losses().is_some()
        };
        let entries = self
            .stores
            .values()
            .filter(affected)
            .filter_map(|store| self.entry(store));
        entries.map(|entry| (entry.name.clone(), entry)).collect()
    }

    /// Appends the changes for subscribers after a change of the named store.
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
