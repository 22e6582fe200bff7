//! Where the other limiters are reached.

use crate::fleet::Fleet;
use std::net::SocketAddrV4;

/// Names are reached where they were last heard; two of one name both.
pub(super) const MAX_ADDRESSES_PER_NAME: usize = 3;

pub(super) const ADDRESS_EXPIRY: f64 = 30.0;

impl Fleet {
    pub(super) fn learn_address(&mut self, name: &str, at: SocketAddrV4, now: f64) {
        if name == self.identity.name && at == self.plan.listen {
            return;
        }
        // Bounded by the fleet's size in the file, and by time.
        let most = self.plan.members.expected_members as usize * 2 + 16;
        if !self.addresses.contains_key(name) && self.addresses.len() >= most {
            self.addresses
                .retain(|_, p| p.iter().any(|p| p.1 > now - ADDRESS_EXPIRY));
            if self.addresses.len() >= most {
                return;
            }
        }
        let places = self.addresses.entry(name.to_owned()).or_default();
        places.retain(|p| p.0 != at && p.1 > now - ADDRESS_EXPIRY);
        places.insert(0, (at, now));
        places.truncate(MAX_ADDRESSES_PER_NAME);
    }

    /// Where a name is reached.
    pub(super) fn addresses_of(&self, name: &str) -> Vec<SocketAddrV4> {
        let heard = self.addresses.get(name).into_iter().flatten().map(|p| p.0);
        let mut places: Vec<SocketAddrV4> = heard.collect();
        if places.is_empty() {
            let listed = self.plan.voters.iter().find(|v| v.0 == name).map(|v| v.1);
            places.extend(listed.or_else(|| self.members.find(name).map(|m| m.address)));
        }
        places
    }
}
