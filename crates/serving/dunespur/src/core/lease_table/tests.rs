//! Expiry of leases of each kind.

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

/// A table in which all nodes except `silent` renewed their lease at `now`.
fn table_renewed_at(now: u64) -> LeaseTable {
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
fn a_store_lease_expires_sooner_than_a_gateway_lease() {
    for (kind, duration_ms) in [(LeaseKind::Store, 1_200), (LeaseKind::Gateway, 2_500)] {
        let expired = |now| table_renewed_at(now).expired_nodes(kind, nodes().into_iter(), now);
        assert_eq!(expired(duration_ms), []);
        assert_eq!(expired(duration_ms + 1), [lease("silent")]);
    }
}

#[test]
fn nothing_expires_while_most_leases_of_a_kind_are_not_renewed() {
    let table = table_renewed_at(100);
    let expired = table.expired_nodes(LeaseKind::Store, nodes().into_iter(), 5_000);
    assert_eq!(expired, []);
}

#[test]
fn the_status_reports_the_duration_of_each_kind_of_lease() {
    let kind_of = |node: &NodeLease| {
        if node.name == "silent" {
            LeaseKind::Gateway
        } else {
            LeaseKind::Store
        }
    };
    let status = table_renewed_at(700).status(kind_of, 10, 1_000);
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
