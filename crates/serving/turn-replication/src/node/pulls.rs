//! Anti-entropy with the other stores: pulls the turns that this store should hold.

use super::purposes::RequestPurpose;
use super::state::StoreNode;
use crate::anti_entropy::PullRequest;
use crate::commit_queue::CommitRequester;
use crate::membership::StoreEntry;
use crate::message::{StoreReply, StoreRequest};

use super::membership::present_peers;

impl StoreNode {
    /// Adds stores that have become present to the pass, and removes stores that have become absent. `before` is the
    /// previous membership.
    pub(super) fn update_pulled_stores(&mut self, before: &[StoreEntry], now_ms: u64) {
        for peer in present_peers(before, &self.settings.name) {
            if !self.is_present(&peer.name) {
                self.anti_entropy.remove(&peer.name);
            }
        }
        let was_present = |name: &str| {
            let mut before = before.iter();
            before.any(|old| old.name == name && old.present)
        };
        let returned: Vec<String> = self
            .peer_names()
            .into_iter()
            .filter(|name| !was_present(name))
            .collect();
        for peer in returned {
            self.anti_entropy.add(&peer, now_ms);
        }
    }

    /// Begins a pass over all other present stores.
    pub(super) fn pull_from_all(&mut self, now_ms: u64) {
        let peers = self.peer_names();
        self.anti_entropy.begin(peers, now_ms);
    }

    pub(super) fn pull_replied(
        &mut self,
        serial: u64,
        store: &str,
        reply: Option<StoreReply>,
        now_ms: u64,
    ) {
        match reply {
            Some(StoreReply::Listed { turns, next }) => {
                self.known_to.insert(store.to_owned());
                self.anti_entropy.listed(serial, turns, next);
            }
            Some(StoreReply::Fetched { turns }) => {
                let turns = self.anti_entropy.fetched(serial, turns);
                if !turns.is_empty() {
                    self.commit(turns, CommitRequester::Pull { serial }, now_ms);
                }
            }
            _ => self.anti_entropy.failed(serial, now_ms),
        }
    }

    pub(super) fn continue_pull(&mut self, now_ms: u64) {
        while let Some((serial, request)) = self.anti_entropy.next_request(&self.index, now_ms) {
            let (peer, request) = match request {
                PullRequest::List { peer, after } => (peer, self.listing_request(after)),
                PullRequest::Fetch { peer, ids } => {
                    let with_ancestors = false;
                    let request = StoreRequest::Fetch {
                        ids,
                        with_ancestors,
                    };
                    (peer, request)
                }
            };
            self.send(peer, RequestPurpose::Pull { serial }, request, now_ms);
        }
    }

    fn listing_request(&self, after: Option<String>) -> StoreRequest {
        StoreRequest::List {
            replica: self.settings.name.clone(),
            candidates: self.candidates.clone(),
            replication_factor: self.settings.replication_factor,
            after,
        }
    }
}
