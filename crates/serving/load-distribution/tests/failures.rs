//! Aggregators and subscribers that die, freeze, restart or are partitioned, and late and duplicate messages.

mod common;

use common::{load, World};
use dunespur_load_distribution::{
    Identity, KnownVersion, LoadDistribution, LoadTable, Report, Reporter, ServerLoad,
};
use std::rc::Rc;

const SERVICE: &str = "pool";
/// Tables that are not renewed become stale after this time.
const STALE_MS: u64 = 2_500;
/// An unresponsive aggregator gets no reports for this long at first.
const INITIAL_BACKOFF_MS: u64 = 1_000;

/// Three gateways of a zone with loads: the world, the aggregator's name, the others' names.
fn zone_of_three(seed: u64) -> (World, Rc<str>, Vec<Rc<str>>) {
    let mut world = World::new(seed, &["north"], 3);
    let names: Vec<Rc<str>> = world.nodes.keys().cloned().collect();
    for (index, name) in names.iter().enumerate() {
        world.set(name, SERVICE, &[load("s1", index as u32 + 1)]);
    }
    world.advance(1_000);
    let aggregator = world.aggregator("north-1", SERVICE, "north");
    let others = names
        .into_iter()
        .filter(|name| *name != aggregator)
        .collect();
    (world, aggregator, others)
}

fn assert_beliefs(world: &World, names: &[Rc<str>]) {
    for name in names {
        assert_eq!(
            world.belief(name, SERVICE),
            world.truth(name, SERVICE),
            "{name}"
        );
    }
}

#[test]
fn subscribers_of_an_unresponsive_aggregator_switch_before_the_core_has_noticed() {
    let (mut world, aggregator, others) = zone_of_three(1);
    world.set_down(&aggregator, true);
    for step in 0..20 {
        for name in &others {
            world.set(name, SERVICE, &[load("s1", step + 1)]);
        }
        world.advance(100);
    }
    world.advance(1_200);
    assert_beliefs(&world, &others);
}

#[test]
fn an_aggregator_that_departs_is_succeeded_by_the_next_at_once() {
    let (mut world, aggregator, others) = zone_of_three(2);
    world.set_down(&aggregator, true);
    world.announce_members();
    for name in &others {
        world.set(name, SERVICE, &[load("s2", 4)]);
    }
    world.advance(300);
    world.set(&others[0], SERVICE, &[load("s2", 5)]);
    world.set(&others[1], SERVICE, &[load("s2", 5)]);
    world.advance(300);
    for name in &others {
        assert!(world.belief(name, SERVICE).contains_key("s2"), "{name}");
    }
}

#[test]
fn an_aggregator_with_a_new_incarnation_gets_all_tables_again() {
    let (mut world, aggregator, others) = zone_of_three(3);
    world.start(&aggregator, "north");
    world.announce_members();
    world.set(&aggregator, SERVICE, &[load("s1", 9)]);
    world.advance(1_500);
    let all: Vec<Rc<str>> = world.nodes.keys().cloned().collect();
    assert_beliefs(&world, &all);
    assert!(
        others.iter().all(|name| world.node(name).updates == 0),
        "the aggregator is the same gateway"
    );
}

#[test]
fn an_aggregator_that_restarts_unnoticed_gets_all_tables_again() {
    let (mut world, aggregator, _) = zone_of_three(4);
    let members = world.members();
    world.start(&aggregator, "north");
    world.set_members(&aggregator, members);
    world.set(&aggregator, SERVICE, &[load("s1", 9)]);
    world.advance(1_500);
    let all: Vec<Rc<str>> = world.nodes.keys().cloned().collect();
    assert_beliefs(&world, &all);
}

#[test]
fn reports_do_not_flap_to_an_aggregator_that_responds_now_and_then() {
    let (mut world, aggregator, others) = zone_of_three(5);
    let mut moves = 0;
    let mut before = world.node(&aggregator).updates;
    // Unresponsive for most of each second: it answers some reports, and misses others.
    for second in 0..60 {
        for step in 0..10 {
            world.set_down(&aggregator, step > 0);
            for name in &others {
                world.set(name, SERVICE, &[load("s1", second * 10 + step + 1)]);
            }
            world.advance(100);
        }
        let updates = world.node(&aggregator).updates;
        moves += u32::from(updates > before);
        before = updates;
    }
    assert!(moves <= 15, "reported to again in {moves} of 60 seconds");
}

