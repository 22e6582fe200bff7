//! What members do is what revision 52a1591 did: the same datagrams at the same times, byte for byte, and the same
//! reports, in worlds with losses, partitions, stalls, restarts and departures. That revision wrote the files
//! under `tests/fixtures`.

mod common;

use common::{address, settings};
use dunespur_gossip_membership::{Member, Membership, Output};
use dunespur_test_fixtures::{hex, Fixtures};
use std::collections::BTreeMap;
use std::fmt::Write as _;

const SEEDS: u64 = 100;
const LIMITERS: u16 = 5;
const STEP: f64 = 0.02;
/// Each seed's world runs this many steps.
const STEPS: usize = 3_000;

fn fixtures() -> Fixtures {
    Fixtures::of_package(env!("CARGO_MANIFEST_DIR"))
}

fn member(port: u16, instance: u64) -> Member {
    Member {
        // Ports beyond the first are second processes of the same names.
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

/// A small random source: the same for the same seed.
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

/// FNV-1a of 64 bits.
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

/// How many outputs there were of each kind, in the order of [`Output`].
type Counts = [u64; 5];

struct World {
    random: Random,
    now: f64,
    limiters: BTreeMap<u16, Membership>,
    /// Time until which a process is stalled.
    stalled: BTreeMap<u16, f64>,
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
            stalled: BTreeMap::new(),
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
        partitioned || self.stalled.contains_key(&to) || self.random.below(100) < self.loss_percent
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

    /// Delivers datagrams, and those that are sent on account of them, a few times over.
    fn deliver(&mut self, mut outputs: Vec<(u16, Output)>) {
        for _ in 0..10 {
            let mut caused = Vec::new();
            for (from, output) in outputs {
                self.record(from, &output);
                let Output::Datagram { to, bytes } = output else {
                    continue;
                };
                if self.is_lost(from, to.port()) {
                    continue;
                }
                if let Some(node) = self.limiters.get_mut(&to.port()) {
                    let mut out = Vec::new();
                    node.receive(&bytes, self.now, &mut out);
                    caused.extend(out.into_iter().map(|output| (to.port(), output)));
                }
            }
            outputs = caused;
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        let now = self.now;
        self.stalled.retain(|_, until| now < *until);
        let mut outputs = Vec::new();
        for (port, node) in self
            .limiters
            .iter_mut()
            .filter(|(port, _)| !self.stalled.contains_key(*port))
        {
            let mut out = Vec::new();
            node.tick(now, &mut out);
            outputs.extend(out.into_iter().map(|output| (*port, output)));
        }
        self.deliver(outputs);
    }

    fn disturb(&mut self, step: u64) {
        let port = 1 + self.random.below(u64::from(LIMITERS)) as u16;
        let seconds = 1.0 + self.random.below(12) as f64;
        match self.random.below(5) {
            0 => self.partitioned_until = self.now + seconds,
            1 => drop(self.stalled.insert(port, self.now + seconds)),
            2 => self.start(port, 1_000_000 + step),
            3 => self.start(LIMITERS + port, 2_000_000 + step),
            _ => self.leave(port),
        }
    }

    fn leave(&mut self, port: u16) {
        let Some(mut node) = self.limiters.remove(&port) else {
            return;
        };
        let mut out = Vec::new();
        node.leave(self.now, &mut out);
        self.deliver(out.into_iter().map(|output| (port, output)).collect());
        self.start(port, 3_000_000 + u64::from(port));
    }

    /// All that each node sees at the end.
    fn add_views(&mut self) {
        for node in self.limiters.values() {
            node.alive()
                .for_each(|member| self.digest.add_member(member));
            let (count, refused) = (node.count() as u64, node.rejected_datagrams());
            self.digest.add(&count.to_le_bytes());
            self.digest.add(&refused.to_le_bytes());
            self.digest.add(&node.next_due().to_bits().to_le_bytes());
        }
    }
}

#[test]
fn worlds_of_the_earlier_revision_run_alike() {
    let mut text = String::new();
    let mut total: Counts = [0; 5];
    for seed in 0..SEEDS {
        let mut world = World::new(seed);
        for step in 0..STEPS {
            if world.random.below(400) == 0 {
                world.disturb(step as u64);
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
        "each kind of output occurs: {total:?}"
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
            let to_second = show("1", &from_first, &mut text);
            let to_first = show("2", &from_second, &mut text);
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

/// Adds datagrams in hexadecimal to a text; gives their bytes.
fn show(from: &str, outputs: &[Output], text: &mut String) -> Vec<Vec<u8>> {
    let mut datagrams = Vec::new();
    for output in outputs {
        if let Output::Datagram { bytes, .. } = output {
            writeln!(text, "{from} {}", hex(bytes)).expect("a text grows");
            datagrams.push(bytes.clone());
        }
    }
    datagrams
}
