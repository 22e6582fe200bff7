//! Exchange of loads through aggregators without faults: the loads that gateways get to know, and the number of calls.

mod common;

use common::{load, Cluster};
use dunespur_load_distribution::{
    KnownVersion, LoadTable, RemoteLoads, Report, Reporter, ServerLoad, Update,
};

const SERVICE: &str = "pool";
/// Time within which an unchanged load is renewed, including latency.
const RENEWED_MS: u64 = 1_010;
const ZONES: [&str; 3] = ["east", "north", "west"];

#[test]
fn the_gateways_of_a_zone_get_to_know_each_others_loads() {
    let mut cluster = Cluster::new(1, &["north"], 3);
    cluster.set_loads("north-1", SERVICE, &[load("s1", 2), load("s2", 1)]);
    cluster.set_loads("north-2", SERVICE, &[load("s1", 5)]);
    cluster.set_loads("north-3", SERVICE, &[load("s3", 1)]);
    cluster.advance(RENEWED_MS);
    for name in ["north-1", "north-2", "north-3"] {
        assert_eq!(
            cluster.known_loads(name, SERVICE),
            cluster.actual_loads(name, SERVICE),
            "{name}"
        );
    }
}

#[test]
fn a_changed_load_is_reported_within_two_intervals_and_the_latency() {
    let mut cluster = Cluster::new(2, &["north"], 2);
    cluster.set_loads("north-1", SERVICE, &[load("s1", 2)]);
    cluster.set_loads("north-2", SERVICE, &[load("s1", 5)]);
    cluster.advance(1_000);
    cluster.set_loads("north-1", SERVICE, &[load("s2", 3)]);
    cluster.set_loads("north-2", SERVICE, &[load("s1", 4)]);
    cluster.advance(260);
    cluster.set_loads("north-2", SERVICE, &[load("s1", 3)]);
    cluster.advance(260);
    assert_eq!(
        cluster.known_loads("north-2", SERVICE),
        cluster.actual_loads("north-2", SERVICE)
    );
}

#[test]
fn aggregators_report_their_zones_sums_to_each_other() {
    let mut cluster = Cluster::new(3, &ZONES, 3);
    for (index, name) in cluster
        .nodes
        .keys()
        .cloned()
        .collect::<Vec<_>>()
        .iter()
        .enumerate()
    {
        cluster.set_loads(
            name,
            SERVICE,
            &[load("s1", index as u32 + 1), load(&format!("t{index}"), 1)],
        );
    }
    cluster.advance(4_000);
    for name in cluster.nodes.keys() {
        assert_eq!(
            cluster.known_loads(name, SERVICE),
            cluster.actual_loads(name, SERVICE),
            "{name}"
        );
    }
}

#[test]
fn there_are_no_calls_while_nothing_is_in_flight() {
    let mut cluster = Cluster::new(4, &ZONES, 3);
    cluster.advance(2_000);
    assert_eq!(cluster.calls(), 0);
    cluster.set_loads("north-1", SERVICE, &[load("s1", 2)]);
    cluster.advance(1_000);
    cluster.set_loads("north-1", SERVICE, &[]);
    cluster.advance(2_000);
    let ended = cluster.calls();
    cluster.advance(20_000);
    assert_eq!(cluster.calls(), ended);
    for node in cluster.nodes.values() {
        assert_eq!(
            node.distribution.next_due(),
            None,
            "no report may be planned"
        );
    }
}

#[test]
fn a_subscriber_reports_at_most_four_times_a_second_however_often_its_load_changes() {
    let mut cluster = Cluster::new(5, &["north"], 2);
    let aggregator = cluster.aggregator("north-1", SERVICE, "north");
    let subscriber = if &*aggregator == "north-1" {
        "north-2"
    } else {
        "north-1"
    };
    for step in 0..1_000 {
        cluster.set_loads(subscriber, SERVICE, &[load("s1", step % 7 + 1)]);
        cluster.advance(10);
    }
    let calls = cluster.node(subscriber).calls;
    assert!((36..=41).contains(&calls), "{calls} calls in ten seconds");
}

#[test]
fn an_unchanged_load_is_renewed_once_a_second_without_its_table() {
    let mut cluster = Cluster::new(6, &["north"], 2);
    let aggregator = cluster.aggregator("north-1", SERVICE, "north");
    let subscriber = if &*aggregator == "north-1" {
        "north-2"
    } else {
        "north-1"
    };
    cluster.set_loads(subscriber, SERVICE, &[load("s1", 1)]);
    cluster.advance(10_000);
    let calls = cluster.node(subscriber).calls;
    assert!((10..=11).contains(&calls), "{calls} calls in ten seconds");
    cluster.set_loads(&aggregator.clone(), SERVICE, &[load("s1", 1)]);
    cluster.advance(300);
    assert_eq!(
        cluster.known_loads(&aggregator, SERVICE),
        cluster.actual_loads(&aggregator, SERVICE),
        "the renewed load must still be known"
    );
}

#[test]
fn only_one_of_two_aggregators_reports_to_the_other_per_interval() {
    let mut cluster = Cluster::new(7, &["north", "west"], 1);
    for step in 0..1_000 {
        cluster.set_loads("north-1", SERVICE, &[load("s1", step % 7 + 1)]);
        cluster.set_loads("west-1", SERVICE, &[load("s1", step % 5 + 1)]);
        cluster.advance(10);
    }
    assert!(
        cluster.calls() <= 22,
        "{} calls in ten seconds",
        cluster.calls()
    );
    cluster.advance(1_200);
    for name in ["north-1", "west-1"] {
        assert_eq!(
            cluster.known_loads(name, SERVICE),
            cluster.actual_loads(name, SERVICE),
            "{name}"
        );
    }
}

#[test]
fn the_loads_of_services_are_separate() {
    let mut cluster = Cluster::new(8, &["north"], 2);
    for name in ["north-1", "north-2"] {
        cluster.set_loads(name, "one", &[load("s1", 1)]);
        cluster.set_loads(name, "other", &[load("s2", 2)]);
    }
    cluster.advance(600);
    assert_eq!(
        cluster.known_loads("north-1", "one"),
        [("s1".into(), 1)].into()
    );
    assert_eq!(
        cluster.known_loads("north-1", "other"),
        [("s2".into(), 2)].into()
    );
}

#[test]
fn an_ejection_is_counted_once_per_gateway() {
    let mut cluster = Cluster::new(9, &["north"], 3);
    for name in ["north-1", "north-2", "north-3"] {
        let ejected_by = u32::from(name != "north-1");
        cluster.set_loads(
            name,
            SERVICE,
            &[ServerLoad {
                ejected_by,
                ..load("s1", 1)
            }],
        );
    }
    cluster.advance(RENEWED_MS);
    assert_eq!(
        cluster.node("north-1").remote_loads[SERVICE][0].ejected_by,
        2
    );
    assert_eq!(
        cluster.node("north-2").remote_loads[SERVICE][0].ejected_by,
        1
    );
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
    assert!(
        sizes[0] <= 140 && sizes[1] <= 90,
        "sizes of the report and the update: {sizes:?}"
    );
}

#[test]
fn ejections_of_more_than_a_third_of_the_servers_are_ignored() {
    let ejected_by = |servers: usize| -> Vec<ServerLoad> {
        let loads = (0..servers).map(|number| load(&format!("s{number}"), 0));
        loads
            .map(|load| ServerLoad {
                ejected_by: 1,
                ..load
            })
            .collect()
    };
    let mut loads = ejected_by(4);
    loads.push(load("not-ejected", 3));
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
