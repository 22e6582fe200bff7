//! The first view of the system. At the first start every machine has the same seeds, and no machine knows how many
//! machines there are. The founder, the process at the lowest seed address, collects the machines with a disk, decides
//! the first view once, and sends it to the head of the view's chain; the head announces it to the others.

use crate::messages::Candidacy;
use dunespur_chain_replication::{Peer, View};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// How long candidates are collected, in milliseconds: all machines start within 0.3 s of each other, and each
/// process needs some time to start.
const COLLECT_MS: u64 = 1_500;
/// Minimum number of candidates for a first view: a restarted founder may be called by a late candidate only.
const MIN_CANDIDATES: usize = 2;
/// After this time, in milliseconds, a single candidate founds a system of one machine.
const SINGLE_CANDIDATE_MS: u64 = 6_000;
/// The view number of the first view.
const FIRST_VIEW: u64 = 1;
/// Maximum number of members of the first view.
const MAX_MEMBERS: usize = 7;

/// State of the founder. It sends the first view only to the head of the chain, which announces the view once it is on
/// disk: a founder that restarts and loses its state can't give two machines different first views.
pub enum Founding {
    /// The first view is not decided yet.
    Collecting {
        /// When collecting started, in steady milliseconds.
        since: u64,
        /// Candidates by address; their order becomes the order of the chain.
        candidates: BTreeMap<SocketAddr, Peer>,
    },
    /// The first view is decided, or this process has learnt a later view.
    Founded(View),
}

impl Founding {
    /// Starts to collect candidates.
    pub fn new(now: u64) -> Founding {
        Founding::Collecting {
            since: now,
            candidates: BTreeMap::new(),
        }
    }

    /// Answers a candidate. `known_view` is a view that this process has learnt elsewhere.
    pub fn answer(&mut self, peer: Peer, known_view: Option<&View>, now: u64) -> Candidacy {
        if let Some(view) = known_view {
            *self = Founding::Founded(view.clone());
        }
        self.add_candidate(&peer, now);
        match self {
            Founding::Collecting { .. } => Candidacy::Wait,
            Founding::Founded(view)
                if view.number == FIRST_VIEW && view.chain.first() == Some(&peer.id) =>
            {
                Candidacy::Found(view.clone())
            }
            Founding::Founded(view)
                if view.number == FIRST_VIEW && view.members.contains(&peer) =>
            {
                Candidacy::Wait
            }
            Founding::Founded(view) => Candidacy::Join(view.clone()),
        }
    }

    fn add_candidate(&mut self, peer: &Peer, now: u64) {
        let Founding::Collecting { since, candidates } = self else {
            return;
        };
        candidates.insert(peer.address, peer.clone());
        let elapsed = now.saturating_sub(*since);
        let has_enough_candidates = candidates.len() >= MIN_CANDIDATES && elapsed >= COLLECT_MS;
        if has_enough_candidates || elapsed >= SINGLE_CANDIDATE_MS {
            let members: Vec<Peer> = candidates.values().take(MAX_MEMBERS).cloned().collect();
            let chain = members.iter().map(|member| member.id.clone()).collect();
            *self = Founding::Founded(View {
                number: FIRST_VIEW,
                members,
                chain,
            });
        }
    }
}
