//! What members do is what revision 52a1591 did: the same datagrams at the same times, byte for byte, and the same
//! reports, in worlds with losses, partitions, standstills, restarts and departures. That revision wrote the files
//! under `tests/fixtures`.

use dunespur_gossip_membership::{Member, Members, Output, Settings};
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::net::SocketAddrV4;
use std::path::{Path, PathBuf};

/// With this variable in the environment the fixtures are written instead of read (with `--test-threads=1`).
const WRITE_FIXTURES: &str = "WRITE_FIXTURES";
const SEEDS: u64 = 100;
const NODES: u16 = 5;
const STEP: f64 = 0.02;
/// Each seed's world runs this many steps.
const STEPS: usize = 3_000;

fn fixture_path(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/fixtures")
        .join(name)
}

fn assert_is_fixture(name: &str, text: &str) {
    if std::env::var_os(WRITE_FIXTURES).is_some() {
        std::fs::write(fixture_path(name), text).expect("the fixture is written");
    }
    let expected = std::fs::read_to_string(fixture_path(name)).expect("the fixture is there");
    for (now, then) in text.lines().zip(expected.lines()) {
        assert_eq!(now, then, "{name}");
    }
    assert_eq!(text.lines().count(), expected.lines().count());
}

fn address(port: u16) -> SocketAddrV4 {
    SocketAddrV4::new([127, 0, 0, 1].into(), port)
}

fn settings() -> Settings {
    Settings {
        size: 8,
        seeds: vec![address(1), address(2)],
        probe: 1.0,
        answer: 0.3,
        suspect: 3.0,
        gossip: 0.2,
        again: 5.0,
        datagram: 1400,
    }
}

fn member(port: u16, run: u64) -> Member {
    Member {
        // Ports beyond the first are second processes of the same names.
        name: format!("limiter-{}", (port - 1) % NODES + 1),
        run,
        turn: run,
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
        self.add(&member.run.to_le_bytes());
        self.add(&member.turn.to_le_bytes());
        self.add(&member.address.port().to_le_bytes());
    }
}

/// How many outputs there were of each kind, in the order of [`Output`].
type Counts = [u64; 5];

