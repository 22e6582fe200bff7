//! Handles requests of gateways and other stores.

use super::interface::{DiskOutcome, DiskWork};
use super::phases::BootstrapPhase;
use super::purposes::JobPurpose;
use super::state::StoreNode;
use crate::chain_completion::DeferredPut;
use crate::commit_queue::CommitRequester;
use crate::ids::CallerId;
use crate::index::READ_EXTENSION_MS;
use crate::message::{Rejection, StoreReply, CHAIN_PAGE_BYTES, PAGE_BYTES};
use crate::turn::{RetainedTurn, Turn};

/// Maximum bytes of turns that the disk reads at the same time, in case callers request turns faster than it reads.
const MAX_READ_BYTES_IN_FLIGHT: u64 = 16 << 20;

impl StoreNode {
    /// Stores a turn, or acknowledges it immediately if the turn and its chain are stored already.
    pub(super) fn put(
        &mut self,
        caller: CallerId,
        turn: Turn,
        substitute_for: Option<String>,
        now_ms: u64,
    ) {
        let header = turn.header();
        let remaining_ms = header.retention_with_margin_ms();
        let is_stored = self.index.contains_same_turn(&header);
        if is_stored && self.first_missing(Some(&header.id)).is_none() {
            let expires_at_ms = now_ms.saturating_add(remaining_ms);
            self.index.extend_retention(&header.id, expires_at_ms);
            return self.reply(caller, StoreReply::Stored);
        }
        let rejection = self.rejection_reason(&turn);
        let rejection =
            rejection.filter(|rejection| !is_stored || *rejection != Rejection::Conflict);
        if let Some(rejection) = rejection {
            return self.reply(caller, StoreReply::Rejected(rejection));
        }
        let turn = RetainedTurn { turn, remaining_ms };
        let put = DeferredPut {
            caller,
            turn,
            substitute_for,
        };
        self.commit_or_defer(put, now_ms);
    }

    /// The reason to reject a turn, if there is one.
    fn rejection_reason(&self, turn: &Turn) -> Option<Rejection> {
        let used_bytes = self.index.bytes() + self.commits.bytes() + self.completions.bytes();
        if !self.accepts_turns() {
            Some(Rejection::Retiring)
        } else if self.bootstrap == BootstrapPhase::Joining || !self.is_registered {
            Some(Rejection::Joining)
        } else if self.index.contains(&turn.id) {
            Some(Rejection::Conflict)
        } else if used_bytes + turn.size() > self.settings.capacity_bytes
            || self.index.len() >= self.settings.capacity_turns
        {
            Some(Rejection::Full)
        } else {
            None
        }
    }

    /// Commits a put, or defers it until the missing part of its chain is stored.
    pub(super) fn commit_or_defer(&mut self, put: DeferredPut, now_ms: u64) {
        let Some(missing) = self.first_missing(put.turn.turn.previous.as_deref()) else {
            return self.commit_put(put, now_ms);
        };
        let sources = self.likely_sources(&put.turn.turn.program);
        if let Err(rejected) = self.completions.defer(&missing, sources, put) {
            self.reply(rejected.caller, StoreReply::Rejected(Rejection::Busy));
        }
    }

    fn commit_put(&mut self, put: DeferredPut, now_ms: u64) {
        let requester = CommitRequester::Caller {
            caller: put.caller,
            substitute_for: put.substitute_for,
        };
        self.commit(vec![put.turn], requester, now_ms);
    }

    /// Reads the newest segment of the chain that ends in `id`, and extends the retention of the chain.
    pub(super) fn read_chain(&mut self, caller: CallerId, id: &str, now_ms: u64) {
        let Some(chain) = self.index.chain(id, CHAIN_PAGE_BYTES, now_ms) else {
            let reply = StoreReply::Unknown {
                complete: self.is_complete(),
                known_stores: self.known_stores(),
            };
            return self.reply(caller, reply);
        };
        let expires_at_ms = now_ms.saturating_add(READ_EXTENSION_MS);
        self.index.extend_retention(id, expires_at_ms);
        let ids: Vec<String> = chain.ids.iter().rev().map(|id| id.to_string()).collect();
        let Some(bytes) = self.reserve_read_bytes(&ids) else {
            return self.reply(caller, StoreReply::Rejected(Rejection::Busy));
        };
        let purpose = JobPurpose::Chain {
            caller,
            bytes,
            missing: chain.missing.map(|id| id.to_string()),
            has_more: chain.has_more,
        };
        self.submit_job(purpose, DiskWork::Get(ids));
    }

