//! Turns under kills, lost disks, partitions, freezes, retirements and new machines: a read of what was acknowledged
//! gives the complete chain or is uncertain, never unknown; and it gives the chain once the last fault is over.

#[allow(dead_code, unused_imports)] // Each test file uses a part of it.
mod world;

use world::{Absence, FaultKind, Plan, Statistics, World, CATCH_UP_MS, MAX_IMPAIRMENT_MS};

fn plan(seed: u64, faults: &[FaultKind]) -> Plan {
    Plan {
        final_fault: seed.is_multiple_of(3),
        ..Plan::new(seed, faults)
    }
}

/// `max_completion_ms`: how long a new disk may take to be complete.
fn check_liveness(statistics: &Statistics, max_completion_ms: u64) {
    check_progress(statistics, max_completion_ms);
    assert!(
        statistics.unknown_reads > 0,
        "no turn that never was is called unknown: {statistics:?}"
    );
}

/// The same for worlds in which more machines are gone for good than may be lost: one of them may have held a turn that
/// nobody else knows, so that no turn is called unknown.
fn check_progress(statistics: &Statistics, max_completion_ms: u64) {
    assert!(statistics.stored_turns > 500, "{statistics:?}");
    assert!(statistics.chains > 500, "{statistics:?}");
    assert!(
        statistics.slowest_completion_ms < max_completion_ms,
        "{statistics:?}"
    );
    assert!(
        statistics.largest_message_bytes <= 4 << 20,
        "{statistics:?}"
    );
}

#[test]
fn all_kinds_of_faults() {
    for seed in 0..16 {
        check_liveness(&World::play(plan(seed, &FaultKind::ALL)), CATCH_UP_MS);
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
fn stores_join_and_drain() {
    for seed in 200..210 {
        let statistics = World::play(plan(
            seed,
            &[FaultKind::Add, FaultKind::Retire, FaultKind::Wipe],
        ));
        check_liveness(&statistics, CATCH_UP_MS);
    }
}

#[test]
fn two_lost_at_once() {
    for seed in 300..306 {
        let plan = Plan {
            stores: 6,
            tolerated: 2,
            ..plan(seed, &FaultKind::ALL)
        };
        // A new disk waits for stores that it can't reach while they count as present.
        check_liveness(&World::play(plan), CATCH_UP_MS + MAX_IMPAIRMENT_MS);
    }
}

/// As two stores may be lost at once, with the leases of the deployments.
fn plan_of_two_losses(seed: u64, faults: &[FaultKind]) -> Plan {
    Plan {
        stores: 9,
        tolerated: 2,
        absence: Absence {
            lease_ms: 1_450,
            repair_ms: 100,
        },
        ..plan(seed, faults)
    }
}

#[test]
fn two_stores_are_replaced_at_once() {
    for seed in 500..504 {
        let plan = plan_of_two_losses(seed, &[FaultKind::Replace]);
        check_progress(&World::play(plan), CATCH_UP_MS);
    }
}

#[test]
fn two_stores_are_lost_at_once_while_another_one_retires() {
    let mut retired_stores = 0;
    for seed in 510..514 {
        let faults = [FaultKind::Replace, FaultKind::Retire, FaultKind::Add];
        let statistics = World::play(plan_of_two_losses(seed, &faults));
        check_progress(&statistics, CATCH_UP_MS);
        retired_stores += statistics.retired_stores;
    }
    assert!(retired_stores >= 4, "{retired_stores} stores retired");
}

#[test]
fn two_stores_of_one_zone_lose_their_disks_at_once() {
    for seed in 520..524 {
        let plan = Plan {
            in_one_zone: true,
            ..plan_of_two_losses(seed, &[FaultKind::Wipe])
        };
        check_liveness(&World::play(plan), CATCH_UP_MS);
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
            max_input_bytes: 12_000,
            faults_until_ms: 60_000,
            ..plan(seed, &faults)
        };
        let statistics = World::play(plan);
        check_liveness(&statistics, CATCH_UP_MS);
        assert!(statistics.max_stored_turns > 3_000, "{statistics:?}");
    }
}

#[test]
fn the_same_seed_plays_the_same() {
    assert_eq!(
        World::play(plan(7, &FaultKind::ALL)),
        World::play(plan(7, &FaultKind::ALL))
    );
}
