//! Replicate: entries travel down the chain. Each member syncs them to disk before it forwards them.

use super::stage::Neighbour;
use super::state::replication::Stage;
use super::Member;
use crate::durable::Write;
use crate::identity::MemberId;
use crate::limits::MAX_APPEND_BYTES;
use crate::log::{Entry, LogIndex, Position};
use crate::message::{AppendEntries, Message, ResumePoint};
use crate::timing::{Millis, ACKNOWLEDGEMENT_TIMEOUT, RESUME_MIN_GAP, RESUME_RETRY};
use crate::write_queue::Completion;

impl Member {
    // --- from the predecessor ---

    /// Requests the entries after the end of this member's log from the predecessor.
    pub(super) fn request_resume(&mut self) {
        let Some(predecessor) = self.predecessor() else {
            return;
        };
        self.upstream.resume_sent_at = Some(self.now);
        let resume = self.resume_point();
        self.send(&predecessor, Message::Resume(resume));
    }

    pub(super) fn resume_point(&self) -> ResumePoint {
        ResumePoint {
            view: self.view_number(),
            last: self.log.last(),
            commit_index: self.commit_index,
        }
    }

    pub(super) fn on_append(&mut self, from: &MemberId, append: AppendEntries) {
        if !self.accepts_chain_message(from, append.view, Neighbour::Predecessor) {
            return;
        }
        if !self.continues_log(append.previous) {
            let requested_recently = self
                .upstream
                .resume_sent_at
                .is_some_and(|at| self.now < at + RESUME_MIN_GAP);
            if !requested_recently {
                self.request_resume();
            }
            return;
        }
        let is_query = append.entries.is_empty();
        let end = append.end();
        let reaches_predecessor = end == append.last;
        for entry in append.entries {
            self.accept_entry(entry);
        }
        if self.stage == Stage::CatchingUp && (reaches_predecessor || !self.must_catch_up()) {
            self.truncate(end);
            self.caught_up();
        }
        if is_query && self.stage == Stage::Synced {
            self.send_committed();
        }
    }

    /// Whether entries that follow `previous` in another member's log can be added to this log without a gap or conflict.
    pub(super) fn continues_log(&self, previous: Position) -> bool {
        previous.index <= self.commit_index || self.log.matches(previous)
    }

    /// Adds an entry to the log. A conflicting entry and those after it are removed: they can't have been committed.
    pub(super) fn accept_entry(&mut self, entry: Entry) {
        let index = entry.index();
        if index <= self.commit_index || self.log.matches(entry.position) {
            return;
        }
        self.truncate(index - 1);
        self.append(entry);
    }

    pub(super) fn append(&mut self, entry: Entry) {
        let index = entry.index();
        self.write_queue.write(Write::Entry {
            entry: entry.clone(),
        });
        self.write_queue
            .when_persisted(Completion::LogPersisted { index });
        self.log.append(entry);
    }

    fn truncate(&mut self, index: LogIndex) {
        if self.log.last().index <= index {
            return;
        }
        self.log.truncate(index);
        self.persisted_index = self.persisted_index.min(index);
        self.write_queue.limit_persisted_index(index);
        self.write_queue.write(Write::Truncate { index });
    }

    /// Handles the completion of a batch: the log is on disk up to `index`.
    pub(super) fn on_log_persisted(&mut self, index: LogIndex) {
        self.persisted_index = self.persisted_index.max(index.min(self.log.last().index));
        match self.stage {
            Stage::Synced => self.forward_entries(),
            Stage::OutOfChain => self.commit_learned(),
            Stage::Sealed | Stage::CatchingUp | Stage::Syncing => {}
        }
    }

    // --- to the successor ---

    pub(super) fn begin_forwarding(&mut self) {
        self.downstream.sent_index = self.persisted_index;
        self.query_successor();
        self.forward_entries();
    }

