//! Leases of servers and nodes: gossip of renewals between core members, and the expiry of those not renewed in time.

use super::Coordinator;
use crate::messages::{encode, LeaseRenewals, Request};
use std::net::SocketAddr;

impl Coordinator {
    /// Leases that another member reports as renewed, or a store its own.
    pub fn receive_renewals(&self, renewals: &LeaseRenewals) {
        let now = self.clock.now();
        // A process that was frozen finds renewals of long ago in its sockets.
        if self.replica.borrow().is_current(now) {
            self.leases.borrow_mut().renew_from_member(renewals, now);
        }
    }

    /// Processes that may have lost the core: those that seeds name or that are remembered, and did not renew their
    /// lease lately. A machine without a disk that restarts knows only its seeds, and these may have restarted too.
    /// Empty unless this member follows the chain; remembered ones only at its head, which learns of all renewals.
    pub fn unreached(&self, seeds: &[SocketAddr]) -> Vec<SocketAddr> {
        let now = self.clock.now();
        let replica = self.replica.borrow();
        if !replica.serves_reads(now) {
            return Vec::new();
        }
        self.leases
            .borrow()
            .unreached(&replica, &self.own.id, seeds, now)
    }

    /// Reports to the other members which leases were renewed here; the head of the chain proposes the operations
    /// for those that have expired.
    pub(super) fn run_lease_sweep(&self, now: u64) {
        let gossips = self.leases.borrow_mut().begin_sweep(now);
        if gossips {
            self.gossip_renewals();
        }
        let operations =
            self.leases
                .borrow_mut()
                .expired(&self.replica.borrow(), &self.own.id, now);
        for operation in operations {
            log::info!("lapsed: {operation:?}");
            drop(self.propose(&operation));
        }
    }

    fn gossip_renewals(&self) {
        let renewals = self.leases.borrow_mut().take_unreported();
        if renewals == LeaseRenewals::default() {
            return;
        }
        let payload = encode(&Request::LeaseRenewals(renewals));
        for address in self.replica.borrow().other_members(&self.own.id) {
            self.links.send(address, payload.clone());
        }
    }
}
