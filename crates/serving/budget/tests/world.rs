//! The promises, in seeded worlds of several limiters and one counter.

mod common;

use common::world::{Plan, Tally, World};
use std::fmt::Write;

const SEEDS: u64 = 150;
/// Seeds whose digests are on file.
const RECORDED_SEEDS: u64 = 100;

fn calm() -> Plan {
    Plan {
        limiters: 4,
        programs: 3,
        turns: 14,
        span_ms: 8_000,
        most: 40,
        budget: 300,
        lost: 0.0,
        doubled: 0.0,
        delay_ms: 6,
        deaths: 0,
        outage_ms: 0,
        asks_again: 40,
    }
}

fn harmed() -> Plan {
    Plan {
        lost: 0.2,
        doubled: 0.2,
        delay_ms: 80,
        ..calm()
    }
}

fn deadly() -> Plan {
    Plan {
        deaths: 4,
        outage_ms: 2_500,
        ..harmed()
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

fn all_came_back(world: &World) {
    for program in world.programs() {
        assert_eq!(
            world.counters().held(&program),
            0,
            "{program} is held by nobody"
        );
        assert_eq!(world.counters().used(&program), world.received(&program));
    }
}

#[test]
fn in_calm_no_turn_is_given_up_and_every_unit_comes_back() {
    for world in play_all(&calm()) {
        all_came_back(&world);
        assert_eq!(world.tally.given_up, 0);
        assert_eq!(world.tally.silent, 0);
    }
}

#[test]
fn with_messages_lost_doubled_and_overtaken_every_unit_comes_back() {
    for world in play_all(&harmed()) {
        all_came_back(&world);
    }
}

#[test]
fn through_deaths_and_an_outage_the_budget_holds() {
    let worlds = play_all(&deadly());
    for world in &worlds {
        for program in world.programs() {
            let counted = world.counters().used(&program) + world.counters().held(&program);
            assert!(
                world.received(&program) <= counted,
                "what clients received is counted"
            );
            assert!(counted <= deadly().budget);
        }
    }
    // The worlds show each verdict, else they would prove little.
    let all =
        |count: fn(&Tally) -> u64| worlds.iter().map(|world| count(&world.tally)).sum::<u64>();
    assert!(all(|tally| tally.admitted) > 0);
    assert!(all(|tally| tally.spent) > 0);
    assert!(all(|tally| tally.elsewhere) > 0);
    assert!(all(|tally| tally.silent) > 0);
}

#[test]
fn a_program_with_ample_budget_is_never_put_off() {
    let plan = Plan {
        budget: 2 * 14 * 40,
        ..calm()
    };
    for world in play_all(&plan) {
        let put_off = world.tally.elsewhere + world.tally.silent + world.tally.spent;
        assert_eq!(put_off, 0, "{:?}", world.tally);
        all_came_back(&world);
    }
}

#[test]
fn a_budget_is_used_up_to_less_than_one_turn_before_it_is_refused_as_spent() {
    let plan = Plan {
        turns: 40,
        ..harmed()
    };
    for mut world in play_all(&plan) {
        for program in world.programs() {
            let before = world.tally.clone();
            while world.tally.spent == before.spent {
                world.calm_turn(&program);
                assert_eq!(
                    world.tally.given_up, before.given_up,
                    "a turn that fits is admitted"
                );
            }
            assert!(plan.budget - world.received(&program) < plan.most);
        }
    }
}

/// Worlds with every kind of trouble go as they went when the file was written: same messages, times and verdicts.
#[test]
fn worlds_go_as_recorded() {
    let mut digests = String::new();
    for seed in 0..RECORDED_SEEDS {
        let mut world = World::new(deadly(), seed);
        world.play();
        writeln!(digests, "{seed} {:016x}", world.digest()).expect("a string takes text");
    }
    assert_eq!(digests, include_str!("common/digests.txt"));
}

#[test]
fn the_same_seed_plays_the_same_world() {
    let tallies = || -> Vec<Tally> {
        play_all(&deadly())
            .into_iter()
            .map(|world| world.tally)
            .collect()
    };
    assert_eq!(tallies(), tallies());
}
