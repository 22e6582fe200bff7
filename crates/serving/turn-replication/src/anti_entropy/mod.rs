//! Anti-entropy: lists the turns of the other stores that this store should hold, and pulls the missing turns. A pass
//! over all stores begins when this store starts, when the set of stores that turns are placed on changes, and when
//! another store has lost its disk. A store that returns is added to the current pass.
//!
//! Several stores are pulled from at the same time, and each turn is fetched from only one of them. Further pages are
//! fetched while earlier pages are written. The number of pages in flight is limited to bound the memory.

mod claims;
mod pull;

use std::collections::BTreeMap;

use claims::Claims;
use pull::{Pull, PullAction};

use crate::index::Index;
use crate::message::ListedTurn;
use crate::turn::RetainedTurn;

/// Delay before a failed pull from a store is retried, in milliseconds.
pub const PULL_RETRY_MS: u64 = 300;

/// Maximum number of stores that are pulled from at the same time.
const MAX_PULLS: usize = 3;
/// Maximum number of pages of turns that are being fetched or written, over all pulls.
const MAX_PAGES_IN_FLIGHT: usize = 4;

/// State of the pass for one store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PeerState {
    /// The pull from the store begins at this time or later.
    Waiting { not_before_ms: u64 },
    /// A pull from the store is in progress.
    Pulling,
    /// The pull from the store has ended.
    Done,
}

/// A request of a pull.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PullRequest {
    /// List the turns that this store should hold.
    List {
        /// The store to send the request to.
        peer: String,
        /// The page begins after this id; `None` for the first page.
        after: Option<String>,
    },
    /// Fetch turns.
    Fetch {
        /// The store to send the request to.
        peer: String,
        /// Ids of the turns.
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
    /// Serial number of the latest pull. Replies to pulls that have ended are ignored.
    last_serial: u64,
}

impl AntiEntropy {
    /// Begins a pass over the given stores and abandons the current pass.
    pub fn begin(&mut self, peers: impl IntoIterator<Item = String>, now_ms: u64) {
        self.began_at_ms = now_ms;
        self.pulls.clear();
        self.claims.clear();
        let waiting = PeerState::Waiting {
            not_before_ms: now_ms,
        };
        self.peers = peers.into_iter().map(|peer| (peer, waiting)).collect();
    }

    /// Adds a store that has returned to the pass.
    pub fn add(&mut self, peer: &str, now_ms: u64) {
        self.end_pull_from(peer);
        let waiting = PeerState::Waiting {
            not_before_ms: now_ms,
        };
        self.peers.insert(peer.to_owned(), waiting);
    }

    /// Removes a store that has left from the pass.
    pub fn remove(&mut self, peer: &str) {
        self.peers.remove(peer);
        self.end_pull_from(peer);
    }

    /// When the pass began, in milliseconds of the steady clock.
    #[must_use]
    pub fn began_at_ms(&self) -> u64 {
        self.began_at_ms
    }

    /// Whether the pulls from all stores of the pass have ended.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.peers.values().all(|state| *state == PeerState::Done)
    }

    /// Whether any pull is in progress: a request is in flight or fetched turns are being written.
    #[must_use]
    pub fn is_pulling(&self) -> bool {
        !self.pulls.is_empty()
    }

    /// Number of turns that this store is known to lack; turns on pages that were not listed yet do not count.
    #[must_use]
    pub fn missing_turns(&self) -> usize {
        let listed: usize = self.pulls.iter().map(Pull::missing_turns).sum();
        listed + self.claims.len()
    }

    /// Earliest time at which a waiting pull may begin, in milliseconds; [`Self::next_request`] has to be called then.
    #[must_use]
    pub fn next_due(&self) -> Option<u64> {
        if self.pulls.len() >= MAX_PULLS {
            return None;
        }
        let start_times = self.peers.values().filter_map(|state| match state {
            PeerState::Waiting { not_before_ms } => Some(*not_before_ms),
            PeerState::Pulling | PeerState::Done => None,
        });
        start_times.min()
    }

    /// Returns the serial number of a pull and its next request to be sent.
    pub fn next_request(&mut self, index: &Index, now_ms: u64) -> Option<(u64, PullRequest)> {
        loop {
            self.begin_pulls(now_ms);
            let mut finished = None;
            for pull_index in 0..self.pulls.len() {
                let may_fetch = self.pages_in_flight() < MAX_PAGES_IN_FLIGHT;
                let pull = &mut self.pulls[pull_index];
                match pull.advance(index, &mut self.claims, may_fetch) {
                    PullAction::Send(request) => return Some((pull.serial, request)),
                    PullAction::Wait => {}
                    PullAction::Finished => finished = Some(pull_index),
                }
            }
            let finished = self.pulls.remove(finished?);
            self.peers.insert(finished.peer, PeerState::Done);
        }
    }

    /// Begins pulls from the stores that are due, up to the maximum number of simultaneous pulls.
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

    fn pages_in_flight(&self) -> usize {
        self.pulls.iter().map(Pull::pages_in_flight).sum()
    }

    /// A page of the listing arrived.
    pub fn listed(&mut self, serial: u64, turns: Vec<ListedTurn>, next: Option<String>) {
        if let Some(pull) = self.pulls.iter_mut().find(|pull| pull.serial == serial) {
            pull.listed(turns, next);
        }
    }

    /// Fetched turns arrived; returns the turns that have to be committed.
    #[must_use]
    pub fn fetched(&mut self, serial: u64, turns: Vec<RetainedTurn>) -> Vec<RetainedTurn> {
        let Some(pull) = self.pulls.iter_mut().find(|pull| pull.serial == serial) else {
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
    pub fn committed(&mut self, serial: u64) {
        if let Some(pull) = self.pulls.iter_mut().find(|pull| pull.serial == serial) {
            pull.committed(&mut self.claims);
        }
    }

    /// The other store could not be reached or the disk failed: the pull starts over after [`PULL_RETRY_MS`].
    pub fn failed(&mut self, serial: u64, now_ms: u64) {
        let failed = self.pulls.iter().find(|pull| pull.serial == serial);
        let Some(peer) = failed.map(|pull| pull.peer.clone()) else {
            return;
        };
        self.end_pull_from(&peer);
        let retry = PeerState::Waiting {
            not_before_ms: now_ms.saturating_add(PULL_RETRY_MS),
        };
        self.peers.insert(peer, retry);
    }

    fn end_pull_from(&mut self, peer: &str) {
        let Some(position) = self.pulls.iter().position(|pull| pull.peer == peer) else {
            return;
        };
        let ended = self.pulls.remove(position);
        self.claims.release_pull(ended.serial);
    }
}
