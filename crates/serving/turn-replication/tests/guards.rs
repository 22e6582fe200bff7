//! Each guard taken out in turn brings about what it is against, in worlds that hold with all guards in place.

#[allow(dead_code, unused_imports)] // Each test file uses a part of it.
mod world;

use dunespur_turn_replication::guards::Guards;
use std::panic::{catch_unwind, AssertUnwindSafe};
use world::{Absence, FaultKind, Plan, Seen, World};

/// Seeds that are tried for a counterexample.
const SEEDS: u64 = 400;

/// Stores that come and go while others are in every kind of trouble.
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
        FaultKind::CutOff,
        FaultKind::CutFromStores,
        FaultKind::Kill,
    ]);
    Plan {
        seed,
        stores: 3 + (seed % 2) as usize,
        zones: 3,
        tolerated: 1,
        programs: 12,
        most_input_bytes: 4_000,
        faults_until_ms: 60_000,
        faults,
        final_fault: false,
        absence: Absence::default(),
        guards: Guards::default(),
        core_guards: dunespur_control_state::Safeguards::default(),
    }
}

/// What a world came to, or what was broken first.
fn play(plan: Plan) -> Result<Seen, String> {
    catch_unwind(AssertUnwindSafe(|| World::play(plan))).map_err(|panic| {
        let text = panic.downcast_ref::<String>().cloned();
        text.unwrap_or_else(|| "a panic without a text".to_owned())
    })
}

/// What goes wrong first without a guard, if anything does.
fn counterexample(without: impl Fn(&mut Plan), signs: &[&str]) -> Option<String> {
    (0..SEEDS).find_map(|seed| {
        let mut plan = plan(seed);
        without(&mut plan);
        play(plan)
            .err()
            .filter(|text| signs.iter().any(|sign| text.contains(sign)))
    })
}

/// What was acknowledged is lost, or is not held as often as it has to be.
const BROKEN: [&str; 2] = ["lies on", "unknown: "];

fn expect_counterexample(guards: Guards) {
    let found = counterexample(|plan| plan.guards = guards, &BROKEN);
    assert!(found.is_some(), "nothing went wrong");
    eprintln!("{found:?}");
}

#[test]
fn with_all_guards_everything_holds() {
    for seed in 0..8 {
        let seen = World::play(plan(seed));
        assert!(seen.kept > 500 && seen.retired > 0, "{seen:?}");
    }
}

#[test]
fn turns_taken_while_emptying_must_be_owed() {
    expect_counterexample(Guards {
        late_turns_owed: false,
        ..Guards::default()
    });
}

/// A home that does not answer for a while gets turns only by its own pulls and the chains that gateways go on with.
#[test]
fn nothing_acknowledged_rests_on_a_hint() {
    for seed in 0..8 {
        let guards = Guards {
            hints: false,
            ..Guards::default()
        };
        let seen = World::play(Plan {
            guards,
            ..plan(seed)
        });
        assert!(seen.kept > 500, "{seen:?}");
    }
}

/// Turns that were not kept in time though enough stores were there, of three of which one is being emptied and another one frozen or cut off.
fn unsure_writes(guards: Guards, core_guards: dunespur_control_state::Safeguards) -> u64 {
    let faults = vec![FaultKind::Retire, FaultKind::Freeze, FaultKind::CutOff];
    let played = (0..8).map(|seed| {
        World::play(Plan {
            stores: 3,
            faults: faults.clone(),
            guards,
            core_guards,
            ..plan(seed)
        })
    });
    played.map(|seen| seen.needless_unsure_writes).sum()
}

#[test]
fn emptying_stores_must_stay_a_fallback() {
    let core = dunespur_control_state::Safeguards::default();
    let with_all = unsure_writes(Guards::default(), core);
    let refused = unsure_writes(
        Guards {
            emptying_takes_turns: false,
            ..Guards::default()
        },
        core,
    );
    eprintln!("turns not kept in 8 worlds: {with_all}, without the guard {refused}");
    assert_eq!(with_all, 0);
    assert!(refused > 0, "nothing went wrong");
}
