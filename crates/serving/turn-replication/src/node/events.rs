//! The inputs of a store node, and the time at which it has to be called again.

use super::interface::{DiskOutcome, DiskWork};
use super::membership::placement_differs;
use super::phases::BootstrapPhase;
use super::purposes::{JobPurpose, RequestPurpose};
use super::state::StoreNode;
use crate::ids::{CallerId, JobId, PeerRequestId};
use crate::membership::StoreEntry;
use crate::message::{StoreReply, StoreRequest, PAGE_BYTES};

impl StoreNode {
    /// The core has published another membership.
    pub fn membership_changed(&mut self, stores: Vec<StoreEntry>, now_ms: u64) {
        let before = std::mem::replace(&mut self.stores, stores);
        self.record_absences(now_ms);
        self.record_registration();
        self.forget_listed_stores();
        let placement_changed =
            self.update_candidates(now_ms) || placement_differs(&before, &self.stores);
        self.update_lifecycle(now_ms);
        if placement_changed {
            self.pull_from_all(now_ms);
            self.restart_drain(now_ms);
        } else {
            self.update_pulled_stores(&before, now_ms);
        }
        self.advance(now_ms);
    }

    /// A gateway or another store sent a request.
    pub fn request(&mut self, caller: CallerId, request: StoreRequest, now_ms: u64) {
        match request {
            StoreRequest::Put { turn, hint } => self.put(caller, turn, hint, now_ms),
            StoreRequest::Chain { id } => self.read_chain(caller, &id, now_ms),
            StoreRequest::List {
                replica,
                candidates,
                replication_factor,
                after,
            } => {
                self.record_unlisted_store(&replica);
                let page = self.index.page_for_replica(
                    &replica,
                    &candidates,
                    replication_factor,
                    after.as_deref(),
                    now_ms,
                );
                let (turns, next) = (page.turns, page.next);
                self.reply(caller, StoreReply::Listed { turns, next });
            }
            StoreRequest::Fetch {
                ids,
                with_ancestors,
            } => {
                let max_bytes_each = if with_ancestors { PAGE_BYTES } else { 0 };
                self.fetch(caller, &ids, max_bytes_each, now_ms);
            }
            StoreRequest::Offer { mut ids } => {
                ids.retain(|id| !self.index.contains(id));
                self.reply(caller, StoreReply::Missing { ids });
            }
            StoreRequest::Handoff { turns } => self.accept_handoff(caller, turns, now_ms),
        }
        self.advance(now_ms);
    }

    /// Another store replied, or could not be reached (`None`).
    pub fn peer_replied(
        &mut self,
        request_id: PeerRequestId,
        reply: Option<StoreReply>,
        now_ms: u64,
    ) {
        let Some(pending) = self.requests.remove(&request_id) else {
            return;
        };
        match pending.purpose {
            RequestPurpose::Pull { serial } => {
                self.pull_replied(serial, &pending.store, reply, now_ms);
            }
            RequestPurpose::AncestorSearch { id } => {
                self.ancestor_search_replied(id, reply, now_ms)
            }
            RequestPurpose::Handoff { serial } => self.handoff_replied(serial, reply, now_ms),
        }
        self.advance(now_ms);
    }

    /// A disk job has ended.
    pub fn disk_done(&mut self, job: JobId, outcome: DiskOutcome, now_ms: u64) {
        let Some(purpose) = self.jobs.remove(&job) else {
            return;
        };
        match purpose {
            JobPurpose::Commit => self.commit_done(&outcome, now_ms),
            JobPurpose::Chain {
                caller,
                bytes,
                missing,
                has_more,
            } => {
                self.read_bytes_in_flight -= bytes;
                self.reply_with_chain(caller, missing, has_more, outcome);
            }
            JobPurpose::Fetch { caller, bytes } => {
                self.read_bytes_in_flight -= bytes;
                self.reply_with_fetched(caller, outcome, now_ms);
            }
            JobPurpose::Handoff { serial } => self.send_handoff(serial, outcome, now_ms),
            JobPurpose::Removal => {}
            JobPurpose::MarkComplete => self.completeness_marked(&outcome, now_ms),
        }
        self.advance(now_ms);
    }

    /// Applies timeouts and other work that is due at `now_ms`.
    pub fn tick(&mut self, now_ms: u64) {
        self.time_out_requests(now_ms);
        self.sweep_expired(now_ms);
        if self.update_candidates(now_ms) {
            self.pull_from_all(now_ms);
            self.restart_drain(now_ms);
        }
        self.advance(now_ms);
    }

    /// When [`Self::tick`] has to be called, in milliseconds of the steady clock.
    #[must_use]
    pub fn next_due(&self) -> u64 {
        let awaits_grace = self.bootstrap == BootstrapPhase::Backfilling && self.has_caught_up();
        let is_candidate = |name: &str| {
            let mut candidates = self.candidates.iter();
            candidates.any(|candidate| candidate.name == name)
        };
        let absences = self.absent_since_ms.iter();
        let absences = absences.filter(|(name, _)| is_candidate(name));
        let absent_repair_ms = self.settings.absent_repair_ms;
        self.requests
            .values()
            .map(|pending| pending.deadline_ms)
            .chain(awaits_grace.then_some(self.grace_ends_at_ms))
            .chain(absences.map(|(_, since_ms)| since_ms.saturating_add(absent_repair_ms)))
            .chain(self.anti_entropy.next_due())
            .chain(self.handoffs.next_due(|name| self.is_present(name)))
            .chain([self.next_sweep_at_ms])
            .min()
            .unwrap_or(self.next_sweep_at_ms)
    }

    fn time_out_requests(&mut self, now_ms: u64) {
        let timed_out: Vec<PeerRequestId> = self
            .requests
            .iter()
            .filter(|(_, pending)| pending.deadline_ms <= now_ms)
            .map(|(request_id, _)| *request_id)
            .collect();
        for request_id in timed_out {
            self.peer_replied(request_id, None, now_ms);
        }
    }

    /// Starts all requests and disk jobs that can start now, and advances the life cycles.
    fn advance(&mut self, now_ms: u64) {
        self.complete_chains(now_ms);
        self.continue_pull(now_ms);
        self.continue_handoff(now_ms);
        if let Some(turns) = self.commits.begin_commit() {
            self.submit_job(JobPurpose::Commit, DiskWork::Put(turns));
        }
        self.advance_bootstrap(now_ms);
        self.advance_drain(now_ms);
    }
}
