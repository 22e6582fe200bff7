//! Settings and addresses that the tests share.

use dunespur_gossip_membership::Settings;
use std::net::SocketAddrV4;

/// Settings for a few members, with seeds at the given ports.
pub fn settings(seeds: &[u16]) -> Settings {
    Settings {
        expected_members: 8,
        seeds: seeds.iter().map(|port| address(*port)).collect(),
        probe_interval: 1.0,
        probe_timeout: 0.3,
        suspicion_timeout: 3.0,
        gossip_interval: 0.2,
        rejoin_interval: 5.0,
        max_datagram_bytes: 1400,
    }
}

/// The loopback address with the given port.
pub fn address(port: u16) -> SocketAddrV4 {
    SocketAddrV4::new([127, 0, 0, 1].into(), port)
}
