//! How much a store takes, by what its machine grants it.

use crate::settings::Settings;

/// Percentage of the disk that bodies may take. The library doubles the file when it needs more, so that it takes up to
/// four times the bodies in it (crates/serving/storage/tests/growth.rs).
const DISK_PERCENT: u64 = 25;
/// Of a disk of unknown size, in megabytes.
const UNKNOWN_DISK_MB: u64 = 256;
/// The index of turns may take this fraction of the memory.
const MEMORY_DIVISOR: u64 = 8;
/// What the index takes for one turn.
const TURN_MEMORY_BYTES: u64 = 250;

/// The most that a store takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Capacity {
    /// Bytes of bodies on the disk.
    pub bytes: u64,
    /// Turns in the index.
    pub turns: usize,
}

impl Capacity {
    /// The capacity beside files that were set aside, which take so many bytes.
    pub fn of(settings: &Settings, aside_bytes: u64) -> Capacity {
        let disk_bytes = settings.limits.disk_mb.unwrap_or(UNKNOWN_DISK_MB) << 20;
        let index_bytes = (settings.limits.memory_mb << 20) / MEMORY_DIVISOR;
        Capacity {
            bytes: disk_bytes.saturating_sub(aside_bytes) * DISK_PERCENT / 100,
            turns: (index_bytes / TURN_MEMORY_BYTES) as usize,
        }
    }
}
