//! Recent changes of the control state by index, for watches.

use dunespur_control_state::Change;
use postcard::ser_flavors::Size;
use std::collections::VecDeque;

/// Maximum number of retained indices with changes; a watch that is further behind receives the complete state.
const MAX_RETAINED: usize = 1024;
/// Maximum encoded bytes of the retained changes, far below the frame limit, as one update may hold all of them.
const MAX_RETAINED_BYTES: usize = 1 << 20;

/// The changes made at one index.
struct RetainedChanges {
    index: u64,
    changes: Vec<Change>,
    /// Size of the encoded changes.
    bytes: usize,
}

/// A log of changes, bounded by number and by size.
#[derive(Default)]
pub struct ChangeLog {
    /// All changes after this index are retained.
    floor: u64,
    /// The newest index, with or without changes.
    newest: u64,
    retained: VecDeque<RetainedChanges>,
    /// Size of all retained changes.
    retained_bytes: usize,
}

impl ChangeLog {
    /// Appends the changes made at `index`.
    pub fn push(&mut self, index: u64, changes: Vec<Change>) {
        self.newest = index;
        if changes.is_empty() {
            return;
        }
        let bytes = changes.iter().map(encoded_bytes).sum();
        self.retained_bytes += bytes;
        self.retained.push_back(RetainedChanges {
            index,
            changes,
            bytes,
        });
        while self.retained.len() > MAX_RETAINED || self.retained_bytes > MAX_RETAINED_BYTES {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        let Some(oldest) = self.retained.pop_front() else {
            return;
        };
        self.retained_bytes -= oldest.bytes;
        self.floor = oldest.index;
    }

    /// Drops all changes after a snapshot taken at `index` has replaced the state.
    pub fn reset(&mut self, index: u64) {
        self.floor = index;
        self.newest = index;
        self.retained.clear();
        self.retained_bytes = 0;
    }

    /// The newest applied index.
    pub fn newest_index(&self) -> u64 {
        self.newest
    }

    /// Whether there are changes after `index`.
    pub fn has_changes_after(&self, index: u64) -> bool {
        !self.retains_after(index)
            || self
                .retained
                .back()
                .is_some_and(|newest| newest.index > index)
    }

    /// Whether all changes after `index` are retained.
    pub fn retains_after(&self, index: u64) -> bool {
        index >= self.floor
    }

    /// The changes after `index`; `None` if some of them are no longer retained.
    pub fn changes_after(&self, index: u64) -> Option<Vec<Change>> {
        if !self.retains_after(index) {
            return None;
        }
        let start = self
            .retained
            .partition_point(|retained| retained.index <= index);
        Some(
            self.retained
                .range(start..)
                .flat_map(|retained| retained.changes.iter().cloned())
                .collect(),
        )
    }
}

/// Size of an encoded change.
fn encoded_bytes(change: &Change) -> usize {
    // Encoding into the size flavor never fails.
    postcard::serialize_with_flavor(change, Size::default()).unwrap_or(0)
}

#[cfg(test)]
#[path = "change_log/tests.rs"]
mod tests;
