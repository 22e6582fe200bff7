//! The control state as this member has applied it, with the changes for those who watch it.

use super::change_log::ChangeLog;
use dunespur_control_state::{ControlState, Operation, Outcome};

/// The control state after the operations committed so far.
#[derive(Default)]
pub struct AppliedState {
    state: ControlState,
    changes: ChangeLog,
    /// What was committed here or installed at this index could not be read: the state is not the one of the index.
    unreadable_since: Option<u64>,
}

impl AppliedState {
    /// The state.
    pub fn state(&self) -> &ControlState {
        &self.state
    }

    /// The recent changes.
    pub fn changes(&self) -> &ChangeLog {
        &self.changes
    }

    /// Whether the state is that of the newest index. Against a member that answers with an old state, after a
    /// snapshot or an operation of another version of the program.
    pub fn is_readable(&self) -> bool {
        self.unreadable_since.is_none()
    }

    /// Applies the operation committed at `index`; none if it could not be read.
    pub fn commit(&mut self, index: u64, payload: &[u8]) -> Option<Outcome> {
        let mut changes = Vec::new();
        let outcome = match postcard::from_bytes::<Operation>(payload) {
            Ok(operation) => Some(self.state.apply(&operation, &mut changes)),
            Err(error) => {
                self.fall_behind(index, &format!("the operation can't be read: {error}"));
                None
            }
        };
        self.changes.push(index, changes);
        outcome
    }

    /// Takes the state of `index` in the place of this one; a readable one ends what was unreadable before.
    pub fn install(&mut self, index: u64, bytes: &[u8]) {
        match ControlState::restore(bytes) {
            Ok(state) => {
                self.state = state;
                self.unreadable_since = None;
            }
            Err(error) => self.fall_behind(index, &format!("the snapshot can't be read: {error}")),
        }
        self.changes.reset(index);
    }

    /// The state falls behind from this index on; logged once.
    fn fall_behind(&mut self, index: u64, reason: &str) {
        if self.unreadable_since.is_none() {
            log::error!(
                "control state at index {index}: {reason}; this member answers nothing from now on"
            );
            self.unreadable_since = Some(index);
        }
    }
}

#[cfg(test)]
#[path = "applied_state/tests.rs"]
mod tests;
