//! How much free memory the allocator of the C library retains. Memory is paid for all the time, and peaks are short.

#[cfg(target_env = "gnu")]
use libc::{mallopt, M_ARENA_MAX, M_MMAP_THRESHOLD, M_TOP_PAD, M_TRIM_THRESHOLD};

/// Blocks from this size on are mapped and given back one by one. Stated, as the library otherwise raises the bound
/// to the size of the largest block freed so far, and keeps blocks below it.
#[cfg(target_env = "gnu")]
const MAPPED_BYTES: i32 = 128 << 10;
/// Free memory at the end of the heap beyond this goes back.
#[cfg(target_env = "gnu")]
const FREE_BYTES: i32 = 64 << 10;
/// The heap grows by so much at a time.
#[cfg(target_env = "gnu")]
const GROWTH_BYTES: i32 = 32 << 10;

/// Keeps little free memory, and one heap for all threads: the thread of a disk works rarely and leaves its peaks
/// behind in a heap of its own otherwise. To be called before a thread is started.
pub fn keep_little() {
    #[cfg(target_env = "gnu")]
    for (option, value) in [
        (M_ARENA_MAX, 1),
        (M_MMAP_THRESHOLD, MAPPED_BYTES),
        (M_TRIM_THRESHOLD, FREE_BYTES),
        (M_TOP_PAD, GROWTH_BYTES),
    ] {
        // SAFETY: mallopt takes any numbers, and one that it can't use has no effect. No other thread runs yet.
        unsafe { mallopt(option, value) };
    }
}
