//! Lease sweeps: gossip of lease renewals between core members, and expiry of leases that were not renewed in time.

use super::Coordinator;
use crate::messages::{encode, LeaseRenewals, Request};
use std::net::SocketAddr;

impl Coordinator {
    /// Records lease renewals reported by another member, or by a store for its own lease.
    pub fn receive_renewals(&self, renewals: &LeaseRenewals) {
        let now = self.clock.now();
        // After a process was frozen, its sockets may hold outdated renewals.
        if self.replica.borrow().is_current(now) {
            self.leases.borrow_mut().renew_from_member(renewals, now);
        }
    }

    /// Addresses of processes that may have lost contact with the core: seeds and remembered nodes that have not
    /// renewed their lease recently. A restarted machine without a disk knows only its seeds, which may have restarted
    /// too. Empty unless this member is up to date; remembered nodes only at the head, which learns of all renewals.
    pub fn unreached_processes(&self, seeds: &[SocketAddr]) -> Vec<SocketAddr> {
        let now = self.clock.now();
        let replica = self.replica.borrow();
        if !replica.serves_reads(now) {
            return Vec::new();
        }
        self.leases
            .borrow()
            .unreached_processes(&replica, &self.own_peer.id, seeds, now)
    }

    /// Gossips renewals to the other members; at the head of the chain also proposes the operations for expired leases.
    /// Also frees the newest encoded update, as most watches that wait for a change have been answered by then.
    pub(super) fn run_lease_sweep(&self, now: u64) {
        self.encoded_updates.borrow_mut().clear();
        let gossip_due = self.leases.borrow_mut().begin_sweep(now);
        if gossip_due {
            self.gossip_renewals();
        }
        let operations =
            self.leases
                .borrow_mut()
                .expired(&self.replica.borrow(), &self.own_peer.id, now);
        for operation in operations {
            log::info!("a lease has expired; proposing {operation:?}");
            drop(self.propose(&operation));
        }
    }

    fn gossip_renewals(&self) {
        let renewals = self.leases.borrow_mut().take_unreported();
        if renewals == LeaseRenewals::default() {
            return;
        }
        let payload = encode(&Request::LeaseRenewals(renewals));
        for address in self.replica.borrow().other_members(&self.own_peer.id) {
            self.links.send(address, payload.clone());
        }
    }
}
