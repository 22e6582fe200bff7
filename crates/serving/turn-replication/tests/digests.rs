//! Compares the digests of simulations with recorded digests, for 100 seeds of each kind. A change that does not alter
//! the behaviour, such as a renaming, leaves all digests as they are.
//!
//! `fixtures/world-digests.txt` has a line for each simulation: its kind, its seed and its digest.

#[allow(dead_code, unused_imports)] // Each test file uses only a part of this module.
mod world;

use std::fmt::Write;
use std::thread;

use world::{AbsenceTimeouts, FaultKind, Plan, World};

const FIXTURE: &str = include_str!("fixtures/world-digests.txt");
/// Number of seeds of each kind.
const SEEDS: u64 = 100;
/// Number of simulations that run in parallel.
const THREADS: u64 = 6;
/// Simulated time at which each run and its faults end, in milliseconds; kept short because there are many runs.
const END_MS: u64 = 15_000;

fn plan(seed: u64, faults: &[FaultKind]) -> Plan {
    Plan {
        programs: 3,
        max_input_bytes: 500,
        faults_until_ms: END_MS,
        ..Plan::new(seed, faults)
    }
}

fn all_faults(seed: u64) -> Plan {
    plan(seed, &FaultKind::ALL)
}

fn lost_disks(seed: u64) -> Plan {
    plan(seed, &[FaultKind::Wipe, FaultKind::Replace])
}

fn retirements(seed: u64) -> Plan {
    plan(seed, &[FaultKind::Add, FaultKind::Retire, FaultKind::Wipe])
}

fn two_lost_at_once(seed: u64) -> Plan {
    Plan {
        stores: 6,
        tolerated_losses: 2,
        ..plan(seed, &FaultKind::ALL)
    }
}

fn many_programs(seed: u64) -> Plan {
    let faults = [
        FaultKind::Wipe,
        FaultKind::Replace,
        FaultKind::Retire,
        FaultKind::Add,
    ];
    Plan {
        programs: 8,
        max_input_bytes: 6_000,
        ..plan(seed, &faults)
    }
}

fn long_lease(seed: u64) -> Plan {
    let faults = [
        FaultKind::Wipe,
        FaultKind::Replace,
        FaultKind::Add,
        FaultKind::Retire,
    ];
    let absence = AbsenceTimeouts {
        lease_ms: 3_000,
        repair_ms: 300,
    };
    Plan {
        absence,
        stores: 3 + (seed % 3) as usize,
        ..plan(seed, &faults)
    }
}

type Kind = (&'static str, fn(u64) -> Plan);

const KINDS: [Kind; 6] = [
    ("all-faults", all_faults),
    ("lost-disks", lost_disks),
    ("retirements", retirements),
    ("two-lost-at-once", two_lost_at_once),
    ("many-programs", many_programs),
    ("long-lease", long_lease),
];

/// Runs all seeds of one kind; returns their lines of the fixture.
fn digests((name, plan): Kind) -> String {
    let run_seed = move |seed| World::run_unchecked(plan(seed), END_MS).digest;
    let threads: Vec<_> = (0..THREADS)
        .map(|first| {
            let seeds = (first..SEEDS).step_by(THREADS as usize);
            thread::spawn(move || seeds.map(|seed| (seed, run_seed(seed))).collect::<Vec<_>>())
        })
        .collect();
    let mut digests: Vec<(u64, u64)> = threads
        .into_iter()
        .flat_map(|thread| thread.join().expect("no invariant is violated"))
        .collect();
    digests.sort_unstable();
    digests
        .into_iter()
        .fold(String::new(), |mut lines, (seed, digest)| {
            writeln!(lines, "{name} {seed} {digest:016x}")
                .expect("writing to a string cannot fail");
            lines
        })
}

#[test]
fn world_digests_are_as_recorded() {
    let computed: String = KINDS.into_iter().map(digests).collect();
    let output_path = concat!(env!("CARGO_TARGET_TMPDIR"), "/world-digests.txt");
    std::fs::write(output_path, &computed).expect("the target folder is writable");
    let differing: Vec<_> = computed
        .lines()
        .zip(FIXTURE.lines())
        .filter(|(computed, recorded)| computed != recorded)
        .collect();
    assert!(
        differing.is_empty(),
        "{} digests differ, the first (computed, recorded): {:?}",
        differing.len(),
        differing[0]
    );
    assert_eq!(computed.lines().count(), FIXTURE.lines().count());
}
