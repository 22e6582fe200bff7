//! The gateways that are there, and which of them is the home of a service in a zone.
//!
//! Homes are found by highest-random-weight hashing over the gateways present: everybody who knows the same list
//! finds the same home without talk, and a gateway that comes or goes moves only its own services.

use std::net::SocketAddr;
use std::rc::Rc;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// One gateway that is there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Gateway {
    /// The machine's name.
    pub name: Rc<str>,
    /// Where it stands.
    pub zone: Rc<str>,
    /// Where the other gateways reach it.
    pub address: SocketAddr,
    /// Rises with each life of its process.
    pub life: u64,
}

/// All gateways that are there.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    gateways: Vec<Gateway>,
}

impl Roster {
    /// A list of gateways.
    pub fn new(gateways: Vec<Gateway>) -> Roster {
        Roster { gateways }
    }

    /// The gateway of that name.
    pub fn find(&self, name: &str) -> Option<&Gateway> {
        self.gateways.iter().find(|gateway| *gateway.name == *name)
    }

    /// The home of a service in a zone.
    pub fn home(&self, service: &str, zone: &str) -> Option<&Gateway> {
        let key = key(service, zone);
        self.candidates(zone)
            .into_iter()
            .max_by_key(|gateway| rank(key, gateway))
    }

    /// The home and who stands in for it, in this order.
    pub fn ranked(&self, service: &str, zone: &str) -> Vec<&Gateway> {
        let key = key(service, zone);
        let mut ranked = self.candidates(zone);
        ranked.sort_by_key(|gateway| std::cmp::Reverse(rank(key, gateway)));
        ranked
    }

    /// Zones with gateways, in the order of their names.
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
        match local.is_empty() {
            true => self.gateways.iter().collect(),
            false => local,
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
