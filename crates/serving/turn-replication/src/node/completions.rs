//! Searches for missing ancestors of stored turns and deferred puts.

use super::membership::present_peers;
use super::purposes::RequestPurpose;
use super::state::StoreNode;
use crate::commit_queue::CommitRequester;
use crate::membership::StoreEntry;
use crate::message::{Rejection, StoreReply, StoreRequest};
use crate::placement;

impl StoreNode {
    /// The first turn that is neither stored nor in the commit queue, going from `previous` towards the start of its
    /// chain.
    pub(super) fn first_missing(&self, previous: Option<&str>) -> Option<String> {
        let mut missing = self.index.first_missing(previous?)?;
        // The loop is bounded by the commit queue: each iteration passes one queued turn.
        while let Some(previous) = self.commits.previous_of(&missing) {
            missing = self.index.first_missing(previous?)?;
        }
        Some(missing)
    }

    /// The other present stores, the program's replicas first.
    pub(super) fn likely_sources(&self, program: &str) -> Vec<String> {
        let peers: Vec<&StoreEntry> = present_peers(&self.stores, &self.settings.name).collect();
        let ranked = placement::by_preference(program, &peers).into_iter();
        ranked.map(|store| store.name.clone()).collect()
    }

    pub(super) fn ancestor_search_replied(
        &mut self,
        id: String,
        reply: Option<StoreReply>,
        now_ms: u64,
    ) {
        match reply {
            Some(StoreReply::Fetched { turns })
                if turns.iter().any(|retained| retained.turn.id == id) =>
            {
                self.completions.found(&id);
                self.commit(turns, CommitRequester::AncestorSearch { id }, now_ms);
            }
            _ => self.completions.not_found(&id),
        }
    }

    /// Starts searches for missing ancestors, and rejects puts whose missing ancestors no store has.
    pub(super) fn complete_chains(&mut self, now_ms: u64) {
        // A pull fetches turns by id, often before their ancestors, so ancestors are not
        // searched for while a pull may still bring them.
        if self.index.has_dangling() && !self.anti_entropy.is_pulling() {
            self.search_dangling(now_ms);
        }
        while let Some(search) = self.completions.next_request() {
            let request = StoreRequest::Fetch {
                ids: vec![search.id.clone()],
                with_ancestors: true,
            };
            let purpose = RequestPurpose::AncestorSearch { id: search.id };
            self.send(search.store, purpose, request, now_ms);
        }
        while let Some(deferred) = self.completions.next_exhausted(now_ms) {
            for put in deferred {
                self.reply(put.caller, StoreReply::Rejected(Rejection::Incomplete));
            }
        }
    }

    fn search_dangling(&mut self, now_ms: u64) {
        let sources = self.peer_names();
        if sources.is_empty() {
            return;
        }
        for id in self.index.dangling() {
            self.completions.search(id, &sources, now_ms);
        }
    }
}
