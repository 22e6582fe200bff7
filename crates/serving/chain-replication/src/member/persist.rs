//! Persist: writes go to the disk in batches, and their completions run once a batch is on disk.

use super::{Member, Output};
use crate::safeguards::Safeguard;
use crate::timing::DISK_STALL_TIMEOUT;
use crate::write_queue::Completion;

impl Member {
    /// At the end of each step: runs the completions that wait for no write, and emits the next batch.
    pub(super) fn persist(&mut self) {
        loop {
            let completions = if self.safeguards.has(Safeguard::PersistBeforeSend) {
                self.write_queue.take_ready()
            } else {
                self.write_queue.take_unpersisted()
            };
            if completions.is_empty() {
                break;
            }
            self.run_completions(completions);
        }
        if let Some(batch) = self.write_queue.next_batch(self.now) {
            self.outputs.push(Output::Persist {
                batch: batch.number,
                writes: batch.writes,
            });
        }
    }

    pub(super) fn on_batch_persisted(&mut self, batch: u64) {
        let completions = self.write_queue.complete_batch(batch);
        self.run_completions(completions);
    }

    fn run_completions(&mut self, completions: Vec<Completion>) {
        for completion in completions {
            match completion {
                Completion::SendVote { to, message } => self.send(&to, *message),
                Completion::AnnounceFirstView => self.announce_first_view(),
                Completion::LogPersisted { index } => self.on_log_persisted(index),
                Completion::SyncedViewPersisted { view } => self.on_synced_view_persisted(view),
            }
        }
    }

    /// Whether a batch has been in flight for [`DISK_STALL_TIMEOUT`].
    pub(super) fn is_disk_stalled(&self) -> bool {
        self.write_queue.in_flight_for(self.now) >= DISK_STALL_TIMEOUT
    }
}