#[test]
fn an_aggregator_that_thaws_gets_reports_again_after_a_bounded_time() {
    let (mut world, aggregator, others) = zone_of_three(6);
    world.set_down(&aggregator, true);
    for step in 0..10 {
        for name in &others {
            world.set(name, SERVICE, &[load("s1", step + 1)]);
        }
        world.advance(100);
    }
    world.set_down(&aggregator, false);
    let before = world.node(&aggregator).updates;
    for step in 0..(3 * INITIAL_BACKOFF_MS / 100) {
        for name in &others {
            world.set(name, SERVICE, &[load("s1", step as u32 % 5 + 1)]);
        }
        world.advance(100);
    }
    assert!(world.node(&aggregator).updates > before);
}

#[test]
fn the_loads_of_a_dead_subscriber_expire() {
    let (mut world, aggregator, others) = zone_of_three(7);
    let dead = others[0].clone();
    world.set_down(&dead, true);
    for step in 0..(STALE_MS / 100 + 10) {
        world.set(&aggregator, SERVICE, &[load("s1", step as u32 % 5 + 1)]);
        world.set(&others[1], SERVICE, &[load("s1", step as u32 % 3 + 1)]);
        world.advance(100);
    }
    world.advance(1_100);
    assert_beliefs(&world, &[aggregator, others[1].clone()]);
}

#[test]
fn the_loads_of_a_departed_subscriber_are_removed_at_once() {
    let (mut world, aggregator, others) = zone_of_three(8);
    world.set_down(&others[0], true);
    world.announce_members();
    world.set(&aggregator, SERVICE, &[load("s1", 1), load("s2", 1)]);
    world.advance(300);
    assert_beliefs(&world, std::slice::from_ref(&aggregator));
}

#[test]
fn gateways_that_disagree_about_the_aggregator_agree_again() {
    let (mut world, aggregator, others) = zone_of_three(9);
    // One of them does not know the aggregator, and reports to the next one.
    let members: Vec<_> = world
        .members()
        .into_iter()
        .filter(|gateway| gateway.name != aggregator)
        .collect();
    world.set_members(&others[0], members);
    for step in 0..30 {
        for name in &others {
            world.set(name, SERVICE, &[load("s1", step + 1)]);
        }
        world.advance(100);
    }
    assert_ne!(world.aggregator(&others[0], SERVICE, "north"), aggregator);
    world.announce_members();
    for name in &others {
        world.set(name, SERVICE, &[load("s1", 7)]);
    }
    world.advance(STALE_MS + 1_500);
    let all: Vec<Rc<str>> = world.nodes.keys().cloned().collect();
    assert_beliefs(&world, &all);
}

#[test]
fn an_unresponsive_aggregator_in_another_zone_is_succeeded_by_the_next_there() {
    let mut world = World::new(10, &["north", "west"], 3);
    let aggregator = world.aggregator("north-1", SERVICE, "west");
    world.set_down(&aggregator, true);
    let up: Vec<Rc<str>> = world
        .nodes
        .keys()
        .filter(|name| **name != aggregator)
        .cloned()
        .collect();
    for step in 0..40 {
        for name in &up {
            world.set(name, SERVICE, &[load("s1", step + 1)]);
        }
        world.advance(100);
    }
    world.advance(2_200);
    assert_beliefs(&world, &up);
}

#[test]
fn two_partitioned_zones_expire_each_others_loads_and_recover() {
    let mut world = World::new(11, &["north", "west"], 1);
    for name in ["north-1", "west-1"] {
        world.set(name, SERVICE, &[load("s1", 3)]);
    }
    world.advance(1_500);
    assert_beliefs(&world, &["north-1".into(), "west-1".into()]);
    world.set_partitioned("north-1", "west-1", true);
    world.advance(STALE_MS + 1_500);
    assert!(world.belief("north-1", SERVICE).is_empty());
    world.set_partitioned("north-1", "west-1", false);
    world.advance(10_000);
    assert_beliefs(&world, &["north-1".into(), "west-1".into()]);
}

