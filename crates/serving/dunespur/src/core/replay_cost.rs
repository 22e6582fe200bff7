//! Decides when the log takes too long to apply again after a start, whatever its size.
//!
//! A short operation may change a large configuration, which is then parsed and validated as a whole. The chain's own
//! compaction counts only the bytes of operations.

use dunespur_control_state::{Operation, Outcome};

/// Bytes of configurations that a member may have to parse again after a start, about a tenth of a second of work.
const MAX_PARSED_BYTES: usize = 4 << 20;

/// The work of applying the operations since the last compaction again.
#[derive(Default)]
pub struct ReplayCost {
    document_bytes: usize,
}

impl ReplayCost {
    /// Records an operation and its outcome; the current configuration has `document_bytes` bytes.
    pub fn record(&mut self, operation: &Operation, outcome: &Outcome, document_bytes: usize) {
        let is_parsed = matches!(operation, Operation::Configure(_))
            && matches!(outcome, Outcome::Accepted | Outcome::Invalid(_));
        if is_parsed {
            self.document_bytes += document_bytes;
        }
    }

    /// Whether the log is to be compacted now. Starts to count anew if so.
    pub fn take_compaction_due(&mut self) -> bool {
        let is_due = self.document_bytes >= MAX_PARSED_BYTES;
        if is_due {
            self.document_bytes = 0;
        }
        is_due
    }

    /// Starts to count anew, after a snapshot was installed.
    pub fn reset(&mut self) {
        self.document_bytes = 0;
    }
}

#[cfg(test)]
#[path = "replay_cost/tests.rs"]
mod tests;
