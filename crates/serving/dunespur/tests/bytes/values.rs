//! Values used in several messages.

use bytes::Bytes;
use dunespur::messages::{LeaseRenewals, NodeLease};
use dunespur_chain_replication::{MemberId, Peer, View};
use dunespur_control_state::{ServerReport, ServerState};
use dunespur_load_distribution::ServerLoad;
use dunespur_turn_replication::turn::Turn;
use std::net::SocketAddr;

pub fn address(last_octet: u8, port: u16) -> SocketAddr {
    SocketAddr::from(([10, 1, 2, last_octet], port))
}

pub fn member(number: u8) -> MemberId {
    MemberId {
        node: format!("core-{number}"),
        disk: 0x1122_3344_5566_7700 + u64::from(number),
    }
}

pub fn peer(number: u8) -> Peer {
    Peer {
        id: member(number),
        address: address(number, 7100),
    }
}

pub fn view(number: u64) -> View {
    View {
        number,
        members: vec![peer(1), peer(2), peer(3)],
        chain: vec![member(2), member(3)],
    }
}

pub fn lease_renewals() -> LeaseRenewals {
    LeaseRenewals {
        servers: vec!["server-1".to_owned(), "server-2".to_owned()],
        nodes: vec![NodeLease {
            name: "front-7".to_owned(),
            incarnation: 1_764_680_000_123,
        }],
    }
}

pub fn turn() -> Turn {
    Turn {
        id: "r-2".to_owned(),
        previous: Some("r-1".to_owned()),
        program: "program-5".to_owned(),
        input: Bytes::from_static(b"input"),
        output: Bytes::from_static(b"output\n"),
        ended_at_ms: 1_764_680_000_456,
        retention_ms: 90_000,
    }
}

pub fn loads() -> Vec<ServerLoad> {
    vec![ServerLoad {
        server: "server-1".into(),
        in_flight: 3,
        prefill_tokens: 4_000,
        ejected_by: 2,
    }]
}

pub fn server_report() -> ServerReport {
    ServerReport {
        id: "server-1".to_owned(),
        backend: "models".to_owned(),
        address: address(40, 9000),
        zone: "zone-a".to_owned(),
        generation: "v7".to_owned(),
        slots: 8,
        state: ServerState::Draining,
        sequence: 300,
    }
}
