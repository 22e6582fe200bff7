//! Anti-entropy: asks the other stores for the turns that this store should hold, and pulls those that are missing. A
//! pass over all stores begins when this store starts, when the set of stores that turns are placed on changes, and
//! when another store has lost its disk; a store that returns is added to the pass.
//!
//! Several stores are asked at the same time, and each turn is fetched from one of them. The next pages are fetched
//! while earlier ones are written; how many pages are under way together is limited, and with them the memory.

mod claims;
mod pull;

use std::collections::BTreeMap;

use claims::Claims;
use pull::{Progress, Pull};

use crate::index::Index;
use crate::message::ListedTurn;
use crate::turn::RetainedTurn;

/// After this long a store that could not be asked is asked again, in milliseconds.
pub const PULL_RETRY_MS: u64 = 300;

/// Maximum number of stores that are asked at the same time.
const MAX_PULLS: usize = 3;
/// Maximum number of pages of turns that are being fetched or wait for the disk, of all pulls together.
const MAX_PAGES_UNDER_WAY: usize = 4;

/// Where the pass stands with one store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PeerState {
    Waiting { not_before_ms: u64 },
    Pulling,
    Done,
}

/// A request of a pull.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PullRequest {
    /// List the turns that this store should hold.
    List {
        /// The store to ask.
        peer: String,
        /// After which id the page begins.
        after: Option<String>,
    },
    /// Fetch turns.
    Fetch {
        /// The store to ask.
        peer: String,
        /// The turns.
        ids: Vec<String>,
    },
}

/// The pass over the other stores.
#[derive(Debug, Default)]
pub struct AntiEntropy {
    began_at_ms: u64,
    peers: BTreeMap<String, PeerState>,
    pulls: Vec<Pull>,
    claims: Claims,
    /// Increases with each pull; replies to earlier pulls are void.
    last_serial: u64,
}

impl AntiEntropy {
    /// Begins a pass over these stores; the current one ends.
    pub fn begin(&mut self, peers: impl IntoIterator<Item = String>, now_ms: u64) {
        self.began_at_ms = now_ms;
        self.pulls.clear();
        self.claims.clear();
        let waiting = PeerState::Waiting {
            not_before_ms: now_ms,
        };
        self.peers = peers.into_iter().map(|peer| (peer, waiting)).collect();
    }

    /// Adds a store that has returned.
    pub fn add(&mut self, peer: &str, now_ms: u64) {
        self.end_pull_of(peer);
        let waiting = PeerState::Waiting {
            not_before_ms: now_ms,
        };
        self.peers.insert(peer.to_owned(), waiting);
    }

    /// Removes a store that has left.
    pub fn remove(&mut self, peer: &str) {
        self.peers.remove(peer);
        self.end_pull_of(peer);
    }

    /// When the pass began, in milliseconds of the steady clock.
    #[must_use]
    pub fn began_at_ms(&self) -> u64 {
        self.began_at_ms
    }

    /// Whether every store of the pass has sent all that it had.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.peers.values().all(|state| *state == PeerState::Done)
    }

    /// Whether a request is in flight, or its turns are being written.
    #[must_use]
    pub fn is_pulling(&self) -> bool {
        !self.pulls.is_empty()
    }

    /// Turns that this store is known to lack; those on pages that were not listed yet are not among them.
    #[must_use]
    pub fn missing_turns(&self) -> usize {
        let listed: usize = self.pulls.iter().map(Pull::missing_turns).sum();
        listed + self.claims.len()
    }

    /// When [`Self::next_request`] may return a request that it does not return now, in milliseconds.
    #[must_use]
    pub fn next_due(&self) -> Option<u64> {
        if self.pulls.len() >= MAX_PULLS {
            return None;
        }
        let waits = self.peers.values().filter_map(|state| match state {
            PeerState::Waiting { not_before_ms } => Some(*not_before_ms),
            PeerState::Pulling | PeerState::Done => None,
        });
        waits.min()
    }

    /// The next request to be sent, and the serial number of its pull.
    pub fn next_request(&mut self, index: &Index, now_ms: u64) -> Option<(u64, PullRequest)> {
        loop {
            self.begin_pulls(now_ms);
            let mut has_ended = None;
            for number in 0..self.pulls.len() {
                let may_fetch = self.pages_under_way() < MAX_PAGES_UNDER_WAY;
                let pull = &mut self.pulls[number];
                match pull.advance(index, &mut self.claims, may_fetch) {
                    Progress::Send(request) => return Some((pull.serial, request)),
                    Progress::Waits => {}
                    Progress::Ended => has_ended = Some(number),
                }
            }
            let ended = self.pulls.remove(has_ended?);
            self.peers.insert(ended.peer, PeerState::Done);
        }
    }

    /// Asks as many stores as are due and may be asked at the same time.
    fn begin_pulls(&mut self, now_ms: u64) {
        for (peer, state) in &mut self.peers {
            if self.pulls.len() >= MAX_PULLS {
                return;
            }
            let is_due =
                matches!(state, PeerState::Waiting { not_before_ms } if *not_before_ms <= now_ms);
            if is_due {
                *state = PeerState::Pulling;
                self.last_serial += 1;
                self.pulls.push(Pull::new(self.last_serial, peer.clone()));
            }
        }
    }

    fn pages_under_way(&self) -> usize {
        self.pulls.iter().map(Pull::pages_under_way).sum()
    }

    /// A page of the listing arrived.
    pub fn listed(&mut self, pull: u64, turns: Vec<ListedTurn>, next: Option<String>) {
        if let Some(pull) = self.pulls.iter_mut().find(|known| known.serial == pull) {
            pull.listed(turns, next);
        }
    }

    /// Fetched turns arrived; returns those that are to be committed.
    #[must_use]
    pub fn fetched(&mut self, pull: u64, turns: Vec<RetainedTurn>) -> Vec<RetainedTurn> {
        let Some(pull) = self.pulls.iter_mut().find(|known| known.serial == pull) else {
            return Vec::new();
        };
        let ids = turns.iter().map(|retained| retained.turn.id.clone());
        if pull.fetched(ids.collect(), &mut self.claims) {
            turns
        } else {
            Vec::new()
        }
    }

    /// A page of turns that a pull fetched is on disk.
    pub fn committed(&mut self, pull: u64) {
        if let Some(pull) = self.pulls.iter_mut().find(|known| known.serial == pull) {
            pull.committed(&mut self.claims);
        }
    }

    /// The store could not be asked, or the disk failed: its pull begins anew later.
    pub fn failed(&mut self, pull: u64, now_ms: u64) {
        let failed = self.pulls.iter().find(|known| known.serial == pull);
        let Some(peer) = failed.map(|pull| pull.peer.clone()) else {
            return;
        };
        self.end_pull_of(&peer);
        let retry = PeerState::Waiting {
            not_before_ms: now_ms.saturating_add(PULL_RETRY_MS),
        };
        self.peers.insert(peer, retry);
    }

    fn end_pull_of(&mut self, peer: &str) {
        let Some(number) = self.pulls.iter().position(|pull| pull.peer == peer) else {
            return;
        };
        let ended = self.pulls.remove(number);
        self.claims.release_all_of(ended.serial);
    }
}
