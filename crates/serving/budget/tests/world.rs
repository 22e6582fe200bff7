//! Checks the budget's guarantees in seeded simulations of several limiters and one counter.

mod common;

use common::world::{Plan, Simulation, Tally};
use std::fmt::Write;

const SEEDS: u64 = 150;
/// Number of seeds whose digests are recorded in `common/digests.txt`.
const RECORDED_SEEDS: u64 = 100;

fn without_faults() -> Plan {
    Plan {
        limiters: 4,
        programs: 3,
        turns: 14,
        span_ms: 8_000,
        max_units: 40,
        budget: 300,
        lost: 0.0,
        duplicated: 0.0,
        delay_ms: 6,
        crashes: 0,
        outage_ms: 0,
        max_retries: 40,
    }
}

fn with_message_faults() -> Plan {
    Plan {
        lost: 0.2,
        duplicated: 0.2,
        delay_ms: 80,
        ..without_faults()
    }
}

fn with_crashes() -> Plan {
    Plan {
        crashes: 4,
        outage_ms: 2_500,
        ..with_message_faults()
    }
}

/// Runs a plan with [`SEEDS`] seeds. The simulation itself checks the guarantees at each step.
fn run_all(plan: &Plan) -> Vec<Simulation> {
    let run = |seed| {
        let mut simulation = Simulation::new(plan.clone(), seed);
        simulation.run();
        simulation
    };
    (0..SEEDS).map(run).collect()
}

fn assert_all_returned(simulation: &Simulation) {
    for program in simulation.programs() {
        assert_eq!(
            simulation.counters().leased(&program),
            0,
            "units of {program} are still leased"
        );
        assert_eq!(
            simulation.counters().used(&program),
            simulation.received(&program)
        );
    }
}

#[test]
fn without_faults_no_turn_is_abandoned_and_every_unit_is_returned() {
    for simulation in run_all(&without_faults()) {
        assert_all_returned(&simulation);
        assert_eq!(simulation.tally.abandoned, 0);
        assert_eq!(simulation.tally.timed_out, 0);
    }
}

#[test]
fn with_messages_lost_duplicated_and_reordered_every_unit_is_returned() {
    for simulation in run_all(&with_message_faults()) {
        assert_all_returned(&simulation);
    }
}

#[test]
fn crashes_and_an_outage_do_not_exceed_the_budget() {
    let simulations = run_all(&with_crashes());
    for simulation in &simulations {
        for program in simulation.programs() {
            let used_or_leased =
                simulation.counters().used(&program) + simulation.counters().leased(&program);
            assert!(
                simulation.received(&program) <= used_or_leased,
                "clients received more units of {program} than are used or leased"
            );
            assert!(used_or_leased <= with_crashes().budget);
        }
    }
    // The test is meaningful only if each kind of decision occurred.
    let all = |count: fn(&Tally) -> u64| {
        simulations
            .iter()
            .map(|simulation| count(&simulation.tally))
            .sum::<u64>()
    };
    assert!(all(|tally| tally.admitted) > 0);
    assert!(all(|tally| tally.spent) > 0);
    assert!(all(|tally| tally.leased_elsewhere) > 0);
    assert!(all(|tally| tally.timed_out) > 0);
}

#[test]
fn a_program_with_ample_budget_is_never_rejected() {
    let plan = Plan {
        budget: 2 * 14 * 40,
        ..without_faults()
    };
    for simulation in run_all(&plan) {
        let rejected =
            simulation.tally.leased_elsewhere + simulation.tally.timed_out + simulation.tally.spent;
        assert_eq!(rejected, 0, "{:?}", simulation.tally);
        assert_all_returned(&simulation);
    }
}

#[test]
fn a_budget_is_used_up_to_less_than_one_turn_before_it_rejects_as_spent() {
    let plan = Plan {
        turns: 40,
        ..with_message_faults()
    };
    for mut simulation in run_all(&plan) {
        for program in simulation.programs() {
            let before = simulation.tally.clone();
            while simulation.tally.spent == before.spent {
                simulation.run_fault_free_turn(&program);
                assert_eq!(
                    simulation.tally.abandoned, before.abandoned,
                    "a turn that the budget covers was abandoned"
                );
            }
            assert!(plan.budget - simulation.received(&program) < plan.max_units);
        }
    }
}

/// Simulations with every kind of fault produce the recorded messages, times and decisions.
#[test]
fn simulations_match_the_recorded_digests() {
    let mut digests = String::new();
    for seed in 0..RECORDED_SEEDS {
        let mut simulation = Simulation::new(with_crashes(), seed);
        simulation.run();
        writeln!(digests, "{seed} {:016x}", simulation.digest())
            .expect("writing to a string succeeds");
    }
    assert_eq!(digests, include_str!("common/digests.txt"));
}

#[test]
fn the_same_seed_gives_the_same_tally() {
    let tallies = || -> Vec<Tally> {
        run_all(&with_crashes())
            .into_iter()
            .map(|simulation| simulation.tally)
            .collect()
    };
    assert_eq!(tallies(), tallies());
}
