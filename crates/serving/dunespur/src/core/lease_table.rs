//! When the leases of servers and nodes were renewed last, as core members learn of it; which have expired.

#[cfg(test)]
mod tests;

use crate::messages::{LeaseRenewals, NodeLease};
use crate::status::LeaseStatus;
use std::collections::{BTreeSet, HashMap};

/// The lease of a server expires after so many intervals between heartbeats without one.
const SERVER_LEASE_HEARTBEATS: u64 = 8;
/// The lease of a gateway expires after this time without a renewal, in milliseconds.
const GATEWAY_LEASE_MS: u64 = 2_500;
/// The lease of a store, in milliseconds. It is short, as what a lost store held is replicated again only once its lease
/// has expired; a store renews with the head of the chain itself every 0.4 s, so that three renewals may be lost.
const STORE_LEASE_MS: u64 = 1_200;
/// A node that follows a core member renews its lease at least this often, in milliseconds, gossip by other members
/// included.
const RENEWED_LATELY_MS: u64 = 1_500;
/// Nothing expires while fewer than this percentage of the known leases was renewed within half a lease: guards against
/// taking a fault of this member's own connections for theirs.
const MIN_RENEWED_PERCENT: usize = 50;
/// Renewals that may wait to be gossiped to the other members.
const MAX_UNREPORTED: usize = 16_384;

/// Which kind of process holds a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseKind {
    /// A gateway's.
    Gateway,
    /// A store's.
    Store,
}

impl LeaseKind {
    /// How long it lasts after a renewal, in milliseconds.
    fn duration_ms(self) -> u64 {
        match self {
            LeaseKind::Gateway => GATEWAY_LEASE_MS,
            LeaseKind::Store => STORE_LEASE_MS,
        }
    }
}

/// When each lease was renewed last, and which renewals the other members have not received yet.
pub struct LeaseTable {
    server_lease_ms: u64,
    servers: HashMap<String, u64>,
    nodes: HashMap<NodeLease, u64>,
    /// When any incarnation of each node renewed last, by name; only those that did.
    last_renewals: HashMap<String, u64>,
    unreported_servers: BTreeSet<String>,
    unreported_nodes: BTreeSet<NodeLease>,
}

impl LeaseTable {
    /// No leases yet. `heartbeat_ms`: the interval between heartbeats of a server.
    pub fn new(heartbeat_ms: u64) -> LeaseTable {
        LeaseTable {
            server_lease_ms: heartbeat_ms * SERVER_LEASE_HEARTBEATS,
            servers: HashMap::new(),
            nodes: HashMap::new(),
            last_renewals: HashMap::new(),
            unreported_servers: BTreeSet::new(),
            unreported_nodes: BTreeSet::new(),
        }
    }

    /// Renews leases, and remembers to report them to the other members.
    pub fn renew_and_report(&mut self, renewals: &LeaseRenewals, now: u64) {
        self.renew(renewals, now);
        if self.unreported_servers.len() < MAX_UNREPORTED {
            self.unreported_servers
                .extend(renewals.servers.iter().cloned());
        }
        if self.unreported_nodes.len() < MAX_UNREPORTED {
            self.unreported_nodes.extend(renewals.nodes.iter().cloned());
        }
    }

    /// Renews leases.
    pub fn renew(&mut self, renewals: &LeaseRenewals, now: u64) {
        for id in &renewals.servers {
            renew_one(&mut self.servers, id, now);
        }
        for node in &renewals.nodes {
            renew_one(&mut self.nodes, node, now);
            renew_one(&mut self.last_renewals, &node.name, now);
        }
    }

    /// Whether a node has renewed its lease lately, under whatever incarnation.
    pub fn renewed_lately(&self, name: &str, now: u64) -> bool {
        self.last_renewals
            .get(name)
            .is_some_and(|at| now.saturating_sub(*at) <= RENEWED_LATELY_MS)
    }

    /// Forgets when nodes renewed that are not remembered any more.
    pub fn retain_last_renewals<'a>(&mut self, remembered: impl Iterator<Item = &'a str>) {
        let names: BTreeSet<&str> = remembered.collect();
        self.last_renewals
            .retain(|name, _| names.contains(name.as_str()));
    }

    /// Renewals that have to be reported to the other members.
    pub fn take_unreported(&mut self) -> LeaseRenewals {
        LeaseRenewals {
            servers: std::mem::take(&mut self.unreported_servers)
                .into_iter()
                .collect(),
            nodes: std::mem::take(&mut self.unreported_nodes)
                .into_iter()
                .collect(),
        }
    }

    /// Starts every lease anew: while this member does not decide on expiry, and when it becomes the one that does.
    pub fn renew_all(&mut self, now: u64) {
        self.servers.values_mut().for_each(|at| *at = now);
        self.nodes.values_mut().for_each(|at| *at = now);
    }

    /// Forgets leases of servers that are not known any more, and starts those of servers that are new.
    pub fn retain_servers<'a>(&mut self, known: impl Iterator<Item = &'a str>, now: u64) {
        let mut leases = HashMap::new();
        for id in known {
            let at = self.servers.get(id).copied().unwrap_or(now);
            leases.insert(id.to_owned(), at);
        }
        self.servers = leases;
    }

    /// The same for nodes.
    pub fn retain_nodes(&mut self, known: impl Iterator<Item = NodeLease>, now: u64) {
        let mut leases = HashMap::new();
        for node in known {
            let at = self.nodes.get(&node).copied().unwrap_or(now);
            leases.insert(node, at);
        }
        self.nodes = leases;
    }

    /// All leases, those of nodes first, so many at most. `kind_of` tells of which kind a node is.
    pub fn status(
        &self,
        kind_of: impl Fn(&NodeLease) -> LeaseKind,
        max_leases: usize,
        now: u64,
    ) -> Vec<LeaseStatus> {
        let nodes = self
            .nodes
            .iter()
            .map(|(node, at)| (&node.name, *at, kind_of(node).duration_ms()));
        let servers = self
            .servers
            .iter()
            .map(|(id, at)| (id, *at, self.server_lease_ms));
        let leases = nodes.chain(servers).take(max_leases);
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

    /// Servers whose leases have expired.
    pub fn expired_servers(&self, now: u64) -> Vec<String> {
        expired(&self.servers, self.server_lease_ms, now)
    }

    /// Which of these nodes' leases have expired. They are of one kind: that others of the kind renew shows that
    /// renewals of it reach this member.
    pub fn expired_nodes(
        &self,
        kind: LeaseKind,
        nodes: impl Iterator<Item = NodeLease>,
        now: u64,
    ) -> Vec<NodeLease> {
        let leases = nodes.filter_map(|node| {
            let at = *self.nodes.get(&node)?;
            Some((node, at))
        });
        expired(&leases.collect(), kind.duration_ms(), now)
    }
}

fn renew_one<K: Clone + Eq + std::hash::Hash>(leases: &mut HashMap<K, u64>, key: &K, now: u64) {
    match leases.get_mut(key) {
        Some(at) => *at = now,
        None => {
            leases.insert(key.clone(), now);
        }
    }
}

fn expired<K: Clone>(leases: &HashMap<K, u64>, lease_ms: u64, now: u64) -> Vec<K> {
    let renewed = leases
        .values()
        .filter(|at| now.saturating_sub(**at) <= lease_ms / 2)
        .count();
    if renewed * 100 < leases.len() * MIN_RENEWED_PERCENT {
        return Vec::new();
    }
    leases
        .iter()
        .filter(|(_, at)| now.saturating_sub(**at) > lease_ms)
        .map(|(key, _)| key.clone())
        .collect()
}
