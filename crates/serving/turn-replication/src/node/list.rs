//! The list of stores, as the core has it.

use super::StoreNode;
use crate::roster::{Candidate, Store};

impl StoreNode {
    pub(super) fn note_absences(&mut self, now_ms: u64) {
        let absent = |store: &&Store| !store.present && store.name != self.settings.name;
        let names: Vec<String> = self
            .stores
            .iter()
            .filter(absent)
            .map(|store| store.name.clone())
            .collect();
        self.absent_since.retain(|name, _| names.contains(name));
        for name in names {
            self.absent_since.entry(name).or_insert(now_ms);
        }
    }

    /// Computes anew on which stores turns are placed; says whether that has changed.
    pub(super) fn place_anew(&mut self, now_ms: u64) -> bool {
        let lasting = |store: &&Store| {
            let since = self.absent_since.get(&store.name);
            since.is_none_or(|since| now_ms < since + self.settings.absent_repair_ms)
        };
        let candidates: Vec<Candidate> = self
            .stores
            .iter()
            .filter(|store| store.takes_turns())
            .filter(lasting)
            .map(Candidate::from)
            .collect();
        let changed = candidates != self.candidates;
        self.candidates = candidates;
        changed
    }

    pub(super) fn is_present(&self, name: &str) -> bool {
        self.stores
            .iter()
            .any(|store| store.name == name && store.present && !store.retired)
    }

    /// A store asks; if the list does not name it yet, it is told to readers as one that may hold turns.
    pub(super) fn meet(&mut self, name: &str) {
        if name != self.settings.name && !self.stores.iter().any(|store| store.name == name) {
            self.guests.insert(name.to_owned());
        }
    }

    pub(super) fn known_stores(&self) -> Vec<String> {
        let listed = self
            .stores
            .iter()
            .filter(|store| !store.retired)
            .map(|store| &store.name);
        let mut names: Vec<String> = listed.chain(&self.guests).cloned().collect();
        if !names.contains(&self.settings.name) {
            names.push(self.settings.name.clone());
        }
        names
    }
}

/// The other stores that are present.
pub(super) fn peers<'a>(stores: &'a [Store], own: &'a str) -> impl Iterator<Item = &'a Store> + 'a {
    stores
        .iter()
        .filter(move |store| store.name != own && store.present && !store.retired)
}

/// Whether turns are placed otherwise under the new list, or a disk was lost.
pub(super) fn places_differ(before: &[Store], after: &[Store]) -> bool {
    let places = |stores: &[Store]| {
        let listed = stores.iter().filter(|store| !store.retired);
        let mut places: Vec<(String, String, u64, bool)> = listed
            .map(|store| {
                (
                    store.name.clone(),
                    store.zone.clone(),
                    store.disk,
                    store.retiring,
                )
            })
            .collect();
        places.sort_unstable();
        places
    };
    places(before) != places(after)
}
