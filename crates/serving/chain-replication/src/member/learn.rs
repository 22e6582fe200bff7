//! Learners: members out of the chain fetch the commits from the tail, so that they have little to catch up with when
//! they are readmitted.

use super::state::replication::Stage;
use super::Member;
use crate::identity::MemberId;
use crate::limits::MAX_APPEND_BYTES;
use crate::log::Position;
use crate::message::{AppendEntries, Message, ResumePoint};
use crate::timing::{Millis, LEARN_INTERVAL, LEARN_RETRY};

impl Member {
    // --- at the learner ---

    fn is_learner(&self) -> bool {
        self.stage == Stage::OutOfChain && !self.leaving && self.is_member()
    }

    /// Requests the committed entries after the end of this member's log from the tail.
    fn fetch_committed(&mut self) {
        let Some(tail) = self.view().and_then(|view| view.tail()).cloned() else {
            return;
        };
        self.learner.next_fetch_at = self.now + LEARN_RETRY;
        let resume = self.resume_point();
        self.send(&tail, Message::FetchCommitted(resume));
    }

    /// If this member is a learner, fetches at once instead of at the next interval.
    pub(super) fn fetch_committed_now(&mut self) {
        if self.is_learner() {
            self.fetch_committed();
        }
    }

    /// Handles the tail's reply: committed entries replace conflicting entries of this member's log.
    pub(super) fn on_committed_entries(&mut self, from: &MemberId, append: AppendEntries) {
        let from_tail = self
            .view()
            .is_some_and(|view| view.is_tail(from) && view.number == append.view);
        if !from_tail || !self.continues_log(append.previous) || !self.is_learner() {
            return;
        }
        let end = append.end();
        for entry in append.entries {
            self.accept_entry(entry);
        }
        self.learner.known_commit_index = end;
        self.commit_learned();
        self.learner.next_fetch_at = self.now + LEARN_INTERVAL;
        if end < append.last && !self.is_disk_stalled() {
            self.fetch_committed();
        }
    }

    /// Commits the entries that are known to be committed and are on this member's disk.
    pub(super) fn commit_learned(&mut self) {
        self.commit(self.learner.known_commit_index.min(self.persisted_index));
    }

    pub(super) fn tick_learner(&mut self) {
        if self.next_learner_tick().is_none_or(|at| self.now < at) {
            return;
        }
        if self.is_disk_stalled() {
            // Entries fetched now would pile up in memory until the disk completes a batch.
            self.learner.next_fetch_at = self.now + LEARN_RETRY;
        } else {
            self.fetch_committed();
        }
    }

    pub(super) fn next_learner_tick(&self) -> Option<Millis> {
        self.is_learner().then_some(self.learner.next_fetch_at)
    }

    // --- at the tail ---

    pub(super) fn on_fetch_committed(&mut self, from: MemberId, resume: &ResumePoint) {
        if resume.view != self.view_number() || !self.serves_learner(&from) {
            return;
        }
        let Some(previous) = self.common_position(resume, self.commit_index) else {
            return self.provide_snapshot_to(from);
        };
        self.snapshots.cancel_for(&from);
        self.send_committed_entries(&from, previous);
    }

    /// Whether this member is the synced tail, and `learner` is a member of the view but out of the chain.
    fn serves_learner(&self, learner: &MemberId) -> bool {
        let is_learner = self
            .view()
            .is_some_and(|view| view.has_member(learner) && !view.in_chain(learner));
        is_learner && self.is_tail() && self.is_synced()
    }

    /// Sends a learner the committed entries after a position.
    pub(super) fn send_committed_entries(&mut self, to: &MemberId, previous: Position) {
        if !self.serves_learner(to) {
            return;
        }
        let entries = self
            .log
            .entries_between(previous.index, self.commit_index, MAX_APPEND_BYTES);
        let append = AppendEntries {
            view: self.view_number(),
            previous,
            entries,
            last: self.commit_index,
        };
        self.send(to, Message::CommittedEntries(append));
    }
}
