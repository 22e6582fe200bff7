//! Simulated clusters with random faults from fixed seeds: lost, duplicated and delayed messages, restarts, freezes and
//! partitions. Once the faults end, all gateways must know the loads of the others.

mod common;

use common::{load, Cluster, NetworkFaults};
use dunespur_load_distribution::ServerLoad;
use fastrand::Rng;
use std::rc::Rc;

const SEEDS: u64 = 60;
const DIGEST_SEEDS: u64 = 100;
const SERVICES: [&str; 2] = ["pool", "apps"];
/// Wait after the last fault, long enough for tables to become stale, backoffs to end and sums to be published.
const SETTLING_MS: u64 = 14_000;
/// Draws below this bound are divided by 4 for the time between two faults, which is therefore below 750 ms. The
/// digests depend on these draws.
const FAULT_GAP_DRAW_BOUND: u64 = 3_000;

fn random_loads(random: &mut Rng) -> Vec<ServerLoad> {
    let busy: Vec<u32> = (0..6).filter(|_| random.bool()).collect();
    busy.into_iter()
        .map(|server| load(&format!("s{server}"), random.u32(1..9)))
        .collect()
}

fn inject_fault(cluster: &mut Cluster, random: &mut Rng) {
    let names: Vec<Rc<str>> = cluster.nodes.keys().cloned().collect();
    let name = names[random.usize(..names.len())].clone();
    match random.u32(0..6) {
        0 => {
            let zone = cluster.node(&name).identity.zone.clone();
            cluster.start(&name, &zone);
            if random.bool() {
                cluster.announce_members();
            }
        }
        1 => cluster.set_frozen(&name, true),
        2 => cluster.set_frozen(&name, false),
        3 => cluster.announce_members(),
        4 => {
            let other = names[random.usize(..names.len())].clone();
            if other != name {
                let partitioned = random.bool();
                cluster.set_partitioned(&name, &other, partitioned);
            }
        }
        _ => {
            let members: Vec<_> = cluster
                .members()
                .into_iter()
                .filter(|_| random.u32(0..5) > 0)
                .collect();
            cluster.set_members(&name, members);
        }
    }
}

fn change_loads(cluster: &mut Cluster, random: &mut Rng) {
    let names: Vec<Rc<str>> = cluster.nodes.keys().cloned().collect();
    for name in names {
        for service in SERVICES {
            if random.u32(0..3) == 0 && !cluster.node(&name).frozen {
                let loads = random_loads(random);
                cluster.set_loads(&name, service, &loads);
            }
        }
    }
}

fn faulty_cluster(seed: u64) -> Cluster {
    let mut random = Rng::with_seed(seed);
    let mut cluster = Cluster::new(seed, &["east", "north", "west"], random.usize(1..4));
    cluster.network = NetworkFaults {
        lost: random.u32(0..30),
        duplicated: random.u32(0..20),
        delayed: random.u32(0..20),
    };
    for _ in 0..12 {
        inject_fault(&mut cluster, &mut random);
        change_loads(&mut cluster, &mut random);
        cluster.advance(random.u64(1..FAULT_GAP_DRAW_BOUND) / 4);
    }
    cluster
}

fn end_faults(cluster: &mut Cluster) {
    cluster.network = NetworkFaults::default();
    cluster.partitions.clear();
    for node in cluster.nodes.values_mut() {
        node.frozen = false;
    }
    cluster.announce_members();
}

#[test]
fn once_faults_end_all_gateways_know_the_loads_of_the_others() {
    for seed in 0..SEEDS {
        let mut cluster = faulty_cluster(seed);
        end_faults(&mut cluster);
        let names: Vec<Rc<str>> = cluster.nodes.keys().cloned().collect();
        for (index, name) in names.iter().enumerate() {
            for service in SERVICES {
                cluster.set_loads(
                    name,
                    service,
                    &[load("s1", index as u32 + 1), load("last", 1)],
                );
            }
        }
        cluster.advance(SETTLING_MS);
        for name in &names {
            for service in SERVICES {
                let (known, actual) = (
                    cluster.known_loads(name, service),
                    cluster.actual_loads(name, service),
                );
                assert_eq!(known, actual, "seed {seed}, {name}, {service}");
            }
        }
    }
}

#[test]
fn without_requests_in_flight_nothing_is_reported() {
    for seed in 0..SEEDS {
        let mut cluster = faulty_cluster(seed);
        end_faults(&mut cluster);
        let names: Vec<Rc<str>> = cluster.nodes.keys().cloned().collect();
        for name in &names {
            for service in SERVICES {
                cluster.set_loads(name, service, &[]);
            }
        }
        cluster.advance(SETTLING_MS);
        let calls = cluster.calls();
        cluster.advance(5_000);
        assert_eq!(cluster.calls(), calls, "seed {seed}");
    }
}

#[test]
fn the_number_of_calls_is_bounded_despite_faults() {
    /// Duration of the 100 steps of 50 ms.
    const SECONDS: u64 = 5;
    /// Reports of a gateway to the aggregator of its zone, per service.
    const SUBSCRIBER_REPORTS_PER_S: u64 = 4;
    /// Reports of an aggregator to each other zone, per service.
    const AGGREGATOR_REPORTS_PER_S: u64 = 2;
    const OTHER_ZONES: u64 = 2;
    /// Failures may double the number of calls.
    const FAILURE_FACTOR: u64 = 2;
    for seed in 0..SEEDS {
        let mut cluster = faulty_cluster(seed);
        let mut random = Rng::with_seed(seed);
        let before = cluster.calls();
        for _ in 0..100 {
            change_loads(&mut cluster, &mut random);
            cluster.advance(50);
        }
        let reports_per_gateway = SUBSCRIBER_REPORTS_PER_S + AGGREGATOR_REPORTS_PER_S * OTHER_ZONES;
        let bound = SERVICES.len() as u64
            * SECONDS
            * reports_per_gateway
            * FAILURE_FACTOR
            * cluster.nodes.len() as u64;
        assert!(
            cluster.calls() - before <= bound,
            "seed {seed}: {} calls",
            cluster.calls() - before
        );
    }
}

/// Detects unintended changes of messages, times and updates: each seed must have the digest in
/// `fixtures/world_digests.txt`, which was recorded with an earlier version of the code.
#[test]
fn clusters_keep_their_digests() {
    let mut digests = String::new();
    for seed in 0..DIGEST_SEEDS {
        let mut cluster = faulty_cluster(seed);
        end_faults(&mut cluster);
        cluster.advance(1_000);
        digests += &format!("{seed} {:016x}\n", cluster.digest());
    }
    let expected = include_str!("fixtures/world_digests.txt");
    let differing: Vec<_> = digests
        .lines()
        .zip(expected.lines())
        .filter(|(actual, expected)| actual != expected)
        .collect();
    assert!(
        digests == expected,
        "{} digests differ, first (actual, expected): {:?}; all actual digests:\n{digests}",
        differing.len(),
        differing.first()
    );
}
