//! The newest changes of the control state by their index, for those who follow it.

use dunespur_control_state::Change;
use std::collections::VecDeque;

/// Indices with changes that are kept; who is further behind gets the whole state.
const MOST_KEPT: usize = 1024;

/// A bounded log of changes.
#[derive(Default)]
pub struct ChangeLog {
    /// Changes after this index are kept.
    floor: u64,
    /// The newest index, with or without changes.
    newest: u64,
    kept: VecDeque<(u64, Vec<Change>)>,
}

impl ChangeLog {
    /// Adds the changes of one index.
    pub fn push(&mut self, index: u64, changes: Vec<Change>) {
        self.newest = index;
        if changes.is_empty() {
            return;
        }
        self.kept.push_back((index, changes));
        if self.kept.len() > MOST_KEPT {
            self.floor = self.kept.pop_front().map_or(self.floor, |(index, _)| index);
        }
    }

    /// The state was replaced by one of this index.
    pub fn reset(&mut self, index: u64) {
        self.floor = index;
        self.newest = index;
        self.kept.clear();
    }

    /// The newest index.
    pub fn newest(&self) -> u64 {
        self.newest
    }

    /// Whether there are changes after `index`.
    pub fn has_after(&self, index: u64) -> bool {
        index < self.floor || self.kept.back().is_some_and(|(newest, _)| *newest > index)
    }

    /// The changes after `index`; `None` if some of them are no longer kept.
    pub fn after(&self, index: u64) -> Option<Vec<Change>> {
        if index < self.floor {
            return None;
        }
        let start = self.kept.partition_point(|(at, _)| *at <= index);
        Some(
            self.kept
                .range(start..)
                .flat_map(|(_, changes)| changes.iter().cloned())
                .collect(),
        )
    }
}