    /// Forwards the entries that are on disk; the tail commits them.
    fn forward_entries(&mut self) {
        if self.is_tail() {
            return self.commit_and_acknowledge(self.persisted_index);
        }
        let Some(successor) = self.successor() else {
            return;
        };
        while self.downstream.sent_index < self.persisted_index
            && !self.snapshots.is_needed_by(&successor)
        {
            let Some(previous) = self.log.position(self.downstream.sent_index) else {
                return self.provide_snapshot_to(successor);
            };
            let entries =
                self.log
                    .entries_between(previous.index, self.persisted_index, MAX_APPEND_BYTES);
            self.downstream.sent_index += entries.len() as u64;
            self.send_append(&successor, previous, entries);
        }
    }

    /// Asks the successor, by an append without entries, whether it has the entries sent so far.
    fn query_successor(&mut self) {
        let Some(successor) = self.successor() else {
            return;
        };
        if let Some(previous) = self.log.position(self.downstream.sent_index) {
            self.send_append(&successor, previous, Vec::new());
        }
    }

    fn send_append(&mut self, successor: &MemberId, previous: Position, entries: Vec<Entry>) {
        self.downstream.active_at = self.now;
        let append = AppendEntries {
            view: self.view_number(),
            previous,
            entries,
            last: self.persisted_index,
        };
        self.send(successor, Message::Append(append));
    }

    pub(super) fn on_resume(&mut self, from: MemberId, resume: &ResumePoint) {
        if !self.accepts_chain_message(&from, resume.view, Neighbour::Successor)
            || !self.is_synced()
        {
            return;
        }
        self.downstream.acknowledged(self.now);
        let Some(common) = self.common_position(resume, self.persisted_index) else {
            return self.provide_snapshot_to(from);
        };
        self.snapshots.cancel_for(&from);
        self.downstream.sent_index = common.index;
        self.resume_forwarding();
    }

    /// The position after which another member can be sent entries: the end of its log if this log includes that position,
    /// or else its commit index. `None` if this log includes neither up to `max_index`.
    pub(super) fn common_position(
        &self,
        resume: &ResumePoint,
        max_index: LogIndex,
    ) -> Option<Position> {
        let candidates = [Some(resume.last), self.log.position(resume.commit_index)];
        let is_common =
            |position: &Position| self.log.matches(*position) && position.index <= max_index;
        candidates.into_iter().flatten().find(is_common)
    }

    /// Forwards entries again after `sent_index` was set.
    pub(super) fn resume_forwarding(&mut self) {
        if self.downstream.sent_index == self.persisted_index {
            self.query_successor();
        }
        self.forward_entries();
    }

    // --- time and connections ---

    pub(super) fn replication_reconnected(&mut self, peer: &MemberId) {
        if self.stage == Stage::Synced && self.successor().as_ref() == Some(peer) {
            self.query_successor();
        }
        if self.stage == Stage::CatchingUp && self.predecessor().as_ref() == Some(peer) {
            self.request_resume();
        }
    }

    pub(super) fn tick_replication(&mut self) {
        if self.next_query().is_some_and(|at| self.now >= at) {
            self.query_successor();
        }
        if self.next_resume_request().is_some_and(|at| self.now >= at) {
            self.request_resume();
        }
    }

    /// When to query the successor about entries that it hasn't acknowledged.
    fn next_query(&self) -> Option<Millis> {
        let is_unacknowledged =
            !self.downstream.is_established || self.commit_index < self.downstream.sent_index;
        let awaits_snapshot = self
            .successor()
            .is_none_or(|successor| self.snapshots.is_needed_by(&successor));
        let is_wanted = self.is_synced() && is_unacknowledged && !awaits_snapshot;
        is_wanted.then_some(self.downstream.active_at + ACKNOWLEDGEMENT_TIMEOUT)
    }

    fn next_resume_request(&self) -> Option<Millis> {
        let is_wanted = self.stage == Stage::CatchingUp && !self.is_head();
        is_wanted.then(|| {
            self.upstream
                .resume_sent_at
                .map_or(0, |at| at + RESUME_RETRY)
        })
    }

    pub(super) fn next_replication_tick(&self) -> Option<Millis> {
        [self.next_query(), self.next_resume_request()]
            .into_iter()
            .flatten()
            .min()
    }
}
