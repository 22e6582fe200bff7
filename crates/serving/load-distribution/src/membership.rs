//! The gateways that are present, and which of them is the load aggregator of a service in a zone.
//!
//! Aggregators are found by rendezvous (highest-random-weight) hashing of the gateways present: all who know the same
//! membership find the same aggregator without communication, and a gateway that joins or departs moves only its own
//! services.

use std::net::SocketAddr;
use std::rc::Rc;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// One gateway that is present.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Gateway {
    /// The machine's name.
    pub name: Rc<str>,
    /// Its failure domain.
    pub zone: Rc<str>,
    /// Where the other gateways reach it.
    pub address: SocketAddr,
    /// Increases with each start of its process.
    pub incarnation: u64,
}

/// All gateways that are present.
#[derive(Clone, Debug, Default)]
pub struct Membership {
    gateways: Vec<Gateway>,
}

impl Membership {
    /// A membership of these gateways.
    #[must_use]
    pub fn new(gateways: Vec<Gateway>) -> Membership {
        Membership { gateways }
    }

    /// The gateway of that name.
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

    /// The load aggregator and its successors, in this order.
    #[must_use]
    pub fn ranked(&self, service: &str, zone: &str) -> Vec<&Gateway> {
        let key = key(service, zone);
        let mut ranked = self.candidates(zone);
        ranked.sort_by_key(|gateway| std::cmp::Reverse(rank(key, gateway)));
        ranked
    }

    /// Zones with gateways, in the order of their names.
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

    /// The zone's gateways, or all of them for a zone without any.
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

/// A service in a zone, as one number.
fn key(service: &str, zone: &str) -> u64 {
    xxh3_64_with_seed(service.as_bytes(), xxh3_64_with_seed(zone.as_bytes(), 0))
}

/// The gateway's weight for a key; the name decides between equal ones.
fn rank(key: u64, gateway: &Gateway) -> (u64, &str) {
    (
        xxh3_64_with_seed(gateway.name.as_bytes(), key),
        &gateway.name,
    )
}
