//! Seeded worlds of gateways under lost, duplicated and delayed messages, restarts, freezes and partitions: once the
//! faults end, all gateways know what the others have.

mod common;

use common::{load, NetworkFaults, World};
use dunespur_load_distribution::ServerLoad;
use fastrand::Rng;
use std::rc::Rc;

const SEEDS: u64 = 60;
const DIGEST_SEEDS: u64 = 100;
const SERVICES: [&str; 2] = ["pool", "apps"];
/// Tables become stale, backoffs end and sums are published within this time.
const SETTLING_MS: u64 = 14_000;
/// Upper bound of a fault's duration.
const FAULT_MS: u64 = 3_000;

fn random_loads(random: &mut Rng) -> Vec<ServerLoad> {
    let busy: Vec<u32> = (0..6).filter(|_| random.bool()).collect();
    busy.into_iter()
        .map(|server| load(&format!("s{server}"), random.u32(1..9)))
        .collect()
}

fn inject_fault(world: &mut World, random: &mut Rng) {
    let names: Vec<Rc<str>> = world.nodes.keys().cloned().collect();
    let name = names[random.usize(..names.len())].clone();
    match random.u32(0..6) {
        0 => {
            let zone = world.node(&name).identity.zone.clone();
            world.start(&name, &zone);
            if random.bool() {
                world.announce_members();
            }
        }
        1 => world.set_down(&name, true),
        2 => world.set_down(&name, false),
        3 => world.announce_members(),
        4 => {
            let other = names[random.usize(..names.len())].clone();
            if other != name {
                let partitioned = random.bool();
                world.set_partitioned(&name, &other, partitioned);
            }
        }
        _ => {
            let members: Vec<_> = world
                .members()
                .into_iter()
                .filter(|_| random.u32(0..5) > 0)
                .collect();
            world.set_members(&name, members);
        }
    }
}

fn change_loads(world: &mut World, random: &mut Rng) {
    let names: Vec<Rc<str>> = world.nodes.keys().cloned().collect();
    for name in names {
        for service in SERVICES {
            if random.u32(0..3) == 0 && !world.node(&name).down {
                let loads = random_loads(random);
                world.set(&name, service, &loads);
            }
        }
    }
}

fn faulty_world(seed: u64) -> World {
    let mut random = Rng::with_seed(seed);
    let mut world = World::new(seed, &["east", "north", "west"], random.usize(1..4));
    world.network = NetworkFaults {
        lost: random.u32(0..30),
        duplicated: random.u32(0..20),
        delayed: random.u32(0..20),
    };
    for _ in 0..12 {
        inject_fault(&mut world, &mut random);
        change_loads(&mut world, &mut random);
        world.advance(random.u64(1..FAULT_MS) / 4);
    }
    world
}

fn heal(world: &mut World) {
    world.network = NetworkFaults::default();
    world.partitions.clear();
    for node in world.nodes.values_mut() {
        node.down = false;
    }
    world.announce_members();
}

#[test]
fn once_faults_end_all_know_what_the_others_have() {
    for seed in 0..SEEDS {
        let mut world = faulty_world(seed);
        heal(&mut world);
        let names: Vec<Rc<str>> = world.nodes.keys().cloned().collect();
        for (index, name) in names.iter().enumerate() {
            for service in SERVICES {
                world.set(
                    name,
                    service,
                    &[load("s1", index as u32 + 1), load("last", 1)],
                );
            }
        }
        world.advance(SETTLING_MS);
        for name in &names {
            for service in SERVICES {
                let (belief, truth) = (world.belief(name, service), world.truth(name, service));
                assert_eq!(belief, truth, "seed {seed}, {name}, {service}");
            }
        }
    }
}

#[test]
fn once_nothing_is_in_flight_nothing_is_reported() {
    for seed in 0..SEEDS {
        let mut world = faulty_world(seed);
        heal(&mut world);
        let names: Vec<Rc<str>> = world.nodes.keys().cloned().collect();
        for name in &names {
            for service in SERVICES {
                world.set(name, service, &[]);
            }
        }
        world.advance(SETTLING_MS);
        let calls = world.calls();
        world.advance(5_000);
        assert_eq!(world.calls(), calls, "seed {seed}");
    }
}

#[test]
fn at_no_time_are_there_more_calls_than_a_bound() {
    for seed in 0..SEEDS {
        let mut world = faulty_world(seed);
        let mut random = Rng::with_seed(seed);
        let before = world.calls();
        for _ in 0..100 {
            change_loads(&mut world, &mut random);
            world.advance(50);
        }
        // Each gateway: four reports a second for each service to its aggregator, two to each of two other zones as one,
        // and as many again for failures.
        let bound = 2 * 5 * (4 + 2 * 2) * 2 * world.nodes.len() as u64;
        assert!(
            world.calls() - before <= bound,
            "seed {seed}: {} calls",
            world.calls() - before
        );
    }
}

/// A seed gives the same world in every version: each message with its time and bytes, and all
/// updates.
#[test]
fn worlds_keep_their_digests() {
    let mut digests = String::new();
    for seed in 0..DIGEST_SEEDS {
        let mut world = faulty_world(seed);
        heal(&mut world);
        world.advance(1_000);
        digests += &format!("{seed} {:016x}\n", world.digest());
    }
    let expected = include_str!("fixtures/world_digests.txt");
    let differing: Vec<_> = digests
        .lines()
        .zip(expected.lines())
        .filter(|(now, then)| now != then)
        .collect();
    assert!(
        digests == expected,
        "{} differ, first {:?}; now:\n{digests}",
        differing.len(),
        differing.first()
    );
}
