//! Simulated worlds play as they did when their digests were taken: 100 seeds of each kind. A step that is meant
//! to change nothing but names and shape leaves every one of them as it is.
//!
//! `fixtures/world-digests.txt` has a line for each world: its kind, its seed and its digest.

#[allow(dead_code, unused_imports)] // Each test file uses a part of it.
mod world;

use std::fmt::Write;
use std::thread;

use world::{Absence, FaultKind, Plan, World};

const FIXTURE: &str = include_str!("fixtures/world-digests.txt");
/// Seeds of each kind.
const SEEDS: u64 = 100;
/// Worlds that are played side by side.
const THREADS: u64 = 6;
/// Each world is played up to here, its faults included: there are many of them.
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
        tolerated: 2,
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
    let absence = Absence {
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

/// Lines of the fixture for one kind.
fn digests((name, plan): Kind) -> String {
    let play = move |seed| World::play_unchecked(plan(seed), END_MS).digest;
    let threads: Vec<_> = (0..THREADS)
        .map(|first| {
            let seeds = (first..SEEDS).step_by(THREADS as usize);
            thread::spawn(move || seeds.map(|seed| (seed, play(seed))).collect::<Vec<_>>())
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
            writeln!(lines, "{name} {seed} {digest:016x}").expect("a string takes it");
            lines
        })
}

#[test]
fn worlds_play_as_recorded() {
    let played: String = KINDS.into_iter().map(digests).collect();
    let left_at = concat!(env!("CARGO_TARGET_TMPDIR"), "/world-digests.txt");
    std::fs::write(left_at, &played).expect("the target folder is writable");
    let differing: Vec<_> = played
        .lines()
        .zip(FIXTURE.lines())
        .filter(|(played, recorded)| played != recorded)
        .collect();
    assert!(
        differing.is_empty(),
        "{} worlds differ, first {:?}",
        differing.len(),
        differing[0]
    );
    assert_eq!(played.lines().count(), FIXTURE.lines().count());
}
