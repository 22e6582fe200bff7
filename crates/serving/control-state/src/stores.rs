//! The stores: which there are, which of them are on their way out.
//!
//! Each life of a store's process has a higher incarnation than the one before, which orders what is said of
//! it. A store that isn't heard of stays known as absent: its machine, and what it holds, may come back.
//!
//! **Retirement.** A store *remains* if it is present, whole and not on its way out. An order to retire is taken
//! only if more stores remain than may be lost at once. That can change later: then the retirement *stands still*,
//! and the store is used like any other until enough remain again.
//!
//! **Rounds.** Each change of a store's standing begins another round, which the stores that are being emptied are
//! told. One that says that it is empty names the round in which it found that out, and is believed in that round
//! only: what it says rests on all the others as they stand in it.

use crate::{Change, Guards, NodeReport, RetireOutcome, RetireState, StoreEntry};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// How many stores are kept that are no longer there. Against machines that are added and removed without
/// end: those that were taken away as planned are forgotten first.
const MAX_ABSENT: usize = 1_024;

/// All stores, by name.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Stores {
    stores: BTreeMap<String, Store>,
    /// Rises with each change of a store's standing.
    round: u64,
    #[serde(skip)]
    guards: Guards,
}

/// Where a store is on its way out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum Retirement {
    /// It is being emptied.
    Running {
        /// How many stores may be lost at once, by the order.
        tolerated_losses: u32,
    },
    /// It is empty.
    Done,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Store {
    report: NodeReport,
    present: bool,
    retirement: Option<Retirement>,
}

/// What the others count on in a store. If it changes, another round begins.
#[derive(PartialEq)]
struct Standing {
    present: bool,
    whole: bool,
    disk: u64,
    zone: String,
    retirement: Option<Retirement>,
}

impl Store {
    fn standing(&self) -> Standing {
        Standing {
            present: self.present,
            whole: self.report.whole,
            disk: self.report.disk,
            zone: self.report.zone.clone(),
            retirement: self.retirement,
        }
    }

    /// It was emptied and taken away.
    fn is_taken_away(&self) -> bool {
        self.retirement == Some(Retirement::Done) && !self.present
    }

    /// The losses that its retirement has to leave room for, while it runs.
    fn running(&self) -> Option<u32> {
        match self.retirement {
            Some(Retirement::Running { tolerated_losses }) => Some(tolerated_losses),
            Some(Retirement::Done) | None => None,
        }
    }

    /// The store after another report of it.
    fn reported(&self, report: &NodeReport) -> Store {
        let emptied = self.retirement == Some(Retirement::Done);
        // A machine of that name with another disk is not the one that was taken away.
        let another = emptied && report.disk != self.report.disk;
        let retirement = if another { None } else { self.retirement };
        Store {
            report: report.clone(),
            present: true,
            retirement,
        }
    }
}

impl Stores {
    /// Takes guards out, for tests.
    pub(crate) fn set_guards(&mut self, guards: Guards) {
        self.guards = guards;
    }

