//! Simulations with kills, lost disks, partitions, freezes, retirements and new machines. A read of an acknowledged
//! turn returns the complete chain or is uncertain, but never unknown. After the last fault it always returns the
//! chain.

#[allow(dead_code, unused_imports)] // Each test file uses only a part of this module.
mod world;

use world::{AbsenceTimeouts, FaultKind, Plan, Statistics, World, CATCH_UP_MS, MAX_IMPAIRMENT_MS};

fn plan(seed: u64, faults: &[FaultKind]) -> Plan {
    Plan {
        final_fault: seed.is_multiple_of(3),
        ..Plan::new(seed, faults)
    }
}

/// Checks that turns were written and read, that new disks became complete within `max_completion_ms`, and that turns
/// that were never written were reported as unknown.
fn check_liveness(statistics: &Statistics, max_completion_ms: u64) {
    check_progress(statistics, max_completion_ms);
    assert!(
        statistics.unknown_reads > 0,
        "no read of a turn that was never written is unknown: {statistics:?}"
    );
}

/// Like [`check_liveness`], but for simulations that remove more machines for ever than may be lost at the same time. A
/// removed machine may have held a turn that no other store has, so that no read can conclude "unknown".
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
        check_liveness(&World::run(plan(seed, &FaultKind::ALL)), CATCH_UP_MS);
    }
}

#[test]
fn disks_lost_one_after_the_other() {
    for seed in 100..110 {
        check_liveness(
            &World::run(plan(seed, &[FaultKind::Wipe, FaultKind::Replace])),
            CATCH_UP_MS,
        );
    }
}

#[test]
fn stores_join_and_drain() {
    for seed in 200..210 {
        let statistics = World::run(plan(
            seed,
            &[FaultKind::Add, FaultKind::Retire, FaultKind::Wipe],
        ));
        check_liveness(&statistics, CATCH_UP_MS);
    }
}

#[test]
fn two_machines_lost_at_once() {
    for seed in 300..306 {
        let plan = Plan {
            stores: 6,
            tolerated_losses: 2,
            ..plan(seed, &FaultKind::ALL)
        };
        // A new disk waits for unreachable stores as long as they count as present.
        check_liveness(&World::run(plan), CATCH_UP_MS + MAX_IMPAIRMENT_MS);
    }
}

/// A plan in which two stores may be lost at the same time, with the timeouts of the deployments.
fn plan_with_two_losses(seed: u64, faults: &[FaultKind]) -> Plan {
    Plan {
        stores: 9,
        tolerated_losses: 2,
        absence: AbsenceTimeouts {
            lease_ms: 1_450,
            repair_ms: 100,
        },
        ..plan(seed, faults)
    }
}

#[test]
fn two_stores_are_replaced_at_once() {
    for seed in 500..504 {
        let plan = plan_with_two_losses(seed, &[FaultKind::Replace]);
        check_progress(&World::run(plan), CATCH_UP_MS);
    }
}

#[test]
fn two_stores_are_lost_at_once_while_another_store_retires() {
    let mut retired_stores = 0;
    for seed in 510..514 {
        let faults = [FaultKind::Replace, FaultKind::Retire, FaultKind::Add];
        let statistics = World::run(plan_with_two_losses(seed, &faults));
        check_progress(&statistics, CATCH_UP_MS);
        retired_stores += statistics.retired_stores;
    }
    assert!(
        retired_stores >= 4,
        "only {retired_stores} stores retired in 4 simulations"
    );
}

#[test]
fn two_stores_of_one_zone_lose_their_disks_at_once() {
    for seed in 520..524 {
        let plan = Plan {
            faults_in_one_zone: true,
            ..plan_with_two_losses(seed, &[FaultKind::Wipe])
        };
        check_liveness(&World::run(plan), CATCH_UP_MS);
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
        let statistics = World::run(plan);
        check_liveness(&statistics, CATCH_UP_MS);
        assert!(statistics.max_stored_turns > 3_000, "{statistics:?}");
    }
}

#[test]
fn the_same_seed_gives_the_same_statistics() {
    assert_eq!(
        World::run(plan(7, &FaultKind::ALL)),
        World::run(plan(7, &FaultKind::ALL))
    );
}
