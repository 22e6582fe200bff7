//! Capacity of a store, derived from the limits of its machine.

use crate::settings::Settings;

/// Percentage of the disk that bodies may take. The database library doubles its file when it runs out of space, so the
/// file takes up to four times the size of its bodies (crates/serving/storage/tests/growth.rs).
const DISK_PERCENT: u64 = 25;
/// Assumed size of a disk of unknown size, in megabytes.
const UNKNOWN_DISK_MB: u64 = 256;
/// The index of turns may take this fraction (1/n) of the memory.
const MEMORY_DIVISOR: u64 = 8;
/// Memory of the index for one turn, in bytes.
const TURN_MEMORY_BYTES: u64 = 250;

/// Upper limits on what a store holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Capacity {
    /// Maximum bytes of bodies on the disk.
    pub bytes: u64,
    /// Maximum number of turns in the index.
    pub turns: usize,
}

impl Capacity {
    /// The capacity for these settings. Unreadable files that were set aside take `set_aside_bytes` of the disk.
    pub fn of(settings: &Settings, set_aside_bytes: u64) -> Capacity {
        let disk_bytes = settings.limits.disk_mb.unwrap_or(UNKNOWN_DISK_MB) << 20;
        let index_bytes = (settings.limits.memory_mb << 20) / MEMORY_DIVISOR;
        Capacity {
            bytes: disk_bytes.saturating_sub(set_aside_bytes) * DISK_PERCENT / 100,
            turns: (index_bytes / TURN_MEMORY_BYTES) as usize,
        }
    }
}
