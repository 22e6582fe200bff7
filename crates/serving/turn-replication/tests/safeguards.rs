//! Simulations with all safeguards violate no invariant; without a safeguard some simulation does.

#[allow(dead_code, unused_imports)] // Each test file uses only a part of this module.
mod world;

use std::panic::{catch_unwind, AssertUnwindSafe};

use dunespur_turn_replication::safeguards::{Safeguard, Safeguards};
use world::{CoreSafeguards, FaultKind, Plan, Statistics, World};

/// Number of seeds that are tried to find a counterexample.
const SEEDS: u64 = 400;

/// A plan in which stores join and drain while other stores have every kind of fault.
fn plan(seed: u64) -> Plan {
    let mut faults = vec![FaultKind::Retire; 5];
    faults.extend([
        FaultKind::Add,
        FaultKind::Add,
        FaultKind::Wipe,
        FaultKind::Replace,
    ]);
    faults.extend([
        FaultKind::Freeze,
        FaultKind::Partition,
        FaultKind::PeerPartition,
        FaultKind::Kill,
    ]);
    Plan {
        faults_until_ms: 60_000,
        ..Plan::new(seed, &faults)
    }
}

/// Runs a simulation; returns its statistics or the first violation.
fn run(plan: Plan) -> Result<Statistics, String> {
    catch_unwind(AssertUnwindSafe(|| World::run(plan))).map_err(|panic| {
        let text = panic.downcast_ref::<String>().cloned();
        text.unwrap_or_else(|| "a panic without a message".to_owned())
    })
}

/// The first of these violations in simulations that `without` has changed, if there is any.
fn counterexample(without: impl Fn(&mut Plan), violations: &[&str]) -> Option<String> {
    (0..SEEDS).find_map(|seed| {
        let mut plan = plan(seed);
        without(&mut plan);
        run(plan)
            .err()
            .filter(|text| violations.iter().any(|violation| text.contains(violation)))
    })
}

/// Messages of violations: an acknowledged turn has too few replicas or is lost.
const VIOLATIONS: [&str; 2] = ["is stored on", "unknown: "];

fn expect_counterexample(safeguards: Safeguards) {
    let found = counterexample(|plan| plan.safeguards = safeguards, &VIOLATIONS);
    assert!(
        found.is_some(),
        "no violation without the safeguard in {SEEDS} simulations"
    );
    eprintln!("{found:?}");
}

#[test]
fn no_invariant_is_violated_with_all_safeguards() {
    let mut retired_stores = 0;
    for seed in 0..8 {
        let statistics = World::run(plan(seed));
        assert!(statistics.stored_turns > 500, "{statistics:?}");
        retired_stores += statistics.retired_stores;
    }
    assert!(
        retired_stores >= 8,
        "only {retired_stores} stores retired in 8 simulations"
    );
}

#[test]
fn turns_accepted_while_draining_must_be_handed_off() {
    expect_counterexample(Safeguards::without(Safeguard::LateTurnsHandedOff));
}

/// Without hinted handoff, a replica that was unreachable gets its missing turns only by its own pulls and as ancestors
/// of new turns.
#[test]
fn acknowledged_turns_do_not_depend_on_hints() {
    for seed in 0..8 {
        let safeguards = Safeguards::without(Safeguard::HintedHandoff);
        let statistics = World::run(Plan {
            safeguards,
            ..plan(seed)
        });
        assert!(statistics.stored_turns > 500, "{statistics:?}");
    }
}

/// Number of simulations in which stores drain while other stores are frozen or partitioned.
const DRAIN_SIMULATIONS: u64 = 16;

/// Number of turns that were not stored in time although enough stores were available. Of three stores one is draining
/// and another is frozen or partitioned.
fn avoidable_uncertain_writes(safeguards: Safeguards, core_safeguards: CoreSafeguards) -> u64 {
    let faults = vec![FaultKind::Retire, FaultKind::Freeze, FaultKind::Partition];
    let results = (0..DRAIN_SIMULATIONS).map(|seed| {
        World::run(Plan {
            stores: 3,
            faults: faults.clone(),
            safeguards,
            core_safeguards,
            ..plan(seed)
        })
    });
    results
        .map(|statistics| statistics.avoidable_uncertain_writes)
        .sum()
}

#[test]
fn draining_stores_must_accept_turns_as_a_last_resort() {
    let core = CoreSafeguards::default();
    let with_safeguard = avoidable_uncertain_writes(Safeguards::default(), core);
    let without_safeguard = avoidable_uncertain_writes(
        Safeguards::without(Safeguard::DrainingStoreAcceptsTurns),
        core,
    );
    eprintln!(
        "turns not stored in {DRAIN_SIMULATIONS} simulations: {with_safeguard}, \
         without the safeguard {without_safeguard}"
    );
    assert_eq!(with_safeguard, 0);
    assert!(
        without_safeguard > 0,
        "without the safeguard no write was uncertain that could have been stored"
    );
}
