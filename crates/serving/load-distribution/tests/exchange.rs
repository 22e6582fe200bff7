//! What gateways learn of each other through aggregators, and what it costs.

mod common;

use common::{load, World};
use dunespur_load_distribution::{
    KnownVersion, LoadTable, RemoteLoads, Report, Reporter, ServerLoad, Update,
};

const SERVICE: &str = "pool";
/// A load that stays is renewed within this time, latency included.
const RENEWED_MS: u64 = 1_010;
const ZONES: [&str; 3] = ["east", "north", "west"];

#[test]
fn the_gateways_of_a_zone_learn_each_others_loads() {
    let mut world = World::new(1, &["north"], 3);
    world.set("north-1", SERVICE, &[load("s1", 2), load("s2", 1)]);
    world.set("north-2", SERVICE, &[load("s1", 5)]);
    world.set("north-3", SERVICE, &[load("s3", 1)]);
    world.advance(RENEWED_MS);
    for name in ["north-1", "north-2", "north-3"] {
        assert_eq!(
            world.belief(name, SERVICE),
            world.truth(name, SERVICE),
            "{name}"
        );
    }
}

#[test]
fn a_load_that_changes_is_reported_within_two_intervals_and_the_latency() {
    let mut world = World::new(2, &["north"], 2);
    world.set("north-1", SERVICE, &[load("s1", 2)]);
    world.set("north-2", SERVICE, &[load("s1", 5)]);
    world.advance(1_000);
    world.set("north-1", SERVICE, &[load("s2", 3)]);
    world.set("north-2", SERVICE, &[load("s1", 4)]);
    world.advance(260);
    world.set("north-2", SERVICE, &[load("s1", 3)]);
    world.advance(260);
    assert_eq!(
        world.belief("north-2", SERVICE),
        world.truth("north-2", SERVICE)
    );
}

#[test]
fn aggregators_report_their_zones_sums_to_each_other() {
    let mut world = World::new(3, &ZONES, 3);
    for (index, name) in world
        .nodes
        .keys()
        .cloned()
        .collect::<Vec<_>>()
        .iter()
        .enumerate()
    {
        world.set(
            name,
            SERVICE,
            &[load("s1", index as u32 + 1), load(&format!("t{index}"), 1)],
        );
    }
    world.advance(4_000);
    for name in world.nodes.keys() {
        assert_eq!(
            world.belief(name, SERVICE),
            world.truth(name, SERVICE),
            "{name}"
        );
    }
}

#[test]
fn there_are_no_calls_while_nothing_is_in_flight() {
    let mut world = World::new(4, &ZONES, 3);
    world.advance(2_000);
    assert_eq!(world.calls(), 0);
    world.set("north-1", SERVICE, &[load("s1", 2)]);
    world.advance(1_000);
    world.set("north-1", SERVICE, &[]);
    world.advance(2_000);
    let ended = world.calls();
    world.advance(20_000);
    assert_eq!(world.calls(), ended);
    for node in world.nodes.values() {
        assert_eq!(node.distribution.next_due(), None, "no timer is left");
    }
}

#[test]
fn a_subscriber_reports_four_times_a_second_at_most_however_often_its_load_changes() {
    let mut world = World::new(5, &["north"], 2);
    let aggregator = world.aggregator("north-1", SERVICE, "north");
    let subscriber = if &*aggregator == "north-1" {
        "north-2"
    } else {
        "north-1"
    };
    for step in 0..1_000 {
        world.set(subscriber, SERVICE, &[load("s1", step % 7 + 1)]);
        world.advance(10);
    }
    let calls = world.node(subscriber).calls;
    assert!((36..=41).contains(&calls), "{calls} in ten seconds");
}