struct World {
    random: Random,
    now: f64,
    nodes: BTreeMap<u16, Members>,
    /// Time until which a process stands still.
    stopped: BTreeMap<u16, f64>,
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
            nodes: BTreeMap::new(),
            stopped: BTreeMap::new(),
            partitioned_until: 0.0,
            loss_percent,
            digest: Digest(0xcbf2_9ce4_8422_2325),
            counts: [0; 5],
        };
        (1..=NODES).for_each(|port| world.start(port, seed * 1_000 + u64::from(port)));
        world
    }

    fn start(&mut self, port: u16, run: u64) {
        self.nodes.insert(
            port,
            Members::new(settings(), member(port, run), run, self.now),
        );
    }

    fn is_lost(&mut self, from: u16, to: u16) -> bool {
        let partitioned = self.now < self.partitioned_until && (from <= 2) != (to <= 2);
        partitioned || self.stopped.contains_key(&to) || self.random.below(100) < self.loss_percent
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
            Output::Doubled { name, runs } => {
                self.digest.add(name.as_bytes());
                self.digest.add(&runs.0.to_le_bytes());
                self.digest.add(&runs.1.to_le_bytes());
                3
            }
            Output::StoodStill(seconds) => {
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
                if let Some(node) = self.nodes.get_mut(&to.port()) {
                    let mut out = Vec::new();
                    node.datagram(&bytes, self.now, &mut out);
                    caused.extend(out.into_iter().map(|output| (to.port(), output)));
                }
            }
            outputs = caused;
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        let now = self.now;
        self.stopped.retain(|_, until| now < *until);
        let mut outputs = Vec::new();
        for (port, node) in self
            .nodes
            .iter_mut()
            .filter(|(port, _)| !self.stopped.contains_key(*port))
        {
            let mut out = Vec::new();
            node.tick(now, &mut out);
            outputs.extend(out.into_iter().map(|output| (*port, output)));
        }
        self.deliver(outputs);
    }

    fn disturb(&mut self, step: u64) {
        let port = 1 + self.random.below(u64::from(NODES)) as u16;
        let seconds = 1.0 + self.random.below(12) as f64;
        match self.random.below(5) {
            0 => self.partitioned_until = self.now + seconds,
            1 => drop(self.stopped.insert(port, self.now + seconds)),
            2 => self.start(port, 1_000_000 + step),
            3 => self.start(NODES + port, 2_000_000 + step),
            _ => self.leave(port),
        }
    }

    fn leave(&mut self, port: u16) {
        let Some(mut node) = self.nodes.remove(&port) else {
            return;
        };
        let mut out = Vec::new();
        node.leave(self.now, &mut out);
        self.deliver(out.into_iter().map(|output| (port, output)).collect());
        self.start(port, 3_000_000 + u64::from(port));
    }

    /// All that each node sees at the end.
    fn add_views(&mut self) {
        for node in self.nodes.values() {
            node.living()
                .for_each(|member| self.digest.add_member(member));
            let (count, refused) = (node.count() as u64, node.refused);
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
    assert_is_fixture("digests.txt", &text);
}

#[test]
fn the_first_datagrams_have_the_bytes_of_the_earlier_revision() {
    let seeds = vec![address(1)];
    let mut first = Members::new(
        Settings {
            seeds: seeds.clone(),
            ..settings()
        },
        member(1, 301),
        7,
        0.0,
    );
    let mut second = Members::new(
        Settings {
            seeds,
            ..settings()
        },
        member(2, 302),
        8,
        0.0,
    );
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
                .for_each(|bytes| first.datagram(bytes, now, &mut from_first));
            to_second
                .iter()
                .for_each(|bytes| second.datagram(bytes, now, &mut from_second));
        }
        assert!(from_first.is_empty() && from_second.is_empty());
    }
    assert_eq!((first.count(), second.count()), (1, 1));
    assert_is_fixture("datagrams.txt", &text);
}

/// Adds datagrams in hexadecimal to a text; gives their bytes.
fn show(from: &str, outputs: &[Output], text: &mut String) -> Vec<Vec<u8>> {
    let mut datagrams = Vec::new();
    for output in outputs {
        if let Output::Datagram { bytes, .. } = output {
            let hex: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
            writeln!(text, "{from} {hex}").expect("a text grows");
            datagrams.push(bytes.clone());
        }
    }
    datagrams
}

#[test]
fn settings_out_of_range_are_named_with_their_remedy() {
    let error = |settings: Settings| {
        settings
            .check()
            .expect_err("it is out of range")
            .to_string()
    };
    assert!(settings().check().is_ok());
    let probe = Settings {
        probe: 0.0,
        ..settings()
    };
    assert_eq!(
        error(probe),
        "fleet.members.probe: 0; give seconds over 0 and under a day"
    );
    let answer = Settings {
        answer: 86_400.0,
        ..settings()
    };
    assert_eq!(
        error(answer),
        "fleet.members.answer: 86400; give seconds over 0 and under a day"
    );
    let suspect = Settings {
        suspect: f64::NAN,
        ..settings()
    };
    assert_eq!(
        error(suspect),
        "fleet.members.suspect: NaN; give seconds over 0 and under a day"
    );
    let gossip = Settings {
        gossip: -1.5,
        ..settings()
    };
    assert_eq!(
        error(gossip),
        "fleet.members.gossip: -1.5; give seconds over 0 and under a day"
    );
    let again = Settings {
        again: f64::INFINITY,
        ..settings()
    };
    assert_eq!(
        error(again),
        "fleet.members.again: inf; give seconds over 0 and under a day"
    );
    let late = Settings {
        answer: 0.6,
        ..settings()
    };
    let text = "fleet.members.answer: 0.6 leaves no time for asking through others in a probe of 1";
    assert_eq!(error(late), text);
    for datagram in [511, 65_001] {
        let text = format!("fleet.members.datagram: {datagram}; give 512 to 65000 bytes");
        assert_eq!(
            error(Settings {
                datagram,
                ..settings()
            }),
            text
        );
    }
}
