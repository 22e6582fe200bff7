//! Compaction: a snapshot of the caller's state replaces the entries that it includes.

use super::{Member, Output};
use crate::durable::{Snapshot, Write};
use crate::limits::{RETAINED_LOG_BYTES, RETAINED_LOG_BYTES_DURING_TRANSFER};
use crate::log::LogIndex;
use crate::payload::Payload;

impl Member {
    pub(super) fn compact_if_due(&mut self) {
        if self.snapshots.is_compaction_due() {
            self.compact();
        }
    }

    /// Asks the caller to take a snapshot that replaces the log, unless it is to take one already.
    pub(super) fn compact(&mut self) {
        if !self.snapshots.wanted_for_compaction {
            self.snapshots.wanted_for_compaction = true;
            self.request_snapshot();
        }
    }

    /// Asks the caller to take a snapshot.
    pub(super) fn request_snapshot(&mut self) {
        self.snapshots.requested_at = Some(self.now);
        self.outputs.push(Output::TakeSnapshot);
    }

    pub(super) fn on_snapshot_taken(&mut self, index: LogIndex, bytes: Vec<u8>) {
        let position = self
            .log
            .position(index)
            .filter(|_| index <= self.commit_index);
        let Some(position) = position else { return };
        self.snapshots.requested_at = None;
        let snapshot = Snapshot {
            position,
            bytes: Payload::from(bytes),
        };
        self.begin_transfers(&snapshot);
        let wanted_for_compaction = std::mem::take(&mut self.snapshots.wanted_for_compaction);
        if wanted_for_compaction && index > self.snapshots.on_disk_index {
            self.snapshots.on_disk_index = index;
            self.snapshots.on_disk_bytes = snapshot.bytes.len();
            self.snapshots.committed_bytes = self.log.bytes_between(index, self.commit_index);
            self.write_queue.write(Write::Snapshot { snapshot });
            self.compact_log();
        }
    }

    /// Removes from memory entries that the snapshot includes. The newest of these entries are retained for members that
    /// were down briefly. While a snapshot is in transfer, more are retained, because its receiver continues with the
    /// entries after it.
    fn compact_log(&mut self) {
        let on_disk = self.snapshots.on_disk_index;
        let outgoing = self.snapshots.outgoing.iter();
        let needed_after = outgoing.map(|outgoing| outgoing.position().index).min();
        while self.log.start().index < on_disk {
            let is_needed = needed_after.is_some_and(|index| index <= self.log.start().index);
            let retained_bytes = if is_needed {
                RETAINED_LOG_BYTES_DURING_TRANSFER
            } else {
                RETAINED_LOG_BYTES
            };
            if self.log.size_bytes() <= retained_bytes {
                return;
            }
            self.log.compact(self.log.start().index + 1);
        }
    }
}
