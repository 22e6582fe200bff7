//! Rendezvous (highest-random-weight) hashing, after Thaler and Ravishankar, 1998. Without
//! communication, every gateway orders the same servers alike for a key, and only the keys of a server that joins or
//! leaves move.

use xxhash_rust::xxh3::xxh3_64;

/// The hash of a server's, program's or gateway's name.
pub(crate) fn name_hash(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

/// The weight of a server for a key; the server with the highest weight is preferred.
pub(crate) fn weight(server: u64, key: u64) -> u64 {
    mix(server ^ mix(key))
}

/// A weight as a fraction of the maximum weight, from 0 to 1.
pub(crate) fn weight_fraction(weight: u64) -> f64 {
    weight as f64 / u64::MAX as f64
}

/// The finalizer of splitmix64.
fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// A hasher for keys that are ids or hashes already, which need only the finalizer.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct IdHasher(u64);

impl std::hash::Hasher for IdHasher {
    fn finish(&self) -> u64 {
        self.0
    }

    fn write(&mut self, bytes: &[u8]) {
        self.0 = mix(self.0 ^ xxh3_64(bytes));
    }

    fn write_u64(&mut self, id: u64) {
        self.0 = mix(id);
    }
}

/// A hash map whose keys are ids.
pub(crate) type IdMap<V> =
    std::collections::HashMap<u64, V, std::hash::BuildHasherDefault<IdHasher>>;
