//! When leases of each kind expire.

use super::{LeaseKind, LeaseTable};
use crate::messages::{LeaseRenewals, NodeLease};

fn lease(name: &str) -> NodeLease {
    NodeLease {
        name: name.to_owned(),
        incarnation: 1,
    }
}

fn nodes() -> Vec<NodeLease> {
    ["silent", "first", "second"].map(lease).to_vec()
}

/// A table in which all nodes but the silent one renew until `now`.
fn renewed_until(now: u64) -> LeaseTable {
    let mut table = LeaseTable::new(1_000);
    table.retain_nodes(nodes().into_iter(), 0);
    let renewals = LeaseRenewals {
        servers: Vec::new(),
        nodes: nodes().split_off(1),
    };
    table.renew(&renewals, now);
    table
}

#[test]
fn the_lease_of_a_store_expires_sooner_than_that_of_a_gateway() {
    for (kind, lasts_ms) in [(LeaseKind::Store, 1_200), (LeaseKind::Gateway, 2_500)] {
        let expired = |now| renewed_until(now).expired_nodes(kind, nodes().into_iter(), now);
        assert_eq!(expired(lasts_ms), []);
        assert_eq!(expired(lasts_ms + 1), [lease("silent")]);
    }
}

#[test]
fn nothing_expires_while_most_leases_of_a_kind_are_not_renewed() {
    let table = renewed_until(100);
    let expired = table.expired_nodes(LeaseKind::Store, nodes().into_iter(), 5_000);
    assert_eq!(expired, []);
}

#[test]
fn the_status_tells_how_long_a_lease_of_each_kind_lasts() {
    let kind_of = |node: &NodeLease| {
        if node.name == "silent" {
            LeaseKind::Gateway
        } else {
            LeaseKind::Store
        }
    };
    let status = renewed_until(700).status(kind_of, 10, 1_000);
    let leases: Vec<_> = status
        .iter()
        .map(|lease| (lease.holder.as_str(), lease.silent_ms, lease.lease_ms))
        .collect();
    assert_eq!(
        leases,
        [
            ("first", 300, 1_200),
            ("second", 300, 1_200),
            ("silent", 1_000, 2_500)
        ]
    );
}
