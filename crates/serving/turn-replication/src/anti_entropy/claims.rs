//! Which turns are on their way to this store, so that no two pulls fetch the same one.

use std::collections::HashMap;

/// Turns that are being fetched or written, each with the pull that fetches it.
#[derive(Debug, Default)]
pub(super) struct Claims {
    pulls: HashMap<String, u64>,
}

impl Claims {
    /// Claims a turn for a pull; returns whether no pull had claimed it.
    #[must_use]
    pub(super) fn claim(&mut self, id: &str, pull: u64) -> bool {
        if self.pulls.contains_key(id) {
            return false;
        }
        self.pulls.insert(id.to_owned(), pull);
        true
    }

    /// The turn is here, or it will not come.
    pub(super) fn release(&mut self, id: &str) {
        self.pulls.remove(id);
    }

    /// A pull has ended: nothing more comes from it.
    pub(super) fn release_all_of(&mut self, pull: u64) {
        self.pulls.retain(|_, claimed_by| *claimed_by != pull);
    }

    pub(super) fn clear(&mut self) {
        self.pulls.clear();
    }

    /// How many turns are on their way.
    pub(super) fn len(&self) -> usize {
        self.pulls.len()
    }
}
