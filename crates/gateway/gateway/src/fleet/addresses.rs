//! Addresses of the other limiters.

use crate::fleet::FleetMember;
use std::net::SocketAddrV4;

/// A name is contacted at its most recent addresses; if two processes share a name, at those of both.
pub(super) const MAX_ADDRESSES_PER_NAME: usize = 3;

/// Seconds after which an address that sent no further frame is forgotten.
pub(super) const ADDRESS_EXPIRY_S: f64 = 30.0;

impl FleetMember {
    /// Records the address from which a frame of the named limiter arrived.
    pub(super) fn learn_address(&mut self, name: &str, address: SocketAddrV4, now: f64) {
        if name == self.identity.name && address == self.config.listen {
            return;
        }
        // Limited by the fleet size in the file; expired addresses are removed first.
        let max_names = self.config.members.expected_members as usize * 2 + 16;
        if !self.addresses.contains_key(name) && self.addresses.len() >= max_names {
            self.addresses
                .retain(|_, heard| heard.iter().any(|entry| entry.1 > now - ADDRESS_EXPIRY_S));
            if self.addresses.len() >= max_names {
                return;
            }
        }
        let addresses = self.addresses.entry(name.to_owned()).or_default();
        addresses.retain(|entry| entry.0 != address && entry.1 > now - ADDRESS_EXPIRY_S);
        addresses.insert(0, (address, now));
        addresses.truncate(MAX_ADDRESSES_PER_NAME);
    }

    /// The addresses of a name: recent ones, or else the one in the voter list or the membership.
    pub(super) fn addresses_of(&self, name: &str) -> Vec<SocketAddrV4> {
        let recent = self
            .addresses
            .get(name)
            .into_iter()
            .flatten()
            .map(|entry| entry.0);
        let mut addresses: Vec<SocketAddrV4> = recent.collect();
        if addresses.is_empty() {
            let configured = self
                .config
                .voters
                .iter()
                .find(|voter| voter.0 == name)
                .map(|voter| voter.1);
            addresses.extend(
                configured.or_else(|| self.membership.find(name).map(|member| member.address)),
            );
        }
        addresses
    }
}
