//! The guarantees, in seeded worlds of several limiters and one counter.

mod common;

use common::world::{Plan, Tally, World};
use std::fmt::Write;

const SEEDS: u64 = 150;
/// Seeds whose digests are on file.
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

/// Plays a plan under many seeds; what each step checks is in the world.
fn play_all(plan: &Plan) -> Vec<World> {
    let play = |seed| {
        let mut world = World::new(plan.clone(), seed);
        world.play();
        world
    };
    (0..SEEDS).map(play).collect()
}

fn assert_all_returned(world: &World) {
    for program in world.programs() {
        assert_eq!(
            world.counters().leased(&program),
            0,
            "no unit of {program} is on lease"
        );
        assert_eq!(world.counters().used(&program), world.received(&program));
    }
}

#[test]
fn without_faults_no_turn_is_abandoned_and_every_unit_is_returned() {
    for world in play_all(&without_faults()) {
        assert_all_returned(&world);
        assert_eq!(world.tally.abandoned, 0);
        assert_eq!(world.tally.timed_out, 0);
    }
}

#[test]
fn with_messages_lost_duplicated_and_reordered_every_unit_is_returned() {
    for world in play_all(&with_message_faults()) {
        assert_all_returned(&world);
    }
}

#[test]
fn crashes_and_an_outage_do_not_exceed_the_budget() {
    let worlds = play_all(&with_crashes());
    for world in &worlds {
        for program in world.programs() {
            let counted = world.counters().used(&program) + world.counters().leased(&program);
            assert!(
                world.received(&program) <= counted,
                "what clients received is counted"
            );
            assert!(counted <= with_crashes().budget);
        }
    }
    // The worlds show each decision, else they would prove little.
    let all =
        |count: fn(&Tally) -> u64| worlds.iter().map(|world| count(&world.tally)).sum::<u64>();
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
    for world in play_all(&plan) {
        let put_off = world.tally.leased_elsewhere + world.tally.timed_out + world.tally.spent;
        assert_eq!(put_off, 0, "{:?}", world.tally);
        assert_all_returned(&world);
    }
}

#[test]
fn a_budget_is_used_up_to_less_than_one_turn_before_it_rejects_as_spent() {
    let plan = Plan {
        turns: 40,
        ..with_message_faults()
    };
    for mut world in play_all(&plan) {
        for program in world.programs() {
            let before = world.tally.clone();
            while world.tally.spent == before.spent {
                world.fault_free_turn(&program);
                assert_eq!(
                    world.tally.abandoned, before.abandoned,
                    "a turn that fits is admitted"
                );
            }
            assert!(plan.budget - world.received(&program) < plan.max_units);
        }
    }
}

/// Worlds with every kind of fault run as they did when the file was written: same messages, times and decisions.
#[test]
fn worlds_go_as_recorded() {
    let mut digests = String::new();
    for seed in 0..RECORDED_SEEDS {
        let mut world = World::new(with_crashes(), seed);
        world.play();
        writeln!(digests, "{seed} {:016x}", world.digest()).expect("a string takes text");
    }
    assert_eq!(digests, include_str!("common/digests.txt"));
}

#[test]
fn the_same_seed_plays_the_same_world() {
    let tallies = || -> Vec<Tally> {
        play_all(&with_crashes())
            .into_iter()
            .map(|world| world.tally)
            .collect()
    };
    assert_eq!(tallies(), tallies());
}
