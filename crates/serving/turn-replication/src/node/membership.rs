//! The latest membership that the core published, and the placement that follows from it.

use super::state::StoreNode;
use crate::membership::{Candidate, StoreEntry};

impl StoreNode {
    /// Records since when each absent store of the membership has been absent.
    pub(super) fn record_absences(&mut self, now_ms: u64) {
        let is_absent = |store: &&StoreEntry| !store.present && store.name != self.settings.name;
        let absent = self.stores.iter().filter(is_absent);
        let names: Vec<String> = absent.map(|store| store.name.clone()).collect();
        self.absent_since_ms.retain(|name, _| names.contains(name));
        for name in names {
            self.absent_since_ms.entry(name).or_insert(now_ms);
        }
    }

    /// Updates the stores that turns may be placed on; returns whether they have changed.
    #[must_use]
    pub(super) fn update_candidates(&mut self, now_ms: u64) -> bool {
        let has_not_been_absent_for_long = |store: &&StoreEntry| {
            let since_ms = self.absent_since_ms.get(&store.name);
            since_ms.is_none_or(|since_ms| now_ms < since_ms + self.settings.absent_repair_ms)
        };
        let candidates: Vec<Candidate> = self
            .stores
            .iter()
            .filter(|store| store.accepts_placement())
            .filter(has_not_been_absent_for_long)
            .map(Candidate::from)
            .collect();
        let has_changed = candidates != self.candidates;
        self.candidates = candidates;
        has_changed
    }

    pub(super) fn is_present(&self, name: &str) -> bool {
        let mut stores = self.stores.iter();
        stores.any(|store| store.name == name && store.present && !store.retired)
    }

    /// The entry of this store in the membership.
    pub(super) fn own_entry(&self) -> Option<&StoreEntry> {
        let mut stores = self.stores.iter();
        stores.find(|store| store.name == self.settings.name)
    }

    /// The names of the other stores that are present.
    pub(super) fn peer_names(&self) -> Vec<String> {
        let peers = present_peers(&self.stores, &self.settings.name);
        peers.map(|peer| peer.name.clone()).collect()
    }

    /// Records a store that sent a request but is not in the membership yet, so that "unknown" replies list the store
    /// and readers learn that it may hold turns.
    pub(super) fn record_unlisted_store(&mut self, name: &str) {
        if name != self.settings.name && !self.stores.iter().any(|store| store.name == name) {
            self.unlisted_stores.insert(name.to_owned());
        }
    }

    /// Forgets unlisted stores that the membership lists now.
    pub(super) fn forget_listed_stores(&mut self) {
        let stores = &self.stores;
        let is_listed = |name: &String| stores.iter().any(|store| store.name == *name);
        self.unlisted_stores.retain(|name| !is_listed(name));
    }

    /// All stores that may hold turns, as far as this store knows, including this store.
    pub(super) fn known_stores(&self) -> Vec<String> {
        let listed = self.stores.iter().filter(|store| !store.retired);
        let listed = listed.map(|store| &store.name);
        let mut names: Vec<String> = listed.chain(&self.unlisted_stores).cloned().collect();
        if !names.contains(&self.settings.name) {
            names.push(self.settings.name.clone());
        }
        names
    }
}

/// The present stores other than `own`.
pub(super) fn present_peers<'a>(
    stores: &'a [StoreEntry],
    own: &'a str,
) -> impl Iterator<Item = &'a StoreEntry> + 'a {
    stores
        .iter()
        .filter(move |store| store.name != own && store.present && !store.retired)
}

/// Whether the new membership changes the placement of turns or reports a lost disk.
pub(super) fn placement_differs(before: &[StoreEntry], after: &[StoreEntry]) -> bool {
    placement_inputs(before) != placement_inputs(after)
}

/// The properties of one store that determine the placement of turns.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct PlacementInput<'a> {
    name: &'a str,
    zone: &'a str,
    disk: u64,
    retiring: bool,
}

fn placement_inputs(stores: &[StoreEntry]) -> Vec<PlacementInput<'_>> {
    let mut inputs: Vec<PlacementInput<'_>> = stores
        .iter()
        .filter(|store| !store.retired)
        .map(|store| PlacementInput {
            name: &store.name,
            zone: &store.zone,
            disk: store.disk,
            retiring: store.retiring,
        })
        .collect();
    inputs.sort_unstable();
    inputs
}
