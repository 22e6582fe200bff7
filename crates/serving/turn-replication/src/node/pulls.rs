//! What is fetched from other stores: what this one should hold, and ancestors of what it holds.

use super::{peers, AskPurpose, StoreNode};
use crate::commit::Waiter;
use crate::message::{Refusal, StoreReply, StoreRequest};
use crate::placement;
use crate::repair::PullAsk;
use crate::roster::Store;

impl StoreNode {
    /// Pulls from the stores that have come back, and no more from those that have gone.
    pub(super) fn pull_from_returned(&mut self, before: &[Store], now_ms: u64) {
        for peer in peers(before, &self.settings.name) {
            if !self.is_present(&peer.name) {
                self.repair.remove(&peer.name);
            }
        }
        let came: Vec<String> = peers(&self.stores, &self.settings.name)
            .filter(|peer| {
                !before
                    .iter()
                    .any(|old| old.name == peer.name && old.present)
            })
            .map(|peer| peer.name.clone())
            .collect();
        for peer in came {
            self.repair.add(&peer, now_ms);
        }
    }

    pub(super) fn pull_from_all(&mut self, now_ms: u64) {
        let peers: Vec<String> = peers(&self.stores, &self.settings.name)
            .map(|peer| peer.name.clone())
            .collect();
        self.repair.begin(peers, now_ms);
    }

    /// The first turn on the way to the start of the chain that is neither held nor on its way to the disk.
    pub(super) fn first_missing(&self, previous: Option<&str>) -> Option<String> {
        let mut missing = self.index.first_missing(previous?)?;
        // Bounded by the commits waiting; each step is one of them.
        while let Some(previous) = self.commits.previous_of(&missing) {
            missing = self.index.first_missing(previous?)?;
        }
        Some(missing)
    }

    /// The other present stores, the program's homes first.
    pub(super) fn likely_holders(&self, program: &str) -> Vec<String> {
        let peers: Vec<&Store> = peers(&self.stores, &self.settings.name).collect();
        placement::order_of(program, &peers)
            .into_iter()
            .map(|store| store.name.clone())
            .collect()
    }

    pub(super) fn pull_answered(&mut self, store: &str, reply: Option<StoreReply>, now_ms: u64) {
        match reply {
            Some(StoreReply::Listed { turns, next }) => {
                self.introduced_to.insert(store.to_owned());
                self.repair.listed(turns, next);
            }
            Some(StoreReply::Fetched { turns }) => {
                let turns = self.repair.fetched(turns);
                if !turns.is_empty() {
                    self.commit(
                        turns,
                        Waiter::Pull {
                            pass: self.repair.pass(),
                        },
                        now_ms,
                    );
                }
            }
            _ => self.repair.failed(now_ms),
        }
    }

    pub(super) fn want_answered(&mut self, id: String, reply: Option<StoreReply>, now_ms: u64) {
        match reply {
            Some(StoreReply::Fetched { turns }) if turns.iter().any(|held| held.turn.id == id) => {
                self.completions.found(&id);
                self.commit(turns, Waiter::Completion { id }, now_ms);
            }
            _ => self.completions.not_there(&id),
        }
    }

    pub(super) fn complete_chains(&mut self, now_ms: u64) {
        // A pull brings turns by id, often before their ancestors: those it may still bring are not looked for.
        if self.index.has_dangling() && !self.repair.is_pulling() {
            self.want_dangling(now_ms);
        }
        while let Some(ask) = self.completions.next_ask() {
            let request = StoreRequest::Fetch {
                ids: vec![ask.id.clone()],
                with_ancestors: true,
            };
            self.ask(ask.store, AskPurpose::Want { id: ask.id }, request, now_ms);
        }
        while let Some(parked) = self.completions.next_given_up(now_ms) {
            for put in parked {
                self.reply(put.caller, StoreReply::Refused(Refusal::Incomplete));
            }
        }
    }

    pub(super) fn want_dangling(&mut self, now_ms: u64) {
        let sources: Vec<String> = peers(&self.stores, &self.settings.name)
            .map(|peer| peer.name.clone())
            .collect();
        if sources.is_empty() {
            return;
        }
        for id in self.index.dangling() {
            self.completions.want(id, &sources, now_ms);
        }
    }

    pub(super) fn pull(&mut self, now_ms: u64) {
        while let Some(ask) = self.repair.next_ask(&self.index, now_ms) {
            let purpose = AskPurpose::Pull {
                pass: self.repair.pass(),
            };
            match ask {
                PullAsk::List { peer, after } => {
                    let request = StoreRequest::List {
                        home: self.settings.name.clone(),
                        candidates: self.candidates.clone(),
                        copies: self.settings.copies,
                        after,
                    };
                    self.ask(peer, purpose, request, now_ms);
                }
                PullAsk::Fetch { peer, ids } => {
                    let request = StoreRequest::Fetch {
                        ids,
                        with_ancestors: false,
                    };
                    self.ask(peer, purpose, request, now_ms);
                }
            }
        }
    }
}
