//! Identity of a disk's contents.
//!
//! A process's incarnation changes with each restart. A disk's identity survives restarts, and changes only when the
//! contents are lost and the file is created again.

use std::collections::hash_map::RandomState;
use std::hash::{BuildHasher, Hasher};
use std::time::SystemTime;

/// Identifies the contents of a disk. A disk that was lost or wiped gets another number, so that acknowledgements given
/// for the earlier contents are not attributed to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DiskIdentity {
    /// Random number, drawn when the file was created.
    pub disk: u64,
    /// Whether the disk may lack data that it should hold. A core member's disk is fresh if the file was created just
    /// now; a turn store's until [`TurnDisk::mark_complete`](crate::turns::TurnDisk::mark_complete) was called.
    pub fresh: bool,
}

/// An opened disk, its identity and its stored contents.
#[derive(Debug)]
pub struct OpenedDisk<D, C> {
    /// The open database.
    pub disk: D,
    /// Identity of the contents.
    pub identity: DiskIdentity,
    /// The contents that were loaded.
    pub contents: C,
}

/// Draws a number for a new file. The standard library's hash keys come from the operating system's random source; the
/// time and the process id are mixed in, in case that source is weak.
pub(crate) fn random_disk_number() -> u64 {
    let mut hasher = RandomState::new().build_hasher();
    let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    hasher.write_u128(since_epoch.map_or(0, |time| time.as_nanos()));
    hasher.write_u32(std::process::id());
    hasher.finish()
}
