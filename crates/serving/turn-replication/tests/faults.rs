//! Turns under kills, lost disks, cuts, freezes, retirements and new machines: what was answered whole is found
//! whole or not sure, never unknown; and found once the last trouble is over.

#[allow(dead_code, unused_imports)] // Each test file uses a part of it.
mod world;

use dunespur_turn_replication::guards::Guards;
use world::{Absence, FaultKind, Plan, Seen, World, CATCH_UP_MS, LONGEST_TROUBLE_MS};

const ALL: [FaultKind; 9] = [
    FaultKind::Kill,
    FaultKind::Wipe,
    FaultKind::Freeze,
    FaultKind::CutOff,
    FaultKind::CutFromStores,
    FaultKind::KillAll,
    FaultKind::Replace,
    FaultKind::Add,
    FaultKind::Retire,
];

fn plan(seed: u64, faults: &[FaultKind]) -> Plan {
    Plan {
        seed,
        stores: 3 + (seed % 2) as usize,
        zones: 3,
        tolerated: 1,
        programs: 12,
        most_input_bytes: 4_000,
        faults_until_ms: 90_000,
        faults: faults.to_vec(),
        final_fault: seed.is_multiple_of(3),
        absence: Absence::default(),
        guards: Guards::default(),
        core_guards: dunespur_control_state::Safeguards::default(),
    }
}

/// `most_whole_ms`: what a new disk may take to be whole.
fn check_liveness(seen: &Seen, most_whole_ms: u64) {
    assert!(seen.kept > 500, "{seen:?}");
    assert!(seen.chains > 500, "{seen:?}");
    assert!(
        seen.unknown > 0,
        "what never was is never said to be unknown: {seen:?}"
    );
    assert!(seen.slowest_whole_ms < most_whole_ms, "{seen:?}");
    assert!(seen.largest_message <= 4 << 20, "{seen:?}");
}

#[test]
fn all_kinds_of_trouble() {
    for seed in 0..16 {
        check_liveness(&World::play(plan(seed, &ALL)), CATCH_UP_MS);
    }
}

#[test]
fn lost_disks_one_after_the_other() {
    for seed in 100..110 {
        check_liveness(
            &World::play(plan(seed, &[FaultKind::Wipe, FaultKind::Replace])),
            CATCH_UP_MS,
        );
    }
}

#[test]
fn stores_come_and_are_emptied() {
    for seed in 200..210 {
        let seen = World::play(plan(
            seed,
            &[FaultKind::Add, FaultKind::Retire, FaultKind::Wipe],
        ));
        check_liveness(&seen, CATCH_UP_MS);
    }
}

#[test]
fn two_lost_at_once() {
    for seed in 300..306 {
        let plan = Plan {
            stores: 6,
            tolerated: 2,
            ..plan(seed, &ALL)
        };
        // A new disk waits for the stores that it can't ask while they count as present.
        check_liveness(&World::play(plan), CATCH_UP_MS + LONGEST_TROUBLE_MS);
    }
}

#[test]
fn thousands_of_turns_are_caught_up_in_time() {
    for seed in 400..402 {
        let faults = [
            FaultKind::Wipe,
            FaultKind::Replace,
            FaultKind::Retire,
            FaultKind::Add,
        ];
        let plan = Plan {
            programs: 70,
            most_input_bytes: 12_000,
            faults_until_ms: 60_000,
            ..plan(seed, &faults)
        };
        let seen = World::play(plan);
        check_liveness(&seen, CATCH_UP_MS);
        assert!(seen.most_held > 3_000, "{seen:?}");
    }
}

#[test]
fn the_same_seed_plays_the_same() {
    assert_eq!(World::play(plan(7, &ALL)), World::play(plan(7, &ALL)));
}
