//! Faults of single gateways: aggregators and subscribers that depart, freeze, restart or are partitioned, and late and
//! duplicate messages.

mod common;

use common::{load, Cluster};
use dunespur_load_distribution::{
    Identity, KnownVersion, LoadDistribution, LoadTable, Report, Reporter, ServerLoad,
};
use std::rc::Rc;

const SERVICE: &str = "pool";
/// Time after which a table that is not renewed becomes stale.
const STALE_MS: u64 = 2_500;
/// Time for which an unresponsive aggregator gets no reports after the first failure.
const INITIAL_BACKOFF_MS: u64 = 1_000;

/// Three gateways of one zone with loads. Returns the cluster, the aggregator's name, and the other gateways' names.
fn zone_of_three(seed: u64) -> (Cluster, Rc<str>, Vec<Rc<str>>) {
    let mut cluster = Cluster::new(seed, &["north"], 3);
    let names: Vec<Rc<str>> = cluster.nodes.keys().cloned().collect();
    for (index, name) in names.iter().enumerate() {
        cluster.set_loads(name, SERVICE, &[load("s1", index as u32 + 1)]);
    }
    cluster.advance(1_000);
    let aggregator = cluster.aggregator("north-1", SERVICE, "north");
    let others = names
        .into_iter()
        .filter(|name| *name != aggregator)
        .collect();
    (cluster, aggregator, others)
}

/// Asserts that the named gateways know the actual loads of all others.
fn assert_loads_known(cluster: &Cluster, names: &[Rc<str>]) {
    for name in names {
        assert_eq!(
            cluster.known_loads(name, SERVICE),
            cluster.actual_loads(name, SERVICE),
            "{name}"
        );
    }
}

#[test]
fn subscribers_of_an_unresponsive_aggregator_switch_before_the_membership_changes() {
    let (mut cluster, aggregator, others) = zone_of_three(1);
    cluster.set_frozen(&aggregator, true);
    for step in 0..20 {
        for name in &others {
            cluster.set_loads(name, SERVICE, &[load("s1", step + 1)]);
        }
        cluster.advance(100);
    }
    cluster.advance(1_200);
    assert_loads_known(&cluster, &others);
}

#[test]
fn a_departed_aggregator_is_succeeded_by_the_next_gateway_at_once() {
    let (mut cluster, aggregator, others) = zone_of_three(2);
    cluster.set_frozen(&aggregator, true);
    cluster.announce_members();
    for name in &others {
        cluster.set_loads(name, SERVICE, &[load("s2", 4)]);
    }
    cluster.advance(300);
    cluster.set_loads(&others[0], SERVICE, &[load("s2", 5)]);
    cluster.set_loads(&others[1], SERVICE, &[load("s2", 5)]);
    cluster.advance(300);
    for name in &others {
        assert!(
            cluster.known_loads(name, SERVICE).contains_key("s2"),
            "{name}"
        );
    }
}

#[test]
fn an_aggregator_with_a_new_incarnation_gets_all_tables_again() {
    let (mut cluster, aggregator, others) = zone_of_three(3);
    cluster.start(&aggregator, "north");
    cluster.announce_members();
    cluster.set_loads(&aggregator, SERVICE, &[load("s1", 9)]);
    cluster.advance(1_500);
    let all: Vec<Rc<str>> = cluster.nodes.keys().cloned().collect();
    assert_loads_known(&cluster, &all);
    assert!(
        others.iter().all(|name| cluster.node(name).updates == 0),
        "the restarted gateway must stay the aggregator"
    );
}

#[test]
fn an_aggregator_that_restarts_unnoticed_gets_all_tables_again() {
    let (mut cluster, aggregator, _) = zone_of_three(4);
    let members = cluster.members();
    cluster.start(&aggregator, "north");
    cluster.set_members(&aggregator, members);
    cluster.set_loads(&aggregator, SERVICE, &[load("s1", 9)]);
    cluster.advance(1_500);
    let all: Vec<Rc<str>> = cluster.nodes.keys().cloned().collect();
    assert_loads_known(&cluster, &all);
}

#[test]
fn reports_do_not_flap_to_an_aggregator_that_responds_only_at_times() {
    let (mut cluster, aggregator, others) = zone_of_three(5);
    let mut seconds_with_reports = 0;
    let mut before = cluster.node(&aggregator).updates;
    // The aggregator is frozen for nine tenths of each second, so that it answers only some reports.
    for second in 0..60 {
        for step in 0..10 {
            cluster.set_frozen(&aggregator, step > 0);
            for name in &others {
                cluster.set_loads(name, SERVICE, &[load("s1", second * 10 + step + 1)]);
            }
            cluster.advance(100);
        }
        let updates = cluster.node(&aggregator).updates;
        seconds_with_reports += u32::from(updates > before);
        before = updates;
    }
    assert!(
        seconds_with_reports <= 15,
        "the aggregator got reports in {seconds_with_reports} of 60 seconds"
    );
}

