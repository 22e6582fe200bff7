//! Tracks the turns that are being transferred to this store, so that no two pulls fetch the same turn.

use std::collections::HashMap;

/// Turns that are being fetched or written, each claimed by the pull that fetches it.
#[derive(Debug, Default)]
pub(super) struct Claims {
    /// Serial number of the claiming pull by turn id.
    pull_by_turn: HashMap<String, u64>,
}

impl Claims {
    /// Claims a turn for a pull; returns `false` if a pull has already claimed the turn.
    #[must_use]
    pub(super) fn claim(&mut self, id: &str, pull_serial: u64) -> bool {
        if self.pull_by_turn.contains_key(id) {
            return false;
        }
        self.pull_by_turn.insert(id.to_owned(), pull_serial);
        true
    }

    /// Releases a turn that is stored now or will not arrive.
    pub(super) fn release(&mut self, id: &str) {
        self.pull_by_turn.remove(id);
    }

    /// Releases all turns of a pull that has ended.
    pub(super) fn release_pull(&mut self, pull_serial: u64) {
        self.pull_by_turn
            .retain(|_, claimed_by| *claimed_by != pull_serial);
    }

    pub(super) fn clear(&mut self) {
        self.pull_by_turn.clear();
    }

    /// Number of turns that are being fetched or written.
    pub(super) fn len(&self) -> usize {
        self.pull_by_turn.len()
    }
}
