//! Homes and subscribers that die, freeze, restart or are cut off, and messages that come late or twice.

mod common;

use common::{load, World};
use dunespur_load_distribution::{
    Ask, Distribution, Identity, Known, ServerLoad, Speaker, Statement,
};
use std::rc::Rc;

const SERVICE: &str = "pool";
/// Statements that are not renewed count for so long.
const STALE_MS: u64 = 2_500;
/// A home that fails is left alone for this long at first.
const FIRST_PAUSE_MS: u64 = 1_000;

/// Three gateways of a zone with loads, and the home among them.
fn zone_of_three(seed: u64) -> (World, Rc<str>, Vec<Rc<str>>) {
    let mut world = World::new(seed, &["north"], 3);
    let names: Vec<Rc<str>> = world.nodes.keys().cloned().collect();
    for (place, name) in names.iter().enumerate() {
        world.set(name, SERVICE, &[load("s1", place as u32 + 1)]);
    }
    world.pass(1_000);
    let home = world.home("north-1", SERVICE, "north");
    let others = names.into_iter().filter(|name| *name != home).collect();
    (world, home, others)
}

fn expect_truth(world: &World, names: &[Rc<str>]) {
    for name in names {
        assert_eq!(
            world.belief(name, SERVICE),
            world.truth(name, SERVICE),
            "{name}"
        );
    }
}

#[test]
fn subscribers_of_a_silent_home_go_over_to_the_next_before_the_core_has_noticed() {
    let (mut world, home, others) = zone_of_three(1);
    world.nodes.get_mut(&home).unwrap().down = true;
    for step in 0..20 {
        for name in &others {
            world.set(name, SERVICE, &[load("s1", step + 1)]);
        }
        world.pass(100);
    }
    world.pass(1_200);
    expect_truth(&world, &others);
}

#[test]
fn a_home_that_is_gone_is_followed_by_the_next_at_once() {
    let (mut world, home, others) = zone_of_three(2);
    world.nodes.get_mut(&home).unwrap().down = true;
    world.tell_all();
    for name in &others {
        world.set(name, SERVICE, &[load("s2", 4)]);
    }
    world.pass(300);
    world.set(&others[0], SERVICE, &[load("s2", 5)]);
    world.set(&others[1], SERVICE, &[load("s2", 5)]);
    world.pass(300);
    for name in &others {
        assert!(world.belief(name, SERVICE).contains_key("s2"), "{name}");
    }
}

#[test]
fn a_home_that_returns_with_another_life_is_told_everything_again() {
    let (mut world, home, others) = zone_of_three(3);
    world.start(&home, "north");
    world.tell_all();
    world.set(&home, SERVICE, &[load("s1", 9)]);
    world.pass(1_500);
    let all: Vec<Rc<str>> = world.nodes.keys().cloned().collect();
    expect_truth(&world, &all);
    assert!(
        others.iter().all(|name| world.node(name).answers == 0),
        "the home is where it was"
    );
}

#[test]
fn a_home_that_restarts_unnoticed_is_told_everything_again() {
    let (mut world, home, _) = zone_of_three(4);
    let list = world.list();
    world.start(&home, "north");
    world
        .nodes
        .get_mut(&home)
        .unwrap()
        .distribution
        .set_gateways(list);
    world.set(&home, SERVICE, &[load("s1", 9)]);
    world.pass(1_500);
    let all: Vec<Rc<str>> = world.nodes.keys().cloned().collect();
    expect_truth(&world, &all);
}

#[test]
fn a_home_that_answers_now_and_then_is_not_gone_back_to_each_time() {
    let (mut world, home, others) = zone_of_three(5);
    let mut moves = 0;
    let mut before = world.node(&home).answers;
    // Silent for most of each second: it answers some asks, and fails others.
    for second in 0..60 {
        for step in 0..10 {
            world.nodes.get_mut(&home).unwrap().down = step > 0;
            for name in &others {
                world.set(name, SERVICE, &[load("s1", second * 10 + step + 1)]);
            }
            world.pass(100);
        }
        let answers = world.node(&home).answers;
        moves += u32::from(answers > before);
        before = answers;
    }
    assert!(moves <= 15, "asked again in {moves} of 60 seconds");
}