#[test]
fn a_thawed_aggregator_gets_reports_again_after_a_bounded_time() {
    let (mut cluster, aggregator, others) = zone_of_three(6);
    cluster.set_frozen(&aggregator, true);
    for step in 0..10 {
        for name in &others {
            cluster.set_loads(name, SERVICE, &[load("s1", step + 1)]);
        }
        cluster.advance(100);
    }
    cluster.set_frozen(&aggregator, false);
    let before = cluster.node(&aggregator).updates;
    for step in 0..(3 * INITIAL_BACKOFF_MS / 100) {
        for name in &others {
            cluster.set_loads(name, SERVICE, &[load("s1", step as u32 % 5 + 1)]);
        }
        cluster.advance(100);
    }
    assert!(cluster.node(&aggregator).updates > before);
}

#[test]
fn the_loads_of_an_unresponsive_subscriber_expire() {
    let (mut cluster, aggregator, others) = zone_of_three(7);
    let unresponsive = others[0].clone();
    cluster.set_frozen(&unresponsive, true);
    for step in 0..(STALE_MS / 100 + 10) {
        cluster.set_loads(&aggregator, SERVICE, &[load("s1", step as u32 % 5 + 1)]);
        cluster.set_loads(&others[1], SERVICE, &[load("s1", step as u32 % 3 + 1)]);
        cluster.advance(100);
    }
    cluster.advance(1_100);
    assert_loads_known(&cluster, &[aggregator, others[1].clone()]);
}

#[test]
fn the_loads_of_a_departed_subscriber_are_removed_at_once() {
    let (mut cluster, aggregator, others) = zone_of_three(8);
    cluster.set_frozen(&others[0], true);
    cluster.announce_members();
    cluster.set_loads(&aggregator, SERVICE, &[load("s1", 1), load("s2", 1)]);
    cluster.advance(300);
    assert_loads_known(&cluster, std::slice::from_ref(&aggregator));
}

#[test]
fn gateways_that_disagree_about_the_aggregator_agree_again() {
    let (mut cluster, aggregator, others) = zone_of_three(9);
    // One subscriber does not know the aggregator, and reports to the next gateway.
    let members: Vec<_> = cluster
        .members()
        .into_iter()
        .filter(|gateway| gateway.name != aggregator)
        .collect();
    cluster.set_members(&others[0], members);
    for step in 0..30 {
        for name in &others {
            cluster.set_loads(name, SERVICE, &[load("s1", step + 1)]);
        }
        cluster.advance(100);
    }
    assert_ne!(cluster.aggregator(&others[0], SERVICE, "north"), aggregator);
    cluster.announce_members();
    for name in &others {
        cluster.set_loads(name, SERVICE, &[load("s1", 7)]);
    }
    cluster.advance(STALE_MS + 1_500);
    let all: Vec<Rc<str>> = cluster.nodes.keys().cloned().collect();
    assert_loads_known(&cluster, &all);
}

#[test]
fn an_unresponsive_aggregator_in_another_zone_is_succeeded_by_the_next_gateway_of_that_zone() {
    let mut cluster = Cluster::new(10, &["north", "west"], 3);
    let aggregator = cluster.aggregator("north-1", SERVICE, "west");
    cluster.set_frozen(&aggregator, true);
    let up: Vec<Rc<str>> = cluster
        .nodes
        .keys()
        .filter(|name| **name != aggregator)
        .cloned()
        .collect();
    for step in 0..40 {
        for name in &up {
            cluster.set_loads(name, SERVICE, &[load("s1", step + 1)]);
        }
        cluster.advance(100);
    }
    cluster.advance(2_200);
    assert_loads_known(&cluster, &up);
}

#[test]
fn two_partitioned_zones_expire_each_others_loads_and_recover() {
    let mut cluster = Cluster::new(11, &["north", "west"], 1);
    for name in ["north-1", "west-1"] {
        cluster.set_loads(name, SERVICE, &[load("s1", 3)]);
    }
    cluster.advance(1_500);
    assert_loads_known(&cluster, &["north-1".into(), "west-1".into()]);
    cluster.set_partitioned("north-1", "west-1", true);
    cluster.advance(STALE_MS + 1_500);
    assert!(cluster.known_loads("north-1", SERVICE).is_empty());
    cluster.set_partitioned("north-1", "west-1", false);
    cluster.advance(10_000);
    assert_loads_known(&cluster, &["north-1".into(), "west-1".into()]);
}

/// An aggregator that gets reports directly, without the simulated network.
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
        "a table with an older version"
    );
    assert_eq!(
        direct.report("a", 1, 2, &[load("s1", 2)]),
        [load("s1", 2)],
        "a duplicate table"
    );
    assert_eq!(
        direct.report("a", 2, 1, &[load("s1", 3)]),
        [load("s1", 3)],
        "a table of a new incarnation"
    );
    assert_eq!(
        direct.report("a", 1, 7, &[load("s1", 9)]),
        [load("s1", 3)],
        "a table of an earlier incarnation"
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
fn a_reporter_whose_table_is_not_stored_is_asked_for_it() {
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
    assert!(known.len() <= 4_096, "{} loads", known.len());
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
        assert_eq!(update.loads.is_empty(), number >= 255, "service {number}");
    }
}