/// An aggregator that gets reports without a network.
struct DirectReports {
    aggregator: LoadDistribution,
    now: u64,
}

impl DirectReports {
    fn new() -> DirectReports {
        let identity = Identity {
            name: "aggregator".into(),
            zone: "north".into(),
            incarnation: 5,
        };
        DirectReports {
            aggregator: LoadDistribution::new(identity),
            now: 1_000,
        }
    }

    fn report(
        &mut self,
        gateway: &str,
        incarnation: u64,
        version: u64,
        loads: &[ServerLoad],
    ) -> Vec<ServerLoad> {
        let report = Report {
            service: SERVICE.into(),
            reporter: Reporter::Subscriber {
                gateway: gateway.into(),
            },
            incarnation,
            version,
            table: Some(LoadTable {
                version,
                loads: loads.to_vec(),
            }),
            known: KnownVersion::default(),
        };
        let update = self.aggregator.handle_report(&report, self.now);
        assert!(update.complete && !update.wants_table);
        update.loads
    }
}

#[test]
fn late_and_duplicate_tables_change_nothing() {
    let mut direct = DirectReports::new();
    direct.report("a", 1, 2, &[load("s1", 2)]);
    assert_eq!(
        direct.report("a", 1, 1, &[load("s1", 9)]),
        [load("s1", 2)],
        "an older one"
    );
    assert_eq!(
        direct.report("a", 1, 2, &[load("s1", 2)]),
        [load("s1", 2)],
        "the same"
    );
    assert_eq!(
        direct.report("a", 2, 1, &[load("s1", 3)]),
        [load("s1", 3)],
        "a new incarnation"
    );
    assert_eq!(
        direct.report("a", 1, 7, &[load("s1", 9)]),
        [load("s1", 3)],
        "of an incarnation that has ended"
    );
}

#[test]
fn an_old_incarnation_does_not_renew_the_table_of_the_new_one() {
    let mut direct = DirectReports::new();
    direct.report("a", 2, 1, &[load("s1", 3)]);
    for _ in 0..4 {
        direct.now += STALE_MS / 5;
        direct.report("a", 1, 1, &[load("s1", 9)]);
    }
    direct.now += STALE_MS / 5;
    assert_eq!(direct.report("b", 1, 1, &[]), []);
}

#[test]
fn a_reporter_whose_table_is_not_stored_is_requested_to_send_it() {
    let mut direct = DirectReports::new();
    let report = Report {
        service: SERVICE.into(),
        reporter: Reporter::Subscriber {
            gateway: "a".into(),
        },
        incarnation: 1,
        version: 4,
        table: None,
        known: KnownVersion {
            incarnation: 5,
            version: 1,
        },
    };
    assert!(
        direct
            .aggregator
            .handle_report(&report, direct.now)
            .wants_table
    );
}

#[test]
fn memory_is_bounded_however_many_names_are_reported() {
    let mut direct = DirectReports::new();
    for number in 0..3_000u32 {
        let loads: Vec<_> = (0..5)
            .map(|server| load(&format!("s{number}-{server}"), 1))
            .collect();
        direct.report(&format!("g{number}"), 1, 1, &loads);
    }
    let many: Vec<_> = (0..9_000)
        .map(|server| load(&format!("t{server}"), 1))
        .collect();
    let known = direct.report("g0", 1, 2, &many);
    assert!(known.len() <= 4_096, "{}", known.len());
    for number in 0..2_000 {
        let report = Report {
            service: format!("service-{number}").as_str().into(),
            reporter: Reporter::Subscriber {
                gateway: "a".into(),
            },
            incarnation: 1,
            version: 1,
            table: Some(LoadTable {
                version: 1,
                loads: vec![load("s", 1)],
            }),
            known: KnownVersion::default(),
        };
        let update = direct.aggregator.handle_report(&report, direct.now);
        assert_eq!(update.loads.is_empty(), number >= 255, "{number}");
    }
}
