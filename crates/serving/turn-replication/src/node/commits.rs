//! Writes turns to disk, and deletes expired turns from it.

use super::interface::{DiskOutcome, DiskWork};
use super::purposes::JobPurpose;
use super::state::{StoreNode, EXPIRY_SWEEP_MS};
use crate::commit_queue::{CommitEntry, CommitRequester};
use crate::message::{Rejection, StoreReply};
use crate::safeguards::Safeguard;
use crate::turn::RetainedTurn;

/// Maximum number of turns that one disk job deletes.
const MAX_REMOVALS_PER_JOB: usize = 256;

impl StoreNode {
    /// Queues turns for the next commit; if the queue is full, the requester is informed of the failure.
    pub(super) fn commit(
        &mut self,
        turns: Vec<RetainedTurn>,
        requester: CommitRequester,
        now_ms: u64,
    ) {
        if let Err(rejection) = self.commits.push(turns, requester.clone()) {
            self.commit_failed(requester, rejection, now_ms);
        }
    }

    pub(super) fn commit_done(&mut self, outcome: &DiskOutcome, now_ms: u64) {
        for entry in self.commits.finish_commit() {
            if *outcome == DiskOutcome::Failed {
                self.commit_failed(entry.requester, Rejection::Disk, now_ms);
            } else {
                self.committed(entry, now_ms);
            }
        }
    }

    fn committed(&mut self, entry: CommitEntry, now_ms: u64) {
        for turn in &entry.turns {
            let expires_at_ms = now_ms.saturating_add(turn.remaining_ms);
            self.index.insert(&turn.header, expires_at_ms);
            self.require_handoff(&turn.header, now_ms);
            for put in self.completions.stored(&turn.header.id) {
                self.commit_or_defer(put, now_ms);
            }
        }
        // Only a put can be on behalf of a replica, and a put has a single turn.
        let first_id = entry.turns.first().map(|turn| turn.header.id.as_str());
        match entry.requester {
            CommitRequester::Caller {
                caller,
                substitute_for,
            } => {
                if let (Some(replica), Some(id)) = (substitute_for, first_id) {
                    self.add_hint(&replica, id, now_ms);
                }
                self.reply(caller, StoreReply::Stored);
            }
            CommitRequester::Pull { serial } => self.anti_entropy.committed(serial),
            // The calls of `completions.stored` above have ended the search.
            CommitRequester::AncestorSearch { .. } => {}
        }
    }

    fn add_hint(&mut self, replica: &str, id: &str, now_ms: u64) {
        if self.safeguards.has(Safeguard::HintedHandoff) {
            // If the hint table is full, the replica has to pull the turn itself (anti-entropy).
            let _ = self.handoffs.add_hint(replica, id, now_ms);
        }
    }

    fn commit_failed(&mut self, requester: CommitRequester, rejection: Rejection, now_ms: u64) {
        match requester {
            CommitRequester::Caller { caller, .. } => {
                self.reply(caller, StoreReply::Rejected(rejection))
            }
            CommitRequester::Pull { serial } => self.anti_entropy.failed(serial, now_ms),
            CommitRequester::AncestorSearch { id } => self.completions.write_failed(&id),
        }
    }

    /// Removes expired turns from the index and the hints, and submits jobs that delete them from disk. Does nothing if the
    /// last sweep was less than [`EXPIRY_SWEEP_MS`] ago.
    pub(super) fn sweep_expired(&mut self, now_ms: u64) {
        if now_ms < self.next_sweep_at_ms {
            return;
        }
        self.next_sweep_at_ms = now_ms.saturating_add(EXPIRY_SWEEP_MS);
        let expired = self.index.remove_expired(now_ms);
        self.handoffs.remove_expired(&self.index);
        for ids in expired.chunks(MAX_REMOVALS_PER_JOB) {
            self.submit_job(JobPurpose::Removal, DiskWork::Remove(ids.to_vec()));
        }
    }
}
