//! Time of the last known renewal of each server and node lease, and which leases have expired.

#[cfg(test)]
mod tests;

use crate::messages::{LeaseRenewals, NodeLease};
use crate::status::LeaseStatus;
use std::collections::{BTreeSet, HashMap};

/// A server's lease expires after this many heartbeat intervals without a heartbeat.
const SERVER_LEASE_HEARTBEATS: u64 = 8;
/// A gateway's lease expires after this time without a renewal, in milliseconds.
const GATEWAY_LEASE_MS: u64 = 2_500;
/// A store's lease expires after this time without a renewal, in milliseconds. It is short because the turns of a lost
/// store are replicated again only after its lease has expired. A store renews its lease with the head of the chain
/// every 0.4 s, so three renewals may be lost.
const STORE_LEASE_MS: u64 = 1_200;
/// A node that follows any core member renews its lease at least this often, in milliseconds, including the delay of
/// gossip between members.
const RECENT_RENEWAL_MS: u64 = 1_500;
/// No lease expires while fewer than this percentage of the known leases was renewed within half a lease: this member's
/// own connections are then the likely fault.
const MIN_RENEWED_PERCENT: usize = 50;
/// Maximum number of renewals waiting to be gossiped to the other members.
const MAX_UNREPORTED: usize = 16_384;

/// The kind of process that holds a node lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseKind {
    /// The lease of a gateway.
    Gateway,
    /// The lease of a store.
    Store,
}

impl LeaseKind {
    /// Duration of a lease after a renewal, in milliseconds.
    fn duration_ms(self) -> u64 {
        match self {
            LeaseKind::Gateway => GATEWAY_LEASE_MS,
            LeaseKind::Store => STORE_LEASE_MS,
        }
    }
}

/// Time of the last renewal of each lease, and the renewals not yet reported to the other members.
pub struct LeaseTable {
    server_lease_ms: u64,
    servers: HashMap<String, u64>,
    nodes: HashMap<NodeLease, u64>,
    /// Time of the last renewal by any incarnation of a node, by node name.
    last_renewals: HashMap<String, u64>,
    unreported_servers: BTreeSet<String>,
    unreported_nodes: BTreeSet<NodeLease>,
}

impl LeaseTable {
    /// Creates an empty table. `heartbeat_ms` is the interval between heartbeats of a server.
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

    /// Renews leases and queues the renewals for the other members.
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

    /// Renews leases without reporting the renewals.
    pub fn renew(&mut self, renewals: &LeaseRenewals, now: u64) {
        for id in &renewals.servers {
            renew_lease(&mut self.servers, id, now);
        }
        for node in &renewals.nodes {
            renew_lease(&mut self.nodes, node, now);
            renew_lease(&mut self.last_renewals, &node.name, now);
        }
    }

    /// Whether any incarnation of a node has renewed its lease within [`RECENT_RENEWAL_MS`].
    pub fn renewed_recently(&self, name: &str, now: u64) -> bool {
        self.last_renewals
            .get(name)
            .is_some_and(|renewed_at| now.saturating_sub(*renewed_at) <= RECENT_RENEWAL_MS)
    }

    /// Removes the last renewals of all nodes except the remembered ones.
    pub fn retain_last_renewals<'a>(&mut self, remembered: impl Iterator<Item = &'a str>) {
        let names: BTreeSet<&str> = remembered.collect();
        self.last_renewals
            .retain(|name, _| names.contains(name.as_str()));
    }

    /// Takes the renewals that are not yet reported to the other members.
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

    /// Restarts every lease. Used while this member does not decide on expiry, and when it begins to.
    pub fn renew_all(&mut self, now: u64) {
        self.servers
            .values_mut()
            .for_each(|renewed_at| *renewed_at = now);
        self.nodes
            .values_mut()
            .for_each(|renewed_at| *renewed_at = now);
    }

    /// Removes leases of servers that are no longer known, and starts leases of new servers.
    pub fn retain_servers<'a>(&mut self, known: impl Iterator<Item = &'a str>, now: u64) {
        let mut leases = HashMap::new();
        for id in known {
            let renewed_at = self.servers.get(id).copied().unwrap_or(now);
            leases.insert(id.to_owned(), renewed_at);
        }
        self.servers = leases;
    }

    /// Removes leases of nodes that are no longer known, and starts leases of new nodes.
    pub fn retain_nodes(&mut self, known: impl Iterator<Item = NodeLease>, now: u64) {
        let mut leases = HashMap::new();
        for node in known {
            let renewed_at = self.nodes.get(&node).copied().unwrap_or(now);
            leases.insert(node, renewed_at);
        }
        self.nodes = leases;
    }

    /// Status of at most `max_leases` leases, node leases before server leases. `kind_of` gives the kind of a node.
    pub fn status(
        &self,
        kind_of: impl Fn(&NodeLease) -> LeaseKind,
        max_leases: usize,
        now: u64,
    ) -> Vec<LeaseStatus> {
        let nodes = self
            .nodes
            .iter()
            .map(|(node, renewed_at)| (&node.name, *renewed_at, kind_of(node).duration_ms()));
        let servers = self
            .servers
            .iter()
            .map(|(id, renewed_at)| (id, *renewed_at, self.server_lease_ms));
        let leases = nodes.chain(servers).take(max_leases);
        let mut leases: Vec<LeaseStatus> = leases
            .map(|(holder, renewed_at, lease_ms)| LeaseStatus {
                holder: holder.clone(),
                silent_ms: now.saturating_sub(renewed_at),
                lease_ms,
            })
            .collect();
        leases.sort_by(|left, right| {
            (left.lease_ms, &left.holder).cmp(&(right.lease_ms, &right.holder))
        });
        leases
    }

    /// Ids of the servers whose leases have expired.
    pub fn expired_servers(&self, now: u64) -> Vec<String> {
        expired_leases(&self.servers, self.server_lease_ms, now)
    }

    /// Those of the given nodes whose leases have expired. All must be of one kind: renewals by other nodes of that
    /// kind show that such renewals reach this member.
    pub fn expired_nodes(
        &self,
        kind: LeaseKind,
        nodes: impl Iterator<Item = NodeLease>,
        now: u64,
    ) -> Vec<NodeLease> {
        let leases = nodes.filter_map(|node| {
            let renewed_at = *self.nodes.get(&node)?;
            Some((node, renewed_at))
        });
        expired_leases(&leases.collect(), kind.duration_ms(), now)
    }
}

fn renew_lease<K: Clone + Eq + std::hash::Hash>(leases: &mut HashMap<K, u64>, key: &K, now: u64) {
    match leases.get_mut(key) {
        Some(renewed_at) => *renewed_at = now,
        None => {
            leases.insert(key.clone(), now);
        }
    }
}

fn expired_leases<K: Clone>(leases: &HashMap<K, u64>, lease_ms: u64, now: u64) -> Vec<K> {
    let renewed = leases
        .values()
        .filter(|renewed_at| now.saturating_sub(**renewed_at) <= lease_ms / 2)
        .count();
    if renewed * 100 < leases.len() * MIN_RENEWED_PERCENT {
        return Vec::new();
    }
    leases
        .iter()
        .filter(|(_, renewed_at)| now.saturating_sub(**renewed_at) > lease_ms)
        .map(|(key, _)| key.clone())
        .collect()
}