    /// Reserves the bytes that these turns take; `None` if the disk is already reading too much.
    fn reserve_read_bytes(&mut self, ids: &[String]) -> Option<u64> {
        let bytes: u64 = ids.iter().filter_map(|id| self.index.size(id)).sum();
        let in_flight = self.read_bytes_in_flight;
        if in_flight > 0 && in_flight + bytes > MAX_READ_BYTES_IN_FLIGHT {
            return None;
        }
        self.read_bytes_in_flight += bytes;
        Some(bytes)
    }

    /// Replies to a reader with the segment of a chain that was read from disk.
    pub(super) fn reply_with_chain(
        &mut self,
        caller: CallerId,
        missing: Option<String>,
        has_more: bool,
        outcome: DiskOutcome,
    ) {
        let reply = match outcome {
            DiskOutcome::Turns(turns) if !turns.is_empty() => StoreReply::Found {
                turns,
                missing,
                has_more,
            },
            _ => StoreReply::Rejected(Rejection::Disk),
        };
        self.reply(caller, reply);
    }

    /// Reads turns for another store, each with as many ancestors as `max_bytes_each` allows.
    pub(super) fn fetch(
        &mut self,
        caller: CallerId,
        ids: &[String],
        max_bytes_each: u64,
        now_ms: u64,
    ) {
        let wanted = self.page_of_chains(ids, max_bytes_each, now_ms);
        if wanted.is_empty() {
            return self.reply(caller, StoreReply::Fetched { turns: Vec::new() });
        }
        let Some(bytes) = self.reserve_read_bytes(&wanted) else {
            return self.reply(caller, StoreReply::Rejected(Rejection::Busy));
        };
        let purpose = JobPurpose::Fetch { caller, bytes };
        self.submit_job(purpose, DiskWork::Get(wanted));
    }

    /// Ids of the stored turns among these turns and their ancestors, as many as one message may carry.
    fn page_of_chains(&self, ids: &[String], max_bytes_each: u64, now_ms: u64) -> Vec<String> {
        let mut page: Vec<String> = Vec::new();
        let mut bytes = 0;
        for id in ids {
            let chain = self.index.chain(id, max_bytes_each, now_ms);
            for id in chain.map(|chain| chain.ids).unwrap_or_default() {
                let size = self.index.size(&id).unwrap_or(0);
                if !page.is_empty() && bytes + size > PAGE_BYTES {
                    break;
                }
                bytes += size;
                page.push(id.to_string());
            }
        }
        page
    }

    /// Replies to a fetching store with the turns that were read from disk.
    pub(super) fn reply_with_fetched(
        &mut self,
        caller: CallerId,
        outcome: DiskOutcome,
        now_ms: u64,
    ) {
        let reply = match outcome {
            DiskOutcome::Turns(turns) => StoreReply::Fetched {
                turns: self.with_remaining_retention(turns, now_ms),
            },
            _ => StoreReply::Rejected(Rejection::Disk),
        };
        self.reply(caller, reply);
    }

    /// Adds the remaining retention to turns, and drops the turns that are no longer in the index.
    pub(super) fn with_remaining_retention(
        &self,
        turns: Vec<Turn>,
        now_ms: u64,
    ) -> Vec<RetainedTurn> {
        let retained = turns.into_iter().filter_map(|turn| {
            let remaining_ms = self.index.remaining_ms(&turn.id, now_ms)?;
            Some(RetainedTurn { turn, remaining_ms })
        });
        retained.collect()
    }

    /// Accepts turns that another store hands over.
    pub(super) fn accept_handoff(
        &mut self,
        caller: CallerId,
        turns: Vec<RetainedTurn>,
        now_ms: u64,
    ) {
        let rejection =
            turns
                .iter()
                .find_map(|retained| match self.rejection_reason(&retained.turn) {
                    Some(Rejection::Conflict) | None => None,
                    rejection => rejection,
                });
        if let Some(rejection) = rejection {
            return self.reply(caller, StoreReply::Rejected(rejection));
        }
        self.commit(
            turns,
            CommitRequester::Caller {
                caller,
                substitute_for: None,
            },
            now_ms,
        );
    }
}
