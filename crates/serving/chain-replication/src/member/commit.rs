//! Commit: entries on the tail's disk are committed, and the commit index travels back up the chain.

use super::stage::Neighbour;
use super::Member;
use crate::identity::MemberId;
use crate::log::LogIndex;
use crate::message::Message;
use crate::view::ViewNumber;

impl Member {
    /// Handles the successor's acknowledgement: the tail has synced up to `index`.
    pub(super) fn on_committed(&mut self, from: &MemberId, view: ViewNumber, index: LogIndex) {
        if !self.accepts_chain_message(from, view, Neighbour::Successor) || !self.is_synced() {
            return;
        }
        self.downstream.acknowledged(self.now);
        self.commit_and_acknowledge(index.min(self.persisted_index));
    }

    /// Commits up to `index`, and acknowledges that to the predecessor if the commit index has advanced.
    pub(super) fn commit_and_acknowledge(&mut self, index: LogIndex) {
        if index > self.commit_index {
            self.commit(index);
            self.send_committed();
        }
    }

    pub(super) fn send_committed(&mut self) {
        let Some(predecessor) = self.predecessor() else {
            return;
        };
        let message = Message::Committed {
            view: self.view_number(),
            index: self.commit_index,
        };
        self.send(&predecessor, message);
    }

    /// Applies the commits up to `index`, and handles the reads and the compaction that depend on them.
    pub(super) fn commit(&mut self, index: LogIndex) {
        if index <= self.commit_index {
            return;
        }
        self.apply(index);
        self.notify_ready_reads();
        self.compact_if_due();
    }
}
