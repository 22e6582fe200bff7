//! Leases of servers and nodes as core members hear of them; which have lapsed.

use crate::messages::{Heard, NodeLease};
use crate::status::LeaseStatus;
use std::collections::{BTreeSet, HashMap};

/// Servers whose heartbeats are missing for so many pauses between heartbeats have lapsed.
const SERVER_LEASE_HEARTBEATS: u64 = 8;
/// Nodes that did not renew for so long have lapsed, in milliseconds.
const NODE_LEASE_MS: u64 = 2_500;
/// A node that follows a core member is heard of at least this often, in milliseconds, told on by others included.
const HEARD_LATELY_MS: u64 = 1_500;
/// Nothing lapses while fewer than this share of those known (in hundredths) was heard within half a lease:
/// guards against taking our own deafness for theirs.
const LEAST_HEARD_PERCENT: usize = 50;
/// Heard names that may wait to be told to the others.
const MOST_UNTOLD: usize = 16_384;

/// When each lease was renewed last, and which renewals the other members were not told of yet.
pub struct Leases {
    server_lease_ms: u64,
    servers: HashMap<String, u64>,
    nodes: HashMap<NodeLease, u64>,
    /// When a life of each node was heard of last, by name; only those that were.
    heard_nodes: HashMap<String, u64>,
    untold_servers: BTreeSet<String>,
    untold_nodes: BTreeSet<NodeLease>,
}

impl Leases {
    pub fn new(heartbeat_ms: u64) -> Leases {
        Leases {
            server_lease_ms: heartbeat_ms * SERVER_LEASE_HEARTBEATS,
            servers: HashMap::new(),
            nodes: HashMap::new(),
            heard_nodes: HashMap::new(),
            untold_servers: BTreeSet::new(),
            untold_nodes: BTreeSet::new(),
        }
    }

    /// Renewals that a gateway or store told of; they are told on.
    pub fn heard(&mut self, heard: &Heard, now: u64) {
        self.told(heard, now);
        if self.untold_servers.len() < MOST_UNTOLD {
            self.untold_servers.extend(heard.servers.iter().cloned());
        }
        if self.untold_nodes.len() < MOST_UNTOLD {
            self.untold_nodes.extend(heard.nodes.iter().cloned());
        }
    }

    /// Renewals that another member told of.
    pub fn told(&mut self, heard: &Heard, now: u64) {
        for id in &heard.servers {
            renew(&mut self.servers, id, now);
        }
        for node in &heard.nodes {
            renew(&mut self.nodes, node, now);
            renew(&mut self.heard_nodes, &node.name, now);
        }
    }

    /// Whether a node was heard of lately, under whatever incarnation.
    pub fn hears(&self, name: &str, now: u64) -> bool {
        self.heard_nodes
            .get(name)
            .is_some_and(|at| now.saturating_sub(*at) <= HEARD_LATELY_MS)
    }

    /// Forgets when nodes were heard of that are not remembered any more.
    pub fn keep_heard<'a>(&mut self, remembered: impl Iterator<Item = &'a str>) {
        let names: BTreeSet<&str> = remembered.collect();
        self.heard_nodes
            .retain(|name, _| names.contains(name.as_str()));
    }

    /// What the other members are to be told.
    pub fn take_untold(&mut self) -> Heard {
        Heard {
            servers: std::mem::take(&mut self.untold_servers)
                .into_iter()
                .collect(),
            nodes: std::mem::take(&mut self.untold_nodes).into_iter().collect(),
        }
    }

    /// Starts every lease anew: after a silence of our own, or when this member becomes the one who decides.
    pub fn renew_all(&mut self, now: u64) {
        self.servers.values_mut().for_each(|at| *at = now);
        self.nodes.values_mut().for_each(|at| *at = now);
    }

    /// Forgets leases of servers that are not known any more, and starts those of servers not heard of yet.
    pub fn keep_servers<'a>(&mut self, known: impl Iterator<Item = &'a str>, now: u64) {
        let mut kept = HashMap::new();
        for id in known {
            let at = self.servers.get(id).copied().unwrap_or(now);
            kept.insert(id.to_owned(), at);
        }
        self.servers = kept;
    }

    /// The same for nodes.
    pub fn keep_nodes(&mut self, known: impl Iterator<Item = NodeLease>, now: u64) {
        let mut kept = HashMap::new();
        for node in known {
            let at = self.nodes.get(&node).copied().unwrap_or(now);
            kept.insert(node, at);
        }
        self.nodes = kept;
    }

    /// All leases, those of nodes first, so many at most.
    pub fn status(&self, most: usize, now: u64) -> Vec<LeaseStatus> {
        let nodes = self
            .nodes
            .iter()
            .map(|(node, at)| (&node.name, *at, NODE_LEASE_MS));
        let servers = self
            .servers
            .iter()
            .map(|(id, at)| (id, *at, self.server_lease_ms));
        let leases = nodes.chain(servers).take(most);
        let mut leases: Vec<LeaseStatus> = leases
            .map(|(holder, at, lease_ms)| LeaseStatus {
                holder: holder.clone(),
                silent_ms: now.saturating_sub(at),
                lease_ms,
            })
            .collect();
        leases.sort_by(|one, other| {
            (one.lease_ms, &one.holder).cmp(&(other.lease_ms, &other.holder))
        });
        leases
    }

    /// Servers whose leases have lapsed.
    pub fn lapsed_servers(&self, now: u64) -> Vec<String> {
        lapsed(&self.servers, self.server_lease_ms, now)
    }

    /// Which of these nodes' leases have lapsed. They are of one kind: that we hear the others of that kind says
    /// that we are not deaf to it.
    pub fn lapsed_nodes(&self, nodes: impl Iterator<Item = NodeLease>, now: u64) -> Vec<NodeLease> {
        let held = nodes.filter_map(|node| {
            let at = *self.nodes.get(&node)?;
            Some((node, at))
        });
        lapsed(&held.collect(), NODE_LEASE_MS, now)
    }
}

fn renew<K: Clone + Eq + std::hash::Hash>(leases: &mut HashMap<K, u64>, key: &K, now: u64) {
    match leases.get_mut(key) {
        Some(at) => *at = now,
        None => {
            leases.insert(key.clone(), now);
        }
    }
}

fn lapsed<K: Clone>(leases: &HashMap<K, u64>, lease_ms: u64, now: u64) -> Vec<K> {
    let heard = leases
        .values()
        .filter(|at| now.saturating_sub(**at) <= lease_ms / 2)
        .count();
    if heard * 100 < leases.len() * LEAST_HEARD_PERCENT {
        return Vec::new();
    }
    leases
        .iter()
        .filter(|(_, at)| now.saturating_sub(**at) > lease_ms)
        .map(|(key, _)| key.clone())
        .collect()
}