#[test]
fn a_home_that_thaws_is_asked_again_after_a_bounded_time() {
    let (mut world, home, others) = zone_of_three(6);
    world.nodes.get_mut(&home).unwrap().down = true;
    for step in 0..10 {
        for name in &others {
            world.set(name, SERVICE, &[load("s1", step + 1)]);
        }
        world.pass(100);
    }
    world.nodes.get_mut(&home).unwrap().down = false;
    let before = world.node(&home).answers;
    for step in 0..(3 * FIRST_PAUSE_MS / 100) {
        for name in &others {
            world.set(name, SERVICE, &[load("s1", step as u32 % 5 + 1)]);
        }
        world.pass(100);
    }
    assert!(world.node(&home).answers > before);
}

#[test]
fn what_a_dead_subscriber_had_is_forgotten() {
    let (mut world, home, others) = zone_of_three(7);
    let dead = others[0].clone();
    world.nodes.get_mut(&dead).unwrap().down = true;
    for step in 0..(STALE_MS / 100 + 10) {
        world.set(&home, SERVICE, &[load("s1", step as u32 % 5 + 1)]);
        world.set(&others[1], SERVICE, &[load("s1", step as u32 % 3 + 1)]);
        world.pass(100);
    }
    world.pass(1_100);
    expect_truth(&world, &[home, others[1].clone()]);
}

#[test]
fn what_a_subscriber_had_that_the_core_lets_go_is_forgotten_at_once() {
    let (mut world, home, others) = zone_of_three(8);
    world.nodes.get_mut(&others[0]).unwrap().down = true;
    world.tell_all();
    world.set(&home, SERVICE, &[load("s1", 1), load("s2", 1)]);
    world.pass(300);
    expect_truth(&world, std::slice::from_ref(&home));
}

#[test]
fn gateways_that_disagree_about_the_home_agree_again() {
    let (mut world, home, others) = zone_of_three(9);
    // One of them has not heard of the home, and asks the next one.
    let list: Vec<_> = world
        .list()
        .into_iter()
        .filter(|gateway| gateway.name != home)
        .collect();
    world
        .nodes
        .get_mut(&others[0])
        .unwrap()
        .distribution
        .set_gateways(list);
    for step in 0..30 {
        for name in &others {
            world.set(name, SERVICE, &[load("s1", step + 1)]);
        }
        world.pass(100);
    }
    assert_ne!(world.home(&others[0], SERVICE, "north"), home);
    world.tell_all();
    for name in &others {
        world.set(name, SERVICE, &[load("s1", 7)]);
    }
    world.pass(STALE_MS + 1_500);
    let all: Vec<Rc<str>> = world.nodes.keys().cloned().collect();
    expect_truth(&world, &all);
}

#[test]
fn a_home_in_another_zone_that_is_silent_is_followed_by_the_next_there() {
    let mut world = World::new(10, &["north", "west"], 3);
    let home = world.home("north-1", SERVICE, "west");
    world.nodes.get_mut(&home).unwrap().down = true;
    let up: Vec<Rc<str>> = world
        .nodes
        .keys()
        .filter(|name| **name != home)
        .cloned()
        .collect();
    for step in 0..40 {
        for name in &up {
            world.set(name, SERVICE, &[load("s1", step + 1)]);
        }
        world.pass(100);
    }
    world.pass(2_200);
    expect_truth(&world, &up);
}

#[test]
fn two_zones_that_are_cut_apart_forget_each_other_and_meet_again() {
    let mut world = World::new(11, &["north", "west"], 1);
    for name in ["north-1", "west-1"] {
        world.set(name, SERVICE, &[load("s1", 3)]);
    }
    world.pass(1_500);
    expect_truth(&world, &["north-1".into(), "west-1".into()]);
    world.set_cut("north-1", "west-1", true);
    world.pass(STALE_MS + 1_500);
    assert!(world.belief("north-1", SERVICE).is_empty());
    world.set_cut("north-1", "west-1", false);
    world.pass(10_000);
    expect_truth(&world, &["north-1".into(), "west-1".into()]);
}

