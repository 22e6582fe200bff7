//! Apply: committed entries are emitted to the caller, in order.

use super::{Member, Output};
use crate::log::{Entry, LogIndex};

impl Member {
    /// Emits the commits up to `index`.
    pub(super) fn apply(&mut self, index: LogIndex) {
        while self.commit_index < index {
            let Some(entry) = self.log.get(self.commit_index + 1) else {
                break;
            };
            self.snapshots.committed_bytes += entry.size_bytes();
            let Entry {
                position,
                origin,
                payload,
            } = entry.clone();
            self.commit_index = position.index;
            let ticket = self.complete_submission(origin);
            self.outputs.push(Output::Apply {
                index: position.index,
                payload: payload.to_vec(),
                ticket,
            });
        }
    }
}
