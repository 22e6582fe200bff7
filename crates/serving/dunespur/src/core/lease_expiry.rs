//! Detects expired leases and creates the operations that record them. Only the head of the chain decides on expiry,
//! in sweeps at a fixed interval.

use super::lease_table::{LeaseKind, LeaseTable};
use super::replica::Replica;
use crate::messages::{LeaseRenewals, NodeLease};
use crate::status::LeaseStatus;
use dunespur_chain_replication::MemberId;
use dunespur_control_state::{ControlState, Operation};
use std::collections::{BTreeSet, HashSet};
use std::net::SocketAddr;

/// Interval between two sweeps for expired leases, in milliseconds.
const LEASE_SWEEP_INTERVAL_MS: u64 = 250;
/// Renewals are gossiped to the other members at every second sweep.
const SWEEPS_PER_GOSSIP: u64 = 2;

/// The leases known to one core member, and the schedule of its sweeps.
pub struct LeaseExpiry {
    table: LeaseTable,
    next_sweep: u64,
    sweeps: u64,
    /// Whether this member decided on expiry at the last sweep.
    decided_last_sweep: bool,
}

impl LeaseExpiry {
    /// Creates an empty table; the first sweep is due one interval after `now`.
    pub fn new(heartbeat_ms: u64, now: u64) -> LeaseExpiry {
        LeaseExpiry {
            table: LeaseTable::new(heartbeat_ms),
            next_sweep: now + LEASE_SWEEP_INTERVAL_MS,
            sweeps: 0,
            decided_last_sweep: false,
        }
    }

    /// Time of the next sweep, in steady milliseconds.
    pub fn next_sweep(&self) -> u64 {
        self.next_sweep
    }

    /// Starts a sweep and schedules the next one; returns whether this sweep also gossips renewals.
    #[must_use]
    pub fn begin_sweep(&mut self, now: u64) -> bool {
        self.next_sweep = now + LEASE_SWEEP_INTERVAL_MS;
        self.sweeps += 1;
        self.sweeps.is_multiple_of(SWEEPS_PER_GOSSIP)
    }

    /// Records renewals that a gateway or store sent with its watch, to be reported to the other members.
    pub fn renew_from_watch(&mut self, renewals: &LeaseRenewals, now: u64) {
        self.table.renew_and_report(renewals, now);
    }

    /// Records renewals reported by another member, or by a store itself.
    pub fn renew_from_member(&mut self, renewals: &LeaseRenewals, now: u64) {
        self.table.renew(renewals, now);
    }

    /// Takes the renewals that are not yet reported to the other members.
    pub fn take_unreported(&mut self) -> LeaseRenewals {
        self.table.take_unreported()
    }

    /// Status of at most `max_leases` leases.
    pub fn status(&self, state: &ControlState, max_leases: usize, now: u64) -> Vec<LeaseStatus> {
        let stores: HashSet<NodeLease> = store_leases(state).collect();
        let kind_of = |node: &NodeLease| {
            if stores.contains(node) {
                LeaseKind::Store
            } else {
                LeaseKind::Gateway
            }
        };
        self.table.status(kind_of, max_leases, now)
    }

    /// Operations for expired leases. Empty unless this member is the head of the chain and was so at the last sweep.
    pub fn expired(&mut self, replica: &Replica, own_id: &MemberId, now: u64) -> Vec<Operation> {
        let decides_expiry =
            replica.is_head(own_id) && replica.is_current(now) && replica.applied().is_readable();
        if !decides_expiry || !self.decided_last_sweep {
            self.table.renew_all(now);
            self.decided_last_sweep = decides_expiry;
            return Vec::new();
        }
        let state = replica.state();
        self.retain_known(state, now);
        let mut operations = self.expired_servers(state, now);
        operations.extend(self.expired_nodes(state, now));
        operations
    }

    /// Removes leases of servers and nodes that left the control state, and starts leases of new ones.
    fn retain_known(&mut self, state: &ControlState, now: u64) {
        self.table
            .retain_servers(state.servers().map(|server| server.id.as_str()), now);
        self.table
            .retain_nodes(store_leases(state).chain(gateway_leases(state)), now);
        let names: Vec<String> = remembered_nodes(state)
            .into_iter()
            .map(|node| node.name)
            .collect();
        self.table
            .retain_last_renewals(names.iter().map(String::as_str));
    }

    fn expired_servers(&self, state: &ControlState, now: u64) -> Vec<Operation> {
        let expired = self
            .table
            .expired_servers(now)
            .into_iter()
            .filter_map(|id| {
                let last_sequence = state.server(&id)?.sequence;
                Some(Operation::ServerExpired { id, last_sequence })
            });
        expired.collect()
    }

    fn expired_nodes(&self, state: &ControlState, now: u64) -> Vec<Operation> {
        let stores = store_leases(state);
        let mut nodes = self.table.expired_nodes(LeaseKind::Store, stores, now);
        let gateways = gateway_leases(state);
        nodes.extend(self.table.expired_nodes(LeaseKind::Gateway, gateways, now));
        let expired = nodes.into_iter();
        expired
            .map(|node| Operation::NodeExpired {
                name: node.name,
                incarnation: node.incarnation,
            })
            .collect()
    }

    /// Addresses of processes that are not core members and have not renewed their lease recently: seeds, and at the
    /// head of the chain also gateways and stores that may come back.
    pub fn unreached_processes(
        &self,
        replica: &Replica,
        own_id: &MemberId,
        seeds: &[SocketAddr],
        now: u64,
    ) -> Vec<SocketAddr> {
        let mut reached: BTreeSet<SocketAddr> = replica.member_addresses().collect();
        let mut candidates: BTreeSet<SocketAddr> = seeds.iter().copied().collect();
        for node in remembered_nodes(replica.state()) {
            if self.table.renewed_recently(&node.name, now) {
                reached.insert(node.address);
            } else if replica.is_head(own_id) {
                candidates.insert(node.address);
            }
        }
        candidates.difference(&reached).copied().collect()
    }
}

/// A gateway or store that may return after its lease has expired.
struct RememberedNode {
    name: String,
    address: SocketAddr,
}

/// All gateways and stores that may return after their lease has expired.
fn remembered_nodes(state: &ControlState) -> Vec<RememberedNode> {
    let gateways = state.recorded_gateways().map(|gateway| RememberedNode {
        name: gateway.name.clone(),
        address: gateway.address,
    });
    let stores = state.stores().filter(|store| !store.retired);
    let stores = stores.map(|store| RememberedNode {
        name: store.name,
        address: store.address,
    });
    gateways.chain(stores).collect()
}

/// Leases of the present stores.
fn store_leases(state: &ControlState) -> impl Iterator<Item = NodeLease> + '_ {
    let present = state.stores().filter(|store| store.present);
    present.map(|store| NodeLease {
        name: store.name,
        incarnation: store.incarnation,
    })
}

/// Leases of the present gateways.
fn gateway_leases(state: &ControlState) -> impl Iterator<Item = NodeLease> + '_ {
    let present = state.gateways();
    present.map(|gateway| NodeLease {
        name: gateway.name.clone(),
        incarnation: gateway.incarnation,
    })
}
