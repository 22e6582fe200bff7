//! Limits the free memory that the C library's allocator retains: peaks of memory use are short, while retained memory
//! is paid for all the time.

#[cfg(target_env = "gnu")]
use libc::{mallopt, M_ARENA_MAX, M_MMAP_THRESHOLD, M_TOP_PAD, M_TRIM_THRESHOLD};

/// Blocks of at least this size are mapped and unmapped individually. Set explicitly, as the library otherwise raises
/// the threshold to the size of the largest block freed so far and retains smaller blocks.
#[cfg(target_env = "gnu")]
const MMAP_THRESHOLD_BYTES: i32 = 128 << 10;
/// Free memory at the end of the heap beyond this size is returned to the kernel.
#[cfg(target_env = "gnu")]
const TRIM_THRESHOLD_BYTES: i32 = 64 << 10;
/// The heap grows in steps of this size.
#[cfg(target_env = "gnu")]
const HEAP_GROWTH_BYTES: i32 = 32 << 10;

/// Limits retained memory and uses one heap for all threads: a disk thread works rarely, and a heap of its own would
/// retain the peaks. Must be called before any thread is started.
pub fn limit_retained_memory() {
    #[cfg(target_env = "gnu")]
    for (option, value) in [
        (M_ARENA_MAX, 1),
        (M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES),
        (M_TRIM_THRESHOLD, TRIM_THRESHOLD_BYTES),
        (M_TOP_PAD, HEAP_GROWTH_BYTES),
    ] {
        // SAFETY: mallopt accepts any numbers and ignores unusable ones. No other thread runs yet.
        unsafe { mallopt(option, value) };
    }
}
