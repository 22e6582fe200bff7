//! Limits the time without a spare replica after a store was wiped, replaced, or drained and removed.
//!
//! The environment variables `TURNS_FIRST` and `TURNS_SEEDS` set the first seed and the number of seeds.

#[allow(dead_code, unused_imports)] // Each test file uses only a part of this module.
mod world;

use world::{AbsenceTimeouts, FaultKind, Plan, World};

/// Number of seeds unless `TURNS_SEEDS` is set.
const SEEDS: u64 = 6;
/// Lease of the core members, including the interval at which they check leases, in milliseconds.
const LEASE_MS: u64 = 1_450;
/// Time of absence after which stores replace a store, in milliseconds.
const ABSENT_REPAIR_MS: u64 = 100;
/// Maximum time without a spare replica, in milliseconds. A removed machine is detected within 1.7 s; the
/// remaining time is for replicating its turns.
const MAX_EXPOSURE_MS: u64 = 3_200;

fn from_environment(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

fn plan(seed: u64) -> Plan {
    let faults = [
        FaultKind::Wipe,
        FaultKind::Replace,
        FaultKind::Add,
        FaultKind::Retire,
    ];
    Plan {
        stores: 3 + (seed % 3) as usize,
        faults_until_ms: 60_000,
        absence: AbsenceTimeouts {
            lease_ms: LEASE_MS,
            repair_ms: ABSENT_REPAIR_MS,
        },
        ..Plan::new(seed, &faults)
    }
}

/// The value at this percentile of sorted values.
fn percentile(sorted: &[u64], percent: usize) -> u64 {
    sorted[(sorted.len() - 1) * percent / 100]
}

#[test]
fn a_spare_replica_exists_again_in_time() {
    let first = from_environment("TURNS_FIRST").unwrap_or(0);
    let count = from_environment("TURNS_SEEDS").unwrap_or(SEEDS);
    let windows: Vec<_> = (first..first + count)
        .flat_map(|seed| World::run(plan(seed)).exposure_windows)
        .collect();
    for kind in [FaultKind::Wipe, FaultKind::Replace, FaultKind::Retire] {
        let of_kind = windows.iter().filter(|window| window.fault == kind);
        let mut durations_ms: Vec<u64> = of_kind.map(|window| window.duration_ms).collect();
        durations_ms.sort_unstable();
        assert!(
            !durations_ms.is_empty(),
            "no fault of kind {kind:?} happened"
        );
        let [p50, p99, worst] = [50, 99, 100].map(|percent| percentile(&durations_ms, percent));
        eprintln!(
            "{kind:?}: {} times, p50 {p50} ms, p99 {p99} ms, worst {worst} ms",
            durations_ms.len()
        );
        assert!(
            worst < MAX_EXPOSURE_MS,
            "{kind:?}: {worst} ms, limit {MAX_EXPOSURE_MS} ms"
        );
    }
}
