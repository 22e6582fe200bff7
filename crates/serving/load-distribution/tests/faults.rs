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
/// Time within which tables become stale, backoffs end and sums are published.
const SETTLING_MS: u64 = 14_000;
/// Four times the upper bound of the time between two faults.
const MAX_FAULT_MS: u64 = 3_000;

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
        cluster.advance(random.u64(1..MAX_FAULT_MS) / 4);
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
fn the_number_of_calls_is_bounded_after_faults() {
    for seed in 0..SEEDS {
        let mut cluster = faulty_cluster(seed);
        let mut random = Rng::with_seed(seed);
        let before = cluster.calls();
        for _ in 0..100 {
            change_loads(&mut cluster, &mut random);
            cluster.advance(50);
        }
        // In 5 seconds, each gateway makes per service 4 reports a second to its aggregator and, as an aggregator, 2 a
        // second to each of the 2 other zones. The last factor 2 allows as many calls again after failures.
        let bound = 2 * 5 * (4 + 2 * 2) * 2 * cluster.nodes.len() as u64;
        assert!(
            cluster.calls() - before <= bound,
            "seed {seed}: {} calls",
            cluster.calls() - before
        );
    }
}

/// Guards against changed messages, times and updates: each seed must give the digest that an earlier version stored.
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
