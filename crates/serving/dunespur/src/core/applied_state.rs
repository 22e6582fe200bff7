//! The control state as this member has applied it, with its recent changes for watches.

use super::change_log::ChangeLog;
use super::replay_cost::ReplayCost;
use dunespur_control_state::{Change, ControlState, Operation, Outcome};

/// The control state after all operations committed so far.
#[derive(Default)]
pub struct AppliedState {
    state: ControlState,
    changes: ChangeLog,
    replay_cost: ReplayCost,
    /// Index of the first operation or snapshot that could not be decoded; the state has not followed the chain since.
    unreadable_since: Option<u64>,
}

impl AppliedState {
    /// The applied control state.
    pub fn state(&self) -> &ControlState {
        &self.state
    }

    /// The retained changes, by index.
    pub fn changes(&self) -> &ChangeLog {
        &self.changes
    }

    /// Whether the state is that of the newest index. A snapshot or operation that another version of the program
    /// wrote may be undecodable; this member must not answer with its outdated state then.
    pub fn is_readable(&self) -> bool {
        self.unreadable_since.is_none()
    }

    /// Applies the operation committed at `index`; `None` if it could not be decoded.
    pub fn commit(&mut self, index: u64, payload: &[u8]) -> Option<Outcome> {
        let mut changes = Vec::new();
        let outcome = match postcard::from_bytes::<Operation>(payload) {
            Ok(operation) => Some(self.apply(&operation, &mut changes)),
            Err(error) => {
                self.mark_unreadable(index, &format!("the operation can't be decoded: {error}"));
                None
            }
        };
        self.changes.push(index, changes);
        outcome
    }

    fn apply(&mut self, operation: &Operation, changes: &mut Vec<Change>) -> Outcome {
        let outcome = self.state.apply(operation, changes);
        let document = self.state.configuration();
        let document_bytes = document.map_or(0, |document| document.json().len());
        self.replay_cost.record(operation, &outcome, document_bytes);
        outcome
    }

    /// Whether the log since the last compaction takes so long to apply again that it is to be compacted now. Starts to
    /// count anew if so.
    pub fn take_compaction_due(&mut self) -> bool {
        self.replay_cost.take_compaction_due()
    }

    /// Replaces the state by a snapshot taken at `index`. A readable snapshot makes the state readable again.
    pub fn install(&mut self, index: u64, bytes: &[u8]) {
        match ControlState::restore(bytes) {
            Ok(state) => {
                self.state = state;
                self.unreadable_since = None;
            }
            Err(error) => {
                self.mark_unreadable(index, &format!("the snapshot can't be decoded: {error}"))
            }
        }
        self.changes.reset(index);
        self.replay_cost.reset();
    }

    /// Marks the state as unreadable from this index on; logged only the first time.
    fn mark_unreadable(&mut self, index: u64, reason: &str) {
        if self.unreadable_since.is_none() {
            log::error!(
                "control state at index {index}: {reason}; this member answers no requests until it installs a readable snapshot"
            );
            self.unreadable_since = Some(index);
        }
    }
}

#[cfg(test)]
#[path = "applied_state/tests.rs"]
mod tests;
