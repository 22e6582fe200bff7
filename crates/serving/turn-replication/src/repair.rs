//! Pulls: asks the other stores, one after the other, for the turns that this store should hold, and fetches
//! those it lacks. A pass over all stores is begun when this store starts, when the stores that turns are
//! placed on change, and when another has lost its disk; a store that comes back is added to the pass.
//!
//! One question is under way at a time, and the next page is fetched while the last is written: memory is
//! bounded by one page of ids and a few of bodies.

use std::collections::{BTreeMap, VecDeque};

use crate::index::Index;
use crate::message::{ListedTurn, PAGE_BYTES};
use crate::turn::HeldTurn;

/// A store that could not be asked is asked again after this long.
pub const PULL_RETRY_MS: u64 = 300;

/// Most fetched pages waiting for the disk.
const COMMITS_BOUND: usize = 2;

/// Where the pass stands with one store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PeerState {
    Waiting { not_before_ms: u64 },
    Done,
}

/// What the pull under way waits for from the other store.
#[derive(Debug, PartialEq, Eq)]
enum Step {
    /// The next question has to be sent.
    Ready,
    Listing,
    Fetching,
}

#[derive(Debug)]
struct Pull {
    peer: String,
    step: Step,
    /// Where the next listing goes on.
    after: Option<String>,
    /// The listing has reached its end.
    listed_all: bool,
    /// Turns of the last page that are lacking.
    lacking: VecDeque<ListedTurn>,
    /// Fetched pages that are on their way to the disk.
    commits: usize,
}

/// A question of a pull.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PullAsk {
    List { peer: String, after: Option<String> },
    Fetch { peer: String, ids: Vec<String> },
}

/// The pass over the other stores.
#[derive(Debug, Default)]
pub struct Repair {
    /// Rises with each pass and each failure; answers to earlier questions are void.
    pass: u64,
    began_at_ms: u64,
    peers: BTreeMap<String, PeerState>,
    pull: Option<Pull>,
}

impl Repair {
    /// Begins a pass over these stores; one under way ends.
    pub fn begin(&mut self, peers: impl IntoIterator<Item = String>, now_ms: u64) {
        self.pass += 1;
        self.began_at_ms = now_ms;
        self.pull = None;
        self.peers = peers
            .into_iter()
            .map(|peer| {
                (
                    peer,
                    PeerState::Waiting {
                        not_before_ms: now_ms,
                    },
                )
            })
            .collect();
    }

    /// Adds a store that has come back.
    pub fn add(&mut self, peer: &str, now_ms: u64) {
        self.peers.insert(
            peer.to_owned(),
            PeerState::Waiting {
                not_before_ms: now_ms,
            },
        );
    }

    /// Leaves a store out that has gone.
    pub fn remove(&mut self, peer: &str) {
        self.peers.remove(peer);
        if self.pull.as_ref().is_some_and(|pull| pull.peer == peer) {
            self.pass += 1;
            self.pull = None;
        }
    }

    /// The number of the pass, for its questions and commits.
    pub fn pass(&self) -> u64 {
        self.pass
    }

    /// When the pass began.
    pub fn began_at_ms(&self) -> u64 {
        self.began_at_ms
    }

    /// Every store of the pass has given all it had.
    pub fn is_done(&self) -> bool {
        self.peers.values().all(|state| *state == PeerState::Done)
    }

    /// A store is being asked or its turns are being written.
    pub fn is_pulling(&self) -> bool {
        self.pull.is_some()
    }

    /// When [`Self::next_ask`] may have something that it has not now.
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

    /// The next question to be sent.
    pub fn next_ask(&mut self, index: &Index, now_ms: u64) -> Option<PullAsk> {
        loop {
            if self.pull.is_none() {
                self.pull = Some(Pull::new(self.next_peer(now_ms)?));
            }
            let pull = self.pull.as_mut()?;
            if pull.step != Step::Ready || pull.commits >= COMMITS_BOUND {
                return None;
            }
            if let Some(ask) = pull.next_ask(index) {
                return Some(ask);
            }
            if pull.commits > 0 {
                return None;
            }
            self.finish_peer();
        }
    }

    fn next_peer(&self, now_ms: u64) -> Option<String> {
        let ready = |state: &PeerState| matches!(state, PeerState::Waiting { not_before_ms } if *not_before_ms <= now_ms);
        self.peers
            .iter()
            .find(|(_, state)| ready(state))
            .map(|(peer, _)| peer.clone())
    }

    fn finish_peer(&mut self) {
        if let Some(pull) = self.pull.take() {
            self.peers.insert(pull.peer, PeerState::Done);
        }
    }

    /// A page of the listing came.
    pub fn listed(&mut self, turns: Vec<ListedTurn>, next: Option<String>) {
        let Some(pull) = self.pull_at(Step::Listing) else {
            return;
        };
        pull.listed_all = next.is_none();
        pull.after = next;
        pull.lacking = turns.into();
        pull.step = Step::Ready;
    }

    /// Fetched turns came; they are to be committed.
    pub fn fetched(&mut self, turns: Vec<HeldTurn>) -> Vec<HeldTurn> {
        let Some(pull) = self.pull_at(Step::Fetching) else {
            return Vec::new();
        };
        pull.step = Step::Ready;
        pull.commits += usize::from(!turns.is_empty());
        turns
    }

    /// A page of fetched turns is on the disk.
    pub fn committed(&mut self, pass: u64) {
        if pass != self.pass {
            return;
        }
        if let Some(pull) = &mut self.pull {
            pull.commits = pull.commits.saturating_sub(1);
        }
    }

    /// The store could not be asked, or the disk failed: it comes again later, from its start.
    pub fn failed(&mut self, now_ms: u64) {
        // What is still on its way to the disk belongs to this pull, not to the next.
        self.pass += 1;
        if let Some(pull) = self.pull.take() {
            let again = PeerState::Waiting {
                not_before_ms: now_ms.saturating_add(PULL_RETRY_MS),
            };
            self.peers.insert(pull.peer, again);
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
            listed_all: false,
            lacking: VecDeque::new(),
            commits: 0,
        }
    }

    /// Fetches what the last page has that is not here, then asks for the next page.
    fn next_ask(&mut self, index: &Index) -> Option<PullAsk> {
        let ids = self.next_ids(index);
        if !ids.is_empty() {
            self.step = Step::Fetching;
            return Some(PullAsk::Fetch {
                peer: self.peer.clone(),
                ids,
            });
        }
        if self.listed_all {
            return None;
        }
        self.step = Step::Listing;
        Some(PullAsk::List {
            peer: self.peer.clone(),
            after: self.after.clone(),
        })
    }

    /// As many lacking turns as one message may carry.
    fn next_ids(&mut self, index: &Index) -> Vec<String> {
        let mut ids = Vec::new();
        let mut bytes = 0;
        while let Some(listed) = self.lacking.front() {
            if !ids.is_empty() && bytes + listed.size > PAGE_BYTES {
                break;
            }
            if let Some(listed) = self
                .lacking
                .pop_front()
                .filter(|listed| !index.contains(&listed.id))
            {
                bytes += listed.size;
                ids.push(listed.id);
            }
        }
        ids
    }
}
