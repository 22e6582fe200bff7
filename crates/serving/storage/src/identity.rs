//! Which incarnation of its contents a disk has.
//!
//! It is not the incarnation of a process: that one names a run of the process and changes with each restart, while
//! that of a disk's contents outlasts restarts and changes only when the contents are lost and the file is made anew.

use std::collections::hash_map::RandomState;
use std::hash::{BuildHasher, Hasher};
use std::time::SystemTime;

/// Names the contents of a disk. A disk that was lost or wiped comes back under another number: acknowledgements of its
/// earlier contents don't hold for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DiskIdentity {
    /// Drawn at random when the file was made.
    pub disk: u64,
    /// Nothing may be expected of the contents. Of a core member's disk: the file was made just now. Of a turn store's:
    /// it was never marked complete, see [`TurnDisk::mark_complete`](crate::turns::TurnDisk::mark_complete).
    pub fresh: bool,
}

/// A disk that was opened, and what was found on it.
#[derive(Debug)]
pub struct Opened<D, C> {
    /// For reading and writing.
    pub disk: D,
    /// Which incarnation of the contents it is; not that of the process that opened it.
    pub identity: DiskIdentity,
    /// What was found.
    pub contents: C,
}

/// A number for a new file. The standard library's hash keys come from the operating system's random source; time and
/// process are mixed in should that be poor.
pub(crate) fn random_disk_number() -> u64 {
    let mut hasher = RandomState::new().build_hasher();
    let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    hasher.write_u128(since_epoch.map_or(0, |time| time.as_nanos()));
    hasher.write_u32(std::process::id());
    hasher.finish()
}
