//! Digests of bodies, so that bodies can be compared without being stored.

use std::fmt;
use xxhash_rust::xxh3::Xxh3;

/// Length and hash of a body.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct Digest {
    /// Length in bytes.
    pub length: u64,
    /// XXH3 hash of the bytes.
    pub hash: u64,
}

impl Digest {
    /// The digest of a complete body.
    #[must_use]
    pub fn of(bytes: &[u8]) -> Digest {
        Digester::default().with(bytes).finish()
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} bytes ({:016x})", self.length, self.hash)
    }
}

/// Computes the digest of a body that arrives in chunks.
#[derive(Clone, Default)]
pub(crate) struct Digester {
    state: Xxh3,
    length: u64,
}

impl fmt::Debug for Digester {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}", self.finish())
    }
}

impl Digester {
    pub fn push(&mut self, bytes: &[u8]) {
        self.state.update(bytes);
        self.length += bytes.len() as u64;
    }

    #[must_use]
    pub fn with(mut self, bytes: &[u8]) -> Digester {
        self.push(bytes);
        self
    }

    pub fn finish(&self) -> Digest {
        Digest {
            length: self.length,
            hash: self.state.digest(),
        }
    }
}
