//! What this process takes of its machine, as the kernel tells it.

use crate::status::report::ProcessStatus;
use std::fs;

/// Processor time in /proc is counted in hundredths of a second.
const TICK_MS: u64 = 10;
/// Places of user and system time behind the name in /proc/self/stat.
const USER_TIME_FIELD: usize = 11;
const SYSTEM_TIME_FIELD: usize = 12;

/// Zeros where the kernel tells nothing.
pub fn read() -> ProcessStatus {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let stat = fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let descriptors = fs::read_dir("/proc/self/fd").map_or(0, |entries| entries.count() as u64);
    ProcessStatus {
        memory_kb: kilobytes(&status, "VmRSS:"),
        peak_memory_kb: kilobytes(&status, "VmHWM:"),
        processor_ms: processor_ms(&stat),
        // The list itself is one of them.
        descriptors: descriptors.saturating_sub(1),
    }
}

fn kilobytes(status: &str, name: &str) -> u64 {
    let line = status.lines().find_map(|line| line.strip_prefix(name));
    line.and_then(|rest| rest.split_whitespace().next()?.parse().ok())
        .unwrap_or(0)
}

/// The name may hold spaces and parentheses; the fields are counted from behind its last one.
fn processor_ms(stat: &str) -> u64 {
    let behind_name = stat.rsplit_once(')').map_or("", |(_, rest)| rest);
    let fields: Vec<&str> = behind_name.split_whitespace().collect();
    let ticks = |field: usize| {
        fields
            .get(field)
            .and_then(|text| text.parse::<u64>().ok())
            .unwrap_or(0)
    };
    (ticks(USER_TIME_FIELD) + ticks(SYSTEM_TIME_FIELD)) * TICK_MS
}