    /// The stores that are there, or may come back, by name.
    pub(crate) fn all(&self) -> impl Iterator<Item = StoreEntry> + '_ {
        self.stores.values().filter_map(|store| self.entry(store))
    }

    /// How far a store is on its way out, if it is.
    pub(crate) fn retirement(&self, name: &str) -> Option<RetireState> {
        match self.stores.get(name)?.retirement? {
            Retirement::Running { .. } => Some(RetireState::Running),
            Retirement::Done => Some(RetireState::Done),
        }
    }

    /// Takes a report.
    pub(crate) fn report(&mut self, report: &NodeReport, changes: &mut Vec<Change>) {
        match self.stores.get(&report.name) {
            None => self.set(
                Store {
                    report: report.clone(),
                    present: true,
                    retirement: None,
                },
                changes,
            ),
            Some(known) if known.report.incarnation <= report.incarnation => {
                let next = known.reported(report);
                self.set(next, changes);
            }
            Some(_) => {}
        }
    }

    /// Nothing is heard of a life of a store any more.
    pub(crate) fn gone(&mut self, name: &str, incarnation: u64, changes: &mut Vec<Change>) {
        let Some(known) = self.stores.get(name) else {
            return;
        };
        if known.report.incarnation <= incarnation {
            let next = Store {
                present: false,
                ..known.clone()
            };
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
        let Some(known) = self.stores.get(name) else {
            return RetireOutcome::UnknownNode;
        };
        if known.retirement.is_some() {
            return RetireOutcome::Taken;
        }
        if !self.enough_remain_without(name, tolerated_losses) {
            return RetireOutcome::TooFew;
        }
        let next = Store {
            retirement: Some(Retirement::Running { tolerated_losses }),
            ..known.clone()
        };
        self.set(next, changes);
        RetireOutcome::Taken
    }

    /// A store has found in a round that it is empty. That of an earlier life of it means nothing, nor of an
    /// earlier round, nor while too few others remain.
    pub(crate) fn emptied(
        &mut self,
        name: &str,
        incarnation: u64,
        round: u64,
        changes: &mut Vec<Change>,
    ) {
        let Some(known) = self.stores.get(name) else {
            return;
        };
        let rests_on_the_present = round == self.round || !self.guards.rounds_checked;
        let believed = known.report.incarnation == incarnation && rests_on_the_present;
        if believed && self.is_being_emptied(known) {
            let next = Store {
                retirement: Some(Retirement::Done),
                ..known.clone()
            };
            self.set(next, changes);
        }
    }

    /// What a subscriber has to know.
    pub(crate) fn image(&self) -> impl Iterator<Item = Change> + '_ {
        self.all().map(Change::Store)
    }

    /// What the data plane sees of a store: nothing once it was emptied and taken away.
    fn entry(&self, store: &Store) -> Option<StoreEntry> {
        let retiring = self.is_being_emptied(store);
        (!store.is_taken_away()).then(|| StoreEntry {
            name: store.report.name.clone(),
            zone: store.report.zone.clone(),
            address: store.report.address,
            incarnation: store.report.incarnation,
            disk: store.report.disk,
            complete: store.report.whole,
            present: store.present,
            retiring,
            retired: store.retirement == Some(Retirement::Done),
            epoch: if retiring { self.round } else { 0 },
        })
    }

    /// Its retirement runs and does not stand still.
    fn is_being_emptied(&self, store: &Store) -> bool {
        let enough = |tolerated| self.enough_remain_without(&store.report.name, tolerated);
        store
            .running()
            .is_some_and(|tolerated| enough(tolerated) || !self.guards.stands_still)
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
        let sound = store.present && store.report.whole;
        store.retirement.is_none() && (sound || !self.guards.remaining_present_and_whole)
    }

    /// The one change of a store's state.
    fn set(&mut self, store: Store, changes: &mut Vec<Change>) {
        let name = store.report.name.clone();
        let before = self.told_with(&name);
        let standing = store.standing();
        let known = self.stores.insert(name.clone(), store);
        if known.is_none_or(|known| known.standing() != standing) {
            self.round += 1;
        }
        self.tell(&name, &before, changes);
        self.bound(changes);
    }

    /// What subscribers see of a store and of all on their way out, which a change of it may concern.
    fn told_with(&self, name: &str) -> BTreeMap<String, StoreEntry> {
        let concerned = |store: &&Store| store.report.name == name || store.running().is_some();
        let entries = self
            .stores
            .values()
            .filter(concerned)
            .filter_map(|store| self.entry(store));
        entries.map(|entry| (entry.name.clone(), entry)).collect()
    }

    /// Tells what a change of the named store has changed.
    fn tell(&self, name: &str, before: &BTreeMap<String, StoreEntry>, changes: &mut Vec<Change>) {
        let after = self.told_with(name);
        if before.contains_key(name) && !after.contains_key(name) {
            changes.push(Change::StoreGone {
                name: name.to_owned(),
            });
        }
        let changed = after
            .into_values()
            .filter(|entry| before.get(&entry.name) != Some(entry));
        changes.extend(changed.map(Change::Store));
    }

    fn bound(&mut self, changes: &mut Vec<Change>) {
        let absent = || self.stores.values().filter(|store| !store.present);
        if absent().count() <= MAX_ABSENT {
            return;
        }
        let oldest =
            absent().min_by_key(|store| (!store.is_taken_away(), store.report.incarnation));
        let Some(name) = oldest.map(|store| store.report.name.clone()) else {
            return;
        };
        let forgotten = self.stores.remove(&name);
        if forgotten.is_some_and(|store| !store.is_taken_away()) {
            changes.push(Change::StoreGone { name });
        }
    }
}
