//! Requests of gateways and other stores.

use super::{
    CallerId, DiskOutcome, DiskWork, Effect, JobPurpose, StoreNode, Wholeness, READING_BOUND_BYTES,
};
use crate::commit::Waiter;
use crate::complete::ParkedPut;
use crate::index::READ_HOLD_MS;
use crate::message::{Refusal, StoreReply, CHAIN_PAGE_BYTES, PAGE_BYTES};
use crate::turn::{HeldTurn, Turn};

impl StoreNode {
    pub(super) fn reply(&mut self, caller: CallerId, reply: StoreReply) {
        self.effects.push_back(Effect::Reply { caller, reply });
    }

    pub(super) fn put(&mut self, caller: CallerId, turn: Turn, hint: Option<String>, now_ms: u64) {
        let header = turn.header();
        let term = header.full_term_ms();
        let known = self.index.agrees_with(&header);
        if known && self.first_missing(Some(&header.id)).is_none() {
            self.index.extend(&header.id, now_ms.saturating_add(term));
            return self.reply(caller, StoreReply::Kept);
        }
        if let Some(refusal) = self
            .refusal(&turn)
            .filter(|refusal| !known || *refusal != Refusal::Conflict)
        {
            return self.reply(caller, StoreReply::Refused(refusal));
        }
        let put = ParkedPut {
            caller,
            turn: HeldTurn {
                turn,
                remaining_ms: term,
            },
            hint,
        };
        self.go_on_with(put, now_ms);
    }

    /// Why a turn is not taken, if so.
    pub(super) fn refusal(&self, turn: &Turn) -> Option<Refusal> {
        let used = self.index.bytes() + self.commits.bytes() + self.completions.bytes();
        if !self.takes_turns() {
            Some(Refusal::Retiring)
        } else if self.wholeness == Wholeness::Joining || !self.registered {
            Some(Refusal::Joining)
        } else if self.index.contains(&turn.id) {
            Some(Refusal::Conflict)
        } else if used + turn.size() > self.settings.capacity_bytes
            || self.index.len() >= self.settings.capacity_turns
        {
            Some(Refusal::Full)
        } else {
            None
        }
    }

    /// Commits a put, or lets it wait for the part of its chain that is not here.
    pub(super) fn go_on_with(&mut self, put: ParkedPut, now_ms: u64) {
        let Some(missing) = self.first_missing(put.turn.turn.previous.as_deref()) else {
            return self.commit_put(put, now_ms);
        };
        let sources = self.likely_holders(&put.turn.turn.program);
        if let Err(caller) = self.completions.park(&missing, sources, put) {
            self.reply(caller, StoreReply::Refused(Refusal::Busy));
        }
    }

    pub(super) fn commit_put(&mut self, put: ParkedPut, now_ms: u64) {
        let waiter = Waiter::Caller {
            caller: put.caller,
            hint: put.hint,
        };
        self.commit(vec![put.turn], waiter, now_ms);
    }

    pub(super) fn chain(&mut self, caller: CallerId, id: &str, now_ms: u64) {
        let Some(chain) = self.index.chain(id, CHAIN_PAGE_BYTES, now_ms) else {
            let reply = StoreReply::Unknown {
                whole: self.is_whole(),
                knows: self.known_stores(),
            };
            return self.reply(caller, reply);
        };
        self.index.extend(id, now_ms.saturating_add(READ_HOLD_MS));
        let ids: Vec<String> = chain.ids.iter().rev().map(|id| id.to_string()).collect();
        let Some(bytes) = self.room_to_read(&ids) else {
            return self.reply(caller, StoreReply::Refused(Refusal::Busy));
        };
        let missing = chain.missing.map(|id| id.to_string());
        self.work(
            JobPurpose::Chain {
                caller,
                bytes,
                missing,
                more: chain.more,
            },
            DiskWork::Get(ids),
        );
    }

    /// What these turns take, if as much may be read now.
    pub(super) fn room_to_read(&mut self, ids: &[String]) -> Option<u64> {
        let bytes: u64 = ids.iter().filter_map(|id| self.index.size(id)).sum();
        if self.reading_bytes > 0 && self.reading_bytes + bytes > READING_BOUND_BYTES {
            return None;
        }
        self.reading_bytes += bytes;
        Some(bytes)
    }

    pub(super) fn chain_read(
        &mut self,
        caller: CallerId,
        missing: Option<String>,
        more: bool,
        outcome: DiskOutcome,
    ) {
        let reply = match outcome {
            DiskOutcome::Turns(turns) if !turns.is_empty() => StoreReply::Found {
                turns,
                missing,
                more,
            },
            _ => StoreReply::Refused(Refusal::Disk),
        };
        self.reply(caller, reply);
    }

    pub(super) fn fetch(
        &mut self,
        caller: CallerId,
        ids: &[String],
        with_ancestors: bool,
        now_ms: u64,
    ) {
        let mut wanted: Vec<String> = Vec::new();
        let mut bytes = 0;
        for id in ids {
            let held = if with_ancestors {
                self.index
                    .chain(id, PAGE_BYTES, now_ms)
                    .map(|chain| chain.ids)
                    .unwrap_or_default()
            } else {
                self.index
                    .chain(id, 0, now_ms)
                    .map(|chain| chain.ids)
                    .unwrap_or_default()
            };
            for id in held {
                let size = self.index.size(&id).unwrap_or(0);
                if !wanted.is_empty() && bytes + size > PAGE_BYTES {
                    break;
                }
                bytes += size;
                wanted.push(id.to_string());
            }
        }
        if wanted.is_empty() {
            return self.reply(caller, StoreReply::Fetched { turns: Vec::new() });
        }
        let Some(bytes) = self.room_to_read(&wanted) else {
            return self.reply(caller, StoreReply::Refused(Refusal::Busy));
        };
        self.work(JobPurpose::Fetch { caller, bytes }, DiskWork::Get(wanted));
    }

    pub(super) fn fetch_read(&mut self, caller: CallerId, outcome: DiskOutcome, now_ms: u64) {
        let reply = match outcome {
            DiskOutcome::Turns(turns) => StoreReply::Fetched {
                turns: self.with_time_left(turns, now_ms),
            },
            _ => StoreReply::Refused(Refusal::Disk),
        };
        self.reply(caller, reply);
    }

    pub(super) fn with_time_left(&self, turns: Vec<Turn>, now_ms: u64) -> Vec<HeldTurn> {
        let held = turns.into_iter().filter_map(|turn| {
            let remaining_ms = self.index.remaining_ms(&turn.id, now_ms)?;
            Some(HeldTurn { turn, remaining_ms })
        });
        held.collect()
    }

    /// Another store hands turns over.
    pub(super) fn take_over(&mut self, caller: CallerId, turns: Vec<HeldTurn>, now_ms: u64) {
        let refusal = turns
            .iter()
            .find_map(|held| match self.refusal(&held.turn) {
                Some(Refusal::Conflict) | None => None,
                refusal => refusal,
            });
        if let Some(refusal) = refusal {
            return self.reply(caller, StoreReply::Refused(refusal));
        }
        self.commit(turns, Waiter::Caller { caller, hint: None }, now_ms);
    }
}
