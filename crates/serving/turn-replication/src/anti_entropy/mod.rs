//! Anti-entropy: asks the other stores, one after the other, for the turns that this store should hold, and pulls
//! those that are missing. A pass over all stores begins when this store starts, when the set of stores that turns
//! are placed on changes, and when another store has lost its disk; a store that returns is added to the pass.
//!
//! One request is in flight at a time, and the next page is fetched while the last one is written: memory is
//! limited to one page of ids and a few pages of turns.

use std::collections::{BTreeMap, VecDeque};

use crate::index::Index;
use crate::message::{ListedTurn, PAGE_BYTES};
use crate::turn::RetainedTurn;

/// After this long a store that could not be asked is asked again, in milliseconds.
pub const PULL_RETRY_MS: u64 = 300;

/// Maximum number of fetched pages that wait for the disk.
const MAX_PENDING_COMMITS: usize = 2;

/// Where the pass stands with one store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PeerState {
    Waiting { not_before_ms: u64 },
    Done,
}

/// What the current pull waits for from the other store.
#[derive(Debug, PartialEq, Eq)]
enum Step {
    /// The next request has to be sent.
    Ready,
    Listing,
    Fetching,
}

#[derive(Debug)]
struct Pull {
    peer: String,
    step: Step,
    /// Where the next listing continues.
    after: Option<String>,
    /// The listing has reached its end.
    is_fully_listed: bool,
    /// Turns of the last page that this store does not hold.
    missing: VecDeque<ListedTurn>,
    /// Number of fetched pages that are on their way to the disk.
    pending_commits: usize,
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
    /// Increases with each pass and each failure; replies to earlier requests are void.
    pass: u64,
    began_at_ms: u64,
    peers: BTreeMap<String, PeerState>,
    pull: Option<Pull>,
}

impl AntiEntropy {
    /// Begins a pass over these stores; the current one ends.
    pub fn begin(&mut self, peers: impl IntoIterator<Item = String>, now_ms: u64) {
        self.pass += 1;
        self.began_at_ms = now_ms;
        self.pull = None;
        let waiting = PeerState::Waiting {
            not_before_ms: now_ms,
        };
        self.peers = peers.into_iter().map(|peer| (peer, waiting)).collect();
    }

    /// Adds a store that has returned.
    pub fn add(&mut self, peer: &str, now_ms: u64) {
        let waiting = PeerState::Waiting {
            not_before_ms: now_ms,
        };
        self.peers.insert(peer.to_owned(), waiting);
    }

    /// Removes a store that has left.
    pub fn remove(&mut self, peer: &str) {
        self.peers.remove(peer);
        if self.pull.as_ref().is_some_and(|pull| pull.peer == peer) {
            self.pass += 1;
            self.pull = None;
        }
    }

    /// The number of the pass, for its requests and commits.
    #[must_use]
    pub fn pass(&self) -> u64 {
        self.pass
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
        self.pull.is_some()
    }

    /// When [`Self::next_request`] may return a request that it does not return now, in milliseconds.
    #[must_use]
    pub fn next_due(&self) -> Option<u64> {
        if self.pull.is_some() {
            return None;
        }
        let waits = self.peers.values().filter_map(|state| match state {
            PeerState::Waiting { not_before_ms } => Some(*not_before_ms),
            PeerState::Done => None,
        });
        waits.min()
    }

    /// The next request to be sent.
    pub fn next_request(&mut self, index: &Index, now_ms: u64) -> Option<PullRequest> {
        loop {
            if self.pull.is_none() {
                self.pull = Some(Pull::new(self.next_peer(now_ms)?));
            }
            let pull = self.pull.as_mut()?;
            if pull.step != Step::Ready || pull.pending_commits >= MAX_PENDING_COMMITS {
                return None;
            }
            if let Some(request) = pull.next_request(index) {
                return Some(request);
            }
            if pull.pending_commits > 0 {
                return None;
            }
            self.finish_peer();
        }
    }

    fn next_peer(&self, now_ms: u64) -> Option<String> {
        let is_due = |state: &PeerState| matches!(state, PeerState::Waiting { not_before_ms } if *not_before_ms <= now_ms);
        let mut peers = self.peers.iter();
        let (peer, _) = peers.find(|(_, state)| is_due(state))?;
        Some(peer.clone())
    }

    fn finish_peer(&mut self) {
        if let Some(pull) = self.pull.take() {
            self.peers.insert(pull.peer, PeerState::Done);
        }
    }

    /// A page of the listing arrived.
    pub fn listed(&mut self, turns: Vec<ListedTurn>, next: Option<String>) {
        let Some(pull) = self.pull_at(Step::Listing) else {
            return;
        };
        pull.is_fully_listed = next.is_none();
        pull.after = next;
        pull.missing = turns.into();
        pull.step = Step::Ready;
    }

    /// Fetched turns arrived; returns those that are to be committed.
    #[must_use]
    pub fn fetched(&mut self, turns: Vec<RetainedTurn>) -> Vec<RetainedTurn> {
        let Some(pull) = self.pull_at(Step::Fetching) else {
            return Vec::new();
        };
        pull.step = Step::Ready;
        pull.pending_commits += usize::from(!turns.is_empty());
        turns
    }

    /// A page of turns that this pass fetched is on disk.
    pub fn committed(&mut self, pass: u64) {
        if pass != self.pass {
            return;
        }
        if let Some(pull) = &mut self.pull {
            pull.pending_commits = pull.pending_commits.saturating_sub(1);
        }
    }

    /// The store could not be asked, or the disk failed: its pull begins anew later.
    pub fn failed(&mut self, now_ms: u64) {
        // What is still on its way to the disk belongs to this pull, not to the next.
        self.pass += 1;
        if let Some(pull) = self.pull.take() {
            let retry = PeerState::Waiting {
                not_before_ms: now_ms.saturating_add(PULL_RETRY_MS),
            };
            self.peers.insert(pull.peer, retry);
        }
    }

    fn pull_at(&mut self, step: Step) -> Option<&mut Pull> {
        self.pull.as_mut().filter(|pull| pull.step == step)
    }
}

impl Pull {
    fn new(peer: String) -> Self {
        Self {
            peer,
            step: Step::Ready,
            after: None,
            is_fully_listed: false,
            missing: VecDeque::new(),
            pending_commits: 0,
        }
    }

    /// Fetches the missing turns of the last page, then asks for the next page.
    fn next_request(&mut self, index: &Index) -> Option<PullRequest> {
        let ids = self.next_ids(index);
        if !ids.is_empty() {
            self.step = Step::Fetching;
            return Some(PullRequest::Fetch {
                peer: self.peer.clone(),
                ids,
            });
        }
        if self.is_fully_listed {
            return None;
        }
        self.step = Step::Listing;
        Some(PullRequest::List {
            peer: self.peer.clone(),
            after: self.after.clone(),
        })
    }

    /// As many missing turns as one message may carry.
    fn next_ids(&mut self, index: &Index) -> Vec<String> {
        let mut ids = Vec::new();
        let mut bytes = 0;
        while let Some(listed) = self.missing.front() {
            if !ids.is_empty() && bytes + listed.size > PAGE_BYTES {
                break;
            }
            let listed = self.missing.pop_front();
            if let Some(listed) = listed.filter(|listed| !index.contains(&listed.id)) {
                bytes += listed.size;
                ids.push(listed.id);
            }
        }
        ids
    }
}
