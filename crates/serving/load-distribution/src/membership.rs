//! The gateways that are present, and the load aggregator of each service in each zone.
//!
//! Rendezvous (highest-random-weight) hashing of the gateways present selects the aggregators. Gateways with the same
//! membership select the same aggregator without communication, and only the services of a gateway that joins or
//! departs move.

use std::net::SocketAddr;
use std::rc::Rc;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A gateway that is present.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Gateway {
    /// The name of the gateway's machine.
    pub name: Rc<str>,
    /// The gateway's failure domain.
    pub zone: Rc<str>,
    /// The address at which other gateways reach this one.
    pub address: SocketAddr,
    /// Increases with each start of the gateway's process.
    pub incarnation: u64,
}

/// All gateways that are present.
#[derive(Clone, Debug, Default)]
pub struct Membership {
    gateways: Vec<Gateway>,
}

impl Membership {
    /// Creates a membership of these gateways.
    #[must_use]
    pub fn new(gateways: Vec<Gateway>) -> Membership {
        Membership { gateways }
    }

    /// The gateway with this name, if it is present.
    #[must_use]
    pub fn find(&self, name: &str) -> Option<&Gateway> {
        self.gateways.iter().find(|gateway| *gateway.name == *name)
    }

    /// The load aggregator of a service in a zone.
    #[must_use]
    pub fn aggregator(&self, service: &str, zone: &str) -> Option<&Gateway> {
        let key = key(service, zone);
        self.candidates(zone)
            .into_iter()
            .max_by_key(|gateway| rank(key, gateway))
    }

    /// The load aggregator of a service in a zone, followed by its successors in order.
    #[must_use]
    pub fn ranked(&self, service: &str, zone: &str) -> Vec<&Gateway> {
        let key = key(service, zone);
        let mut ranked = self.candidates(zone);
        ranked.sort_by_key(|gateway| std::cmp::Reverse(rank(key, gateway)));
        ranked
    }

    /// The zones that have gateways, sorted by name.
    #[must_use]
    pub fn zones(&self) -> Vec<Rc<str>> {
        let mut zones: Vec<Rc<str>> = self
            .gateways
            .iter()
            .map(|gateway| gateway.zone.clone())
            .collect();
        zones.sort_unstable();
        zones.dedup();
        zones
    }

    /// The gateways of a zone, or all gateways if the zone has none.
    fn candidates(&self, zone: &str) -> Vec<&Gateway> {
        let local: Vec<&Gateway> = self
            .gateways
            .iter()
            .filter(|gateway| *gateway.zone == *zone)
            .collect();
        if local.is_empty() {
            self.gateways.iter().collect()
        } else {
            local
        }
    }
}

/// The rendezvous key of a service in a zone.
fn key(service: &str, zone: &str) -> u64 {
    xxh3_64_with_seed(service.as_bytes(), xxh3_64_with_seed(zone.as_bytes(), 0))
}

/// The rank of a gateway for a key: its weight, and its name to break ties.
fn rank(key: u64, gateway: &Gateway) -> (u64, &str) {
    (
        xxh3_64_with_seed(gateway.name.as_bytes(), key),
        &gateway.name,
    )
}
