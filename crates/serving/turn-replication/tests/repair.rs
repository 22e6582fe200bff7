//! Limits the time until each of thousands of turns has a second replica again, after one store or two stores are lost
//! at the same time.
//!
//! The environment variables `TURNS_FIRST` and `TURNS_SEEDS` set the first seed and the number of seeds.

#[allow(dead_code, unused_imports)] // Each test file uses only a part of this module.
mod world;

use std::thread;

use world::{AbsenceTimeouts, ExposureWindow, FaultKind, Plan, World, CATCH_UP_MS};

/// Number of seeds unless `TURNS_SEEDS` is set.
const SEEDS: u64 = 4;
/// Number of simulations that run in parallel.
const THREADS: u64 = 4;
/// Minimum number of turns that some store must hold.
const MIN_TURNS: usize = 2_000;
/// Lease of the core members, including the interval at which they check leases, in milliseconds.
const LEASE_MS: u64 = 1_450;
/// Time of absence after which stores replace a store, in milliseconds.
const ABSENT_REPAIR_MS: u64 = 100;
/// Maximum time that a turn may be on a single disk after the successor of the lost machine has started, in
/// milliseconds. The next machine may be lost once the successor has had the time to catch up; half of that time is
/// kept in reserve.
const MAX_SECOND_REPLICA_MS: u64 = CATCH_UP_MS / 2;

fn from_environment(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

fn plan(seed: u64, stores: usize, tolerated_losses: usize) -> Plan {
    Plan {
        stores,
        tolerated_losses,
        programs: 40,
        max_input_bytes: 6_000,
        faults_until_ms: 60_000,
        absence: AbsenceTimeouts {
            lease_ms: LEASE_MS,
            repair_ms: ABSENT_REPAIR_MS,
        },
        ..Plan::new(seed, &[FaultKind::Wipe, FaultKind::Replace])
    }
}

fn windows(plan_for_seed: impl Fn(u64) -> Plan + Sync) -> Vec<ExposureWindow> {
    let first = from_environment("TURNS_FIRST").unwrap_or(0);
    let count = from_environment("TURNS_SEEDS").unwrap_or(SEEDS);
    let run_seeds = |offset: u64| {
        let seeds = (first + offset..first + count).step_by(THREADS as usize);
        let windows = seeds.flat_map(|seed| {
            let statistics = World::run(plan_for_seed(seed));
            assert!(statistics.max_stored_turns > MIN_TURNS, "{statistics:?}");
            statistics.exposure_windows
        });
        windows.collect::<Vec<_>>()
    };
    thread::scope(|scope| {
        let run_seeds = &run_seeds;
        let threads: Vec<_> = (0..THREADS)
            .map(|offset| scope.spawn(move || run_seeds(offset)))
            .collect();
        let results = threads.into_iter().map(|thread| thread.join());
        results
            .flat_map(|windows| windows.expect("no invariant is violated"))
            .collect()
    })
}

/// The value at this percentile of sorted values.
fn percentile(sorted: &[u64], percent: usize) -> u64 {
    sorted[(sorted.len() - 1) * percent / 100]
}

fn check_second_replica_times(windows: &[ExposureWindow]) {
    for kind in [FaultKind::Wipe, FaultKind::Replace] {
        let of_kind = windows.iter().filter(|window| window.fault == kind);
        let mut durations_ms: Vec<u64> = of_kind
            .map(|window| window.second_replica_after_start_ms)
            .collect();
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
            worst <= MAX_SECOND_REPLICA_MS,
            "{kind:?}: {worst} ms, limit {MAX_SECOND_REPLICA_MS} ms"
        );
    }
}

#[test]
fn no_turn_is_on_a_single_disk_for_long_after_one_loss() {
    check_second_replica_times(&windows(|seed| plan(seed, 3 + (seed % 3) as usize, 1)));
}

#[test]
fn no_turn_is_on_a_single_disk_for_long_after_two_losses() {
    check_second_replica_times(&windows(|seed| plan(seed, 6 + (seed % 3) as usize, 2)));
}
