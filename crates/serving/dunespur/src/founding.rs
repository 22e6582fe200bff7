//! The first view of the system: at the first start every machine has the same seeds and nobody knows how many
//! there are. One process, that of the lowest seed address, collects the machines with a disk, decides the first view
//! once, and sends it to the head of its chain; the head announces it to the others.

use crate::messages::Candidacy;
use dunespur_chain_replication::{Peer, View};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// How long candidates are collected, in milliseconds: all machines start within 0.3 s of each other, and a
/// process needs some time to come up.
const COLLECT_MS: u64 = 1_500;
/// Fewer candidates don't make a first view: a founder that was restarted may get calls of a late one only.
const MIN_CANDIDATES: usize = 2;
/// After this time, in milliseconds, one candidate is enough: a system of one machine.
const SINGLE_CANDIDATE_MS: u64 = 6_000;
/// Number of the first view.
const FIRST_VIEW: u64 = 1;
/// Members of the first view.
const MAX_MEMBERS: usize = 7;

/// What the founder knows. It sends the first view to the chain's head alone, which announces it once the view is on
/// its disk: a founder that restarts and forgets can't give two of them different first views.
pub enum Founding {
    /// The first view is not decided yet.
    Collecting {
        /// The start, in steady milliseconds.
        since: u64,
        /// By address, in which order they stand in the chain.
        candidates: BTreeMap<SocketAddr, Peer>,
    },
    /// The first view, or a later one that this process has learnt.
    Founded(View),
}

impl Founding {
    /// No candidates yet.
    pub fn new(now: u64) -> Founding {
        Founding::Collecting {
            since: now,
            candidates: BTreeMap::new(),
        }
    }

    /// Answers a candidate; `standing` is a view that this process knows of.
    pub fn answer(&mut self, peer: Peer, standing: Option<&View>, now: u64) -> Candidacy {
        if let Some(view) = standing {
            *self = Founding::Founded(view.clone());
        }
        self.collect(&peer, now);
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

    fn collect(&mut self, peer: &Peer, now: u64) {
        let Founding::Collecting { since, candidates } = self else {
            return;
        };
        candidates.insert(peer.address, peer.clone());
        let waited = now.saturating_sub(*since);
        let enough = candidates.len() >= MIN_CANDIDATES && waited >= COLLECT_MS;
        if enough || waited >= SINGLE_CANDIDATE_MS {
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