#[test]
fn a_load_that_stays_is_renewed_once_a_second_without_its_table() {
    let mut world = World::new(6, &["north"], 2);
    let aggregator = world.aggregator("north-1", SERVICE, "north");
    let subscriber = if &*aggregator == "north-1" {
        "north-2"
    } else {
        "north-1"
    };
    world.set(subscriber, SERVICE, &[load("s1", 1)]);
    world.advance(10_000);
    let calls = world.node(subscriber).calls;
    assert!((10..=11).contains(&calls), "{calls} in ten seconds");
    world.set(&aggregator.clone(), SERVICE, &[load("s1", 1)]);
    world.advance(300);
    assert_eq!(
        world.belief(&aggregator, SERVICE),
        world.truth(&aggregator, SERVICE),
        "it still counts"
    );
}

#[test]
fn two_aggregators_report_once_in_an_interval_not_twice() {
    let mut world = World::new(7, &["north", "west"], 1);
    for step in 0..1_000 {
        world.set("north-1", SERVICE, &[load("s1", step % 7 + 1)]);
        world.set("west-1", SERVICE, &[load("s1", step % 5 + 1)]);
        world.advance(10);
    }
    assert!(world.calls() <= 22, "{} in ten seconds", world.calls());
    world.advance(1_200);
    for name in ["north-1", "west-1"] {
        assert_eq!(
            world.belief(name, SERVICE),
            world.truth(name, SERVICE),
            "{name}"
        );
    }
}

#[test]
fn services_do_not_mix() {
    let mut world = World::new(8, &["north"], 2);
    for name in ["north-1", "north-2"] {
        world.set(name, "one", &[load("s1", 1)]);
        world.set(name, "other", &[load("s2", 2)]);
    }
    world.advance(600);
    assert_eq!(world.belief("north-1", "one"), [("s1".into(), 1)].into());
    assert_eq!(world.belief("north-1", "other"), [("s2".into(), 2)].into());
}

#[test]
fn ejections_are_counted_by_gateways() {
    let mut world = World::new(9, &["north"], 3);
    for name in ["north-1", "north-2", "north-3"] {
        let ejected_by = u32::from(name != "north-1");
        world.set(
            name,
            SERVICE,
            &[ServerLoad {
                ejected_by,
                ..load("s1", 1)
            }],
        );
    }
    world.advance(RENEWED_MS);
    assert_eq!(world.node("north-1").remote_loads[SERVICE][0].ejected_by, 2);
    assert_eq!(world.node("north-2").remote_loads[SERVICE][0].ejected_by, 1);
}

#[test]
fn a_report_and_its_update_are_some_hundred_bytes() {
    let loads: Vec<_> = (0..5)
        .map(|number| load(&format!("i-7f3a91c{number}"), 3))
        .collect();
    let report = Report {
        service: "huvo11a".into(),
        reporter: Reporter::Subscriber {
            gateway: "front-queretaro-a-1".into(),
        },
        incarnation: 1_764_659_000_000,
        version: 5_000,
        table: Some(LoadTable {
            version: 5_000,
            loads: loads.clone(),
        }),
        known: KnownVersion {
            incarnation: 1_764_659_000_000,
            version: 5_000,
        },
    };
    let update = Update {
        incarnation: 1_764_659_000_000,
        version: 5_001,
        complete: false,
        loads,
        wants_table: false,
    };
    let sizes = [
        postcard::to_stdvec(&report).unwrap().len(),
        postcard::to_stdvec(&update).unwrap().len(),
    ];
    assert!(sizes[0] <= 140 && sizes[1] <= 90, "{sizes:?}");
}

#[test]
fn ejections_are_believed_of_a_third_of_the_servers_at_most() {
    let ejected_by = |servers: usize| -> Vec<ServerLoad> {
        let named = (0..servers).map(|number| load(&format!("s{number}"), 0));
        named
            .map(|load| ServerLoad {
                ejected_by: 1,
                ..load
            })
            .collect()
    };
    let mut loads = ejected_by(4);
    loads.push(load("well", 3));
    let remote = RemoteLoads {
        service: SERVICE.into(),
        loads,
    };
    assert_eq!(remote.ejected(12).len(), 4);
    assert!(
        remote.ejected(11).is_empty(),
        "the reporter is more likely at fault"
    );
    assert!(remote.ejected(0).is_empty());
}
