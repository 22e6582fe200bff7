//! Recent changes of the control state by index, for watches.

use dunespur_control_state::Change;
use std::collections::VecDeque;

/// Maximum number of retained indices with changes; a watch that is further behind receives the complete state.
const MAX_RETAINED: usize = 1024;

/// A bounded log of changes.
#[derive(Default)]
pub struct ChangeLog {
    /// All changes after this index are retained.
    floor: u64,
    /// The newest index, with or without changes.
    newest: u64,
    retained: VecDeque<(u64, Vec<Change>)>,
}

impl ChangeLog {
    /// Appends the changes made at `index`.
    pub fn push(&mut self, index: u64, changes: Vec<Change>) {
        self.newest = index;
        if changes.is_empty() {
            return;
        }
        self.retained.push_back((index, changes));
        if self.retained.len() > MAX_RETAINED {
            self.floor = self
                .retained
                .pop_front()
                .map_or(self.floor, |(index, _)| index);
        }
    }

    /// Drops all changes after a snapshot taken at `index` has replaced the state.
    pub fn reset(&mut self, index: u64) {
        self.floor = index;
        self.newest = index;
        self.retained.clear();
    }

    /// The newest applied index.
    pub fn newest_index(&self) -> u64 {
        self.newest
    }

    /// Whether there are changes after `index`.
    pub fn has_changes_after(&self, index: u64) -> bool {
        index < self.floor
            || self
                .retained
                .back()
                .is_some_and(|(newest, _)| *newest > index)
    }

    /// The changes after `index`; `None` if some of them are no longer retained.
    pub fn changes_after(&self, index: u64) -> Option<Vec<Change>> {
        if index < self.floor {
            return None;
        }
        let start = self
            .retained
            .partition_point(|(changed_at, _)| *changed_at <= index);
        Some(
            self.retained
                .range(start..)
                .flat_map(|(_, changes)| changes.iter().cloned())
                .collect(),
        )
    }
}
