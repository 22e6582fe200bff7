//! Resource usage of this process, read from /proc.

use crate::status::report::ProcessStatus;
use std::fs;

/// Unit of processor time in /proc: a hundredth of a second, in milliseconds.
const TICK_MS: u64 = 10;
/// Positions of user and system time in /proc/self/stat, counted after the process name.
const USER_TIME_FIELD: usize = 11;
const SYSTEM_TIME_FIELD: usize = 12;

/// Reads the usage of this process; fields that can't be read are 0.
pub fn read() -> ProcessStatus {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let stat = fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let descriptors = fs::read_dir("/proc/self/fd").map_or(0, |entries| entries.count() as u64);
    ProcessStatus {
        memory_kb: kilobytes(&status, "VmRSS:"),
        peak_memory_kb: kilobytes(&status, "VmHWM:"),
        processor_ms: processor_ms(&stat),
        // Reading the folder opened one of the counted descriptors.
        descriptors: descriptors.saturating_sub(1),
    }
}

fn kilobytes(status: &str, name: &str) -> u64 {
    let line = status.lines().find_map(|line| line.strip_prefix(name));
    line.and_then(|rest| rest.split_whitespace().next()?.parse().ok())
        .unwrap_or(0)
}

/// Processor time from /proc/self/stat. The process name in parentheses may itself contain spaces and parentheses, so
/// fields are counted after the last closing parenthesis.
fn processor_ms(stat: &str) -> u64 {
    let after_name = stat.rsplit_once(')').map_or("", |(_, rest)| rest);
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let ticks = |field: usize| {
        fields
            .get(field)
            .and_then(|text| text.parse::<u64>().ok())
            .unwrap_or(0)
    };
    (ticks(USER_TIME_FIELD) + ticks(SYSTEM_TIME_FIELD)) * TICK_MS
}
