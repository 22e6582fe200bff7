//! Members send the same datagrams at the same times, byte for byte, and report the same events as in revision 52a1591,
//! over losses, partitions, stalls, restarts and departures. That revision wrote the files under `tests/fixtures`.

mod common;

use common::{address, settings};
use dunespur_gossip_membership::{Member, Membership, Output};
use dunespur_test_fixtures::{hex, Fixtures};
use std::collections::BTreeMap;
use std::fmt::Write as _;

const SEEDS: u64 = 100;
const LIMITERS: u16 = 5;
const STEP: f64 = 0.02;
/// Steps of the simulation for each seed.
const STEPS: usize = 3_000;

fn fixtures() -> Fixtures {
    Fixtures::of_package(env!("CARGO_MANIFEST_DIR"))
}

fn member(port: u16, instance: u64) -> Member {
    Member {
        // Ports above LIMITERS belong to processes with duplicate names.
        name: format!("limiter-{}", (port - 1) % LIMITERS + 1),
        instance,
        precedence: instance,
        address: address(port),
        zone: format!("zone-{}", port % 3),
        machine: format!("machine-{port}"),
        version: 1,
        voter: port % 2 == 1,
    }
}

/// A pseudo-random number generator with a fixed seed.
struct Random(u64);

impl Random {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % bound
    }
}

/// A 64-bit FNV-1a digest.
struct Digest(u64);

impl Digest {
    fn add(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
        }
    }

    fn add_member(&mut self, member: &Member) {
        self.add(member.name.as_bytes());
        self.add(&member.instance.to_le_bytes());
        self.add(&member.precedence.to_le_bytes());
        self.add(&member.address.port().to_le_bytes());
    }
}

/// Number of outputs of each kind, in the order of the variants of [`Output`].
type Counts = [u64; 5];

struct World {
    random: Random,
    now: f64,
    limiters: BTreeMap<u16, Membership>,
    /// Time until which each stalled process is stalled, by port.
    stalled_until: BTreeMap<u16, f64>,
    partitioned_until: f64,
    loss_percent: u64,
    digest: Digest,
    counts: Counts,
}

impl World {
    fn new(seed: u64) -> World {
        let mut random = Random(seed);
        let loss_percent = random.below(25);
        let mut world = World {
            random,
            now: 0.0,
            limiters: BTreeMap::new(),
            stalled_until: BTreeMap::new(),
            partitioned_until: 0.0,
            loss_percent,
            digest: Digest(0xcbf2_9ce4_8422_2325),
            counts: [0; 5],
        };
        (1..=LIMITERS).for_each(|port| world.start(port, seed * 1_000 + u64::from(port)));
        world
    }

    fn start(&mut self, port: u16, instance: u64) {
        self.limiters.insert(
            port,
            Membership::new(
                settings(&[1, 2]),
                member(port, instance),
                instance,
                self.now,
            ),
        );
    }

    fn is_lost(&mut self, from: u16, to: u16) -> bool {
        let partitioned = self.now < self.partitioned_until && (from <= 2) != (to <= 2);
        partitioned
            || self.stalled_until.contains_key(&to)
            || self.random.below(100) < self.loss_percent
    }

    fn record(&mut self, from: u16, output: &Output) {
        self.digest.add(&self.now.to_bits().to_le_bytes());
        self.digest.add(&from.to_le_bytes());
        let kind = match output {
            Output::Datagram { to, bytes } => {
                self.digest.add(&to.port().to_le_bytes());
                self.digest.add(bytes);
                0
            }
            Output::Up(member) => {
                self.digest.add_member(member);
                1
            }
            Output::Down(member) => {
                self.digest.add_member(member);
                2
            }
            Output::DuplicateName(duplicate) => {
                self.digest.add(duplicate.name.as_bytes());
                self.digest.add(&duplicate.first_instance.to_le_bytes());
                self.digest.add(&duplicate.second_instance.to_le_bytes());
                3
            }
            Output::Stalled { seconds } => {
                self.digest.add(&seconds.to_bits().to_le_bytes());
                4
            }
        };
        self.digest.add(&[kind]);
        self.counts[usize::from(kind)] += 1;
    }

