//! How long there is no spare copy after a store was wiped, replaced or emptied and taken away.
//!
//! `TURNS_FIRST` and `TURNS_SEEDS` in the environment play other worlds, and more of them.

#[allow(dead_code, unused_imports)] // Each test file uses a part of it.
mod world;

use dunespur_turn_replication::guards::Guards;
use world::{Absence, FaultKind, Plan, World};

/// Played unless the environment says otherwise.
const SEEDS: u64 = 6;
/// As the core members have it (`node::core::expiry`), the round in which they look included.
const LEASE_MS: u64 = 3_000;
/// As the stores have it (`node::store`).
const ABSENT_REPAIR_MS: u64 = 300;
/// The longest that there may be no spare copy: a machine that is gone for good is noticed within three seconds,
/// and what it held is copied then.
const MOST_MS: u64 = 4_200;

fn from_environment(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

fn plan(seed: u64) -> Plan {
    Plan {
        seed,
        stores: 3 + (seed % 3) as usize,
        zones: 3,
        tolerated: 1,
        programs: 12,
        most_input_bytes: 4_000,
        faults_until_ms: 60_000,
        faults: vec![
            FaultKind::Wipe,
            FaultKind::Replace,
            FaultKind::Add,
            FaultKind::Retire,
        ],
        final_fault: false,
        absence: Absence {
            lease_ms: LEASE_MS,
            repair_ms: ABSENT_REPAIR_MS,
        },
        guards: Guards::default(),
        core_guards: dunespur_control_state::Safeguards::default(),
    }
}

/// The value below which so many of a hundred lie.
fn percentile(sorted: &[u64], hundredths: usize) -> u64 {
    sorted[(sorted.len() - 1) * hundredths / 100]
}

#[test]
fn there_is_a_spare_copy_again_in_time() {
    let first = from_environment("TURNS_FIRST").unwrap_or(0);
    let count = from_environment("TURNS_SEEDS").unwrap_or(SEEDS);
    let windows: Vec<_> = (first..first + count)
        .flat_map(|seed| World::play(plan(seed)).windows)
        .collect();
    for kind in [FaultKind::Wipe, FaultKind::Replace, FaultKind::Retire] {
        let of_kind = windows.iter().filter(|window| window.after == kind);
        let mut lasted: Vec<u64> = of_kind.map(|window| window.lasted_ms).collect();
        lasted.sort_unstable();
        assert!(!lasted.is_empty(), "no {kind:?} was played");
        let [half, most, worst] = [50, 99, 100].map(|hundredths| percentile(&lasted, hundredths));
        eprintln!(
            "{kind:?}: {} times, p50 {half} ms, p99 {most} ms, worst {worst} ms",
            lasted.len()
        );
        assert!(worst < MOST_MS, "{kind:?}: {worst} ms");
    }
}