/// A home that is asked directly.
struct Asked {
    home: Distribution,
    now: u64,
}

impl Asked {
    fn new() -> Asked {
        let identity = Identity {
            name: "home".into(),
            zone: "north".into(),
            life: 5,
        };
        Asked {
            home: Distribution::new(identity),
            now: 1_000,
        }
    }

    fn ask(
        &mut self,
        gateway: &str,
        life: u64,
        version: u64,
        loads: &[ServerLoad],
    ) -> Vec<ServerLoad> {
        let ask = Ask {
            service: SERVICE.into(),
            speaker: Speaker::Subscriber {
                gateway: gateway.into(),
            },
            life,
            version,
            statement: Some(Statement {
                version,
                loads: loads.to_vec(),
            }),
            known: Known::default(),
        };
        let answer = self.home.asked(&ask, self.now);
        assert!(answer.whole && !answer.wants_statement);
        answer.loads
    }
}

#[test]
fn statements_that_come_late_or_twice_change_nothing() {
    let mut asked = Asked::new();
    asked.ask("a", 1, 2, &[load("s1", 2)]);
    assert_eq!(
        asked.ask("a", 1, 1, &[load("s1", 9)]),
        [load("s1", 2)],
        "an older one"
    );
    assert_eq!(
        asked.ask("a", 1, 2, &[load("s1", 2)]),
        [load("s1", 2)],
        "the same"
    );
    assert_eq!(
        asked.ask("a", 2, 1, &[load("s1", 3)]),
        [load("s1", 3)],
        "another life"
    );
    assert_eq!(
        asked.ask("a", 1, 7, &[load("s1", 9)]),
        [load("s1", 3)],
        "of a life that is over"
    );
}

#[test]
fn an_old_life_does_not_keep_the_new_one_alive() {
    let mut asked = Asked::new();
    asked.ask("a", 2, 1, &[load("s1", 3)]);
    for _ in 0..4 {
        asked.now += STALE_MS / 5;
        asked.ask("a", 1, 1, &[load("s1", 9)]);
    }
    asked.now += STALE_MS / 5;
    assert_eq!(asked.ask("b", 1, 1, &[]), []);
}

#[test]
fn a_speaker_whose_statement_is_not_held_is_asked_for_it() {
    let mut asked = Asked::new();
    let ask = Ask {
        service: SERVICE.into(),
        speaker: Speaker::Subscriber {
            gateway: "a".into(),
        },
        life: 1,
        version: 4,
        statement: None,
        known: Known {
            life: 5,
            version: 1,
        },
    };
    assert!(asked.home.asked(&ask, asked.now).wants_statement);
}

#[test]
fn memory_is_bounded_however_many_names_are_told() {
    let mut asked = Asked::new();
    for number in 0..3_000u32 {
        let loads: Vec<_> = (0..5)
            .map(|server| load(&format!("s{number}-{server}"), 1))
            .collect();
        asked.ask(&format!("g{number}"), 1, 1, &loads);
    }
    let many: Vec<_> = (0..9_000)
        .map(|server| load(&format!("t{server}"), 1))
        .collect();
    let known = asked.ask("g0", 1, 2, &many);
    assert!(known.len() <= 4_096, "{}", known.len());
    for number in 0..2_000 {
        let ask = Ask {
            service: format!("service-{number}").as_str().into(),
            speaker: Speaker::Subscriber {
                gateway: "a".into(),
            },
            life: 1,
            version: 1,
            statement: Some(Statement {
                version: 1,
                loads: vec![load("s", 1)],
            }),
            known: Known::default(),
        };
        let answer = asked.home.asked(&ask, asked.now);
        assert_eq!(answer.loads.is_empty(), number >= 255, "{number}");
    }
}