    /// Delivers datagrams and their replies, in up to ten rounds.
    fn deliver(&mut self, mut outputs: Vec<(u16, Output)>) {
        for _ in 0..10 {
            let mut replies = Vec::new();
            for (from, output) in outputs {
                self.record(from, &output);
                let Output::Datagram { to, bytes } = output else {
                    continue;
                };
                if self.is_lost(from, to.port()) {
                    continue;
                }
                if let Some(limiter) = self.limiters.get_mut(&to.port()) {
                    let mut limiter_outputs = Vec::new();
                    limiter.receive(&bytes, self.now, &mut limiter_outputs);
                    replies.extend(
                        limiter_outputs
                            .into_iter()
                            .map(|output| (to.port(), output)),
                    );
                }
            }
            outputs = replies;
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        let now = self.now;
        self.stalled_until.retain(|_, until| now < *until);
        let mut outputs = Vec::new();
        for (port, limiter) in self
            .limiters
            .iter_mut()
            .filter(|(port, _)| !self.stalled_until.contains_key(*port))
        {
            let mut limiter_outputs = Vec::new();
            limiter.tick(now, &mut limiter_outputs);
            outputs.extend(limiter_outputs.into_iter().map(|output| (*port, output)));
        }
        self.deliver(outputs);
    }

    /// Injects a random partition, stall, restart, duplicate name or departure.
    fn inject_fault(&mut self, step: u64) {
        let port = 1 + self.random.below(u64::from(LIMITERS)) as u16;
        let seconds = 1.0 + self.random.below(12) as f64;
        match self.random.below(5) {
            0 => self.partitioned_until = self.now + seconds,
            1 => drop(self.stalled_until.insert(port, self.now + seconds)),
            2 => self.start(port, 1_000_000 + step),
            3 => self.start(LIMITERS + port, 2_000_000 + step),
            _ => self.leave(port),
        }
    }

    fn leave(&mut self, port: u16) {
        let Some(mut limiter) = self.limiters.remove(&port) else {
            return;
        };
        let mut outputs = Vec::new();
        limiter.leave(self.now, &mut outputs);
        self.deliver(outputs.into_iter().map(|output| (port, output)).collect());
        self.start(port, 3_000_000 + u64::from(port));
    }

    /// Adds the members that each limiter sees to the digest.
    fn add_views(&mut self) {
        for limiter in self.limiters.values() {
            limiter
                .alive()
                .for_each(|member| self.digest.add_member(member));
            let (count, rejected) = (limiter.count() as u64, limiter.rejected_datagrams());
            self.digest.add(&count.to_le_bytes());
            self.digest.add(&rejected.to_le_bytes());
            self.digest.add(&limiter.next_due().to_bits().to_le_bytes());
        }
    }
}

#[test]
fn simulations_have_the_digests_of_the_earlier_revision() {
    let mut text = String::new();
    let mut total: Counts = [0; 5];
    for seed in 0..SEEDS {
        let mut world = World::new(seed);
        for step in 0..STEPS {
            if world.random.below(400) == 0 {
                world.inject_fault(step as u64);
            }
            world.step();
        }
        world.add_views();
        writeln!(text, "{seed} {:016x} {:?}", world.digest.0, world.counts).expect("a text grows");
        total
            .iter_mut()
            .zip(world.counts)
            .for_each(|(total, count)| *total += count);
    }
    assert!(
        total.iter().all(|count| *count > 0),
        "a kind of output did not occur: {total:?}"
    );
    fixtures().assert_text("digests.txt", &text);
}

#[test]
fn the_first_datagrams_have_the_bytes_of_the_earlier_revision() {
    let mut first = Membership::new(settings(&[1]), member(1, 301), 7, 0.0);
    let mut second = Membership::new(settings(&[1]), member(2, 302), 8, 0.0);
    let mut text = String::new();
    for step in 0..60 {
        let now = f64::from(step) * 0.1;
        let (mut from_first, mut from_second) = (Vec::new(), Vec::new());
        first.tick(now, &mut from_first);
        second.tick(now, &mut from_second);
        for _ in 0..3 {
            let to_second = record_datagrams("1", &from_first, &mut text);
            let to_first = record_datagrams("2", &from_second, &mut text);
            (from_first, from_second) = (Vec::new(), Vec::new());
            to_first
                .iter()
                .for_each(|bytes| first.receive(bytes, now, &mut from_first));
            to_second
                .iter()
                .for_each(|bytes| second.receive(bytes, now, &mut from_second));
        }
        assert!(from_first.is_empty() && from_second.is_empty());
    }
    assert_eq!((first.count(), second.count()), (1, 1));
    fixtures().assert_text("datagrams.txt", &text);
}

/// Appends datagrams to `text` in hexadecimal and returns their bytes.
fn record_datagrams(from: &str, outputs: &[Output], text: &mut String) -> Vec<Vec<u8>> {
    let mut datagrams = Vec::new();
    for output in outputs {
        if let Output::Datagram { bytes, .. } = output {
            writeln!(text, "{from} {}", hex(bytes)).expect("a text grows");
            datagrams.push(bytes.clone());
        }
    }
    datagrams
}
