//! A digest of the simulated world: drawn trials are played in a short setting, and what happens is hashed as
//! encoded messages, times and outcomes against a committed file. A change of any decision, of the order of
//! random draws, of a timing constant or of a message's bytes changes a digest; a change of names does not.

use super::*;
use crate::measure::draw;
use std::fmt::Write;
use xxhash_rust::xxh3::Xxh3;

const SEEDS: u64 = 100;
/// Faults begin at 3 to 16 s: half of them fall into this time.
const SECONDS: f64 = 10.0;
const FAULTS: usize = 4;

#[derive(Default)]
struct Digest(Xxh3);

impl Digest {
    fn number(&mut self, number: u64) {
        self.0.update(&number.to_le_bytes());
    }

    fn time(&mut self, time: f64) {
        self.number(time.to_bits());
    }

    fn text(&mut self, text: &str) {
        self.bytes(text.as_bytes());
    }

    fn bytes(&mut self, bytes: &[u8]) {
        self.number(bytes.len() as u64);
        self.0.update(bytes);
    }

    fn packet(&mut self, packet: &Packet) {
        match packet {
            Packet::Gossip(bytes) => {
                self.number(1);
                self.bytes(bytes);
            }
            Packet::Peer(msg) => {
                self.number(2);
                self.bytes(&postcard::to_stdvec(msg).unwrap());
            }
            Packet::Effect { slot, token } => {
                self.number(3);
                self.number(u64::from(*slot));
                self.number(*token);
            }
            Packet::Lend(msg) => {
                self.number(4);
                self.bytes(&postcard::to_stdvec(msg).unwrap());
            }
        }
    }

    fn event(&mut self, world: &World, event: &Event) {
        match event {
            Event::Wake { node, .. } => {
                self.number(11);
                self.number(*node as u64);
            }
            Event::Arrive { to, from, packet } => {
                self.number(12);
                self.number(*to as u64);
                self.number(*from as u64);
                self.packet(packet);
            }
            Event::Disk { node, number, .. } => {
                self.number(13);
                self.number(*node as u64);
                for batch in world.nodes[*node]
                    .writing
                    .iter()
                    .filter(|batch| batch.number <= *number)
                {
                    self.bytes(&postcard::to_stdvec(batch).unwrap());
                }
            }
            Event::Work { node, .. } => {
                self.number(14);
                self.number(*node as u64);
            }
            Event::Finish {
                node,
                slot,
                token,
                to,
                ..
            } => {
                self.number(15);
                self.number(*node as u64);
                self.number(u64::from(*slot));
                self.number(*token);
                self.number(*to as u64);
            }
            Event::Fault { n, on } => {
                self.number(16);
                self.number(*n as u64);
                self.number(u64::from(*on));
            }
            Event::Service(event) => {
                self.number(17);
                self.number(event.gate().map_or(u64::MAX, |gate| gate as u64));
            }
        }
    }

    /// A line of the history. The wording of reports is free.
    fn line(&mut self, line: &Line) {
        let line = match line {
            Line::Report { t, who, loud, .. } => Line::Report {
                t: *t,
                who: who.clone(),
                loud: *loud,
                text: String::new(),
            },
            other => other.clone(),
        };
        self.text(&serde_json::to_string(&line).unwrap());
    }
}

/// The world's events in order, each before it is carried out, and then its history.
fn play(trial: &Trial, seed: u64) -> u64 {
    let mut world = World::new(trial, seed);
    let mut digest = Digest::default();
    while let Some(ScheduledEvent(t, _, event)) = world.queue.pop() {
        if t > trial.seconds {
            break;
        }
        digest.time(t);
        digest.event(&world, &event);
        world.now = t;
        world.step(event);
    }
    assert!(
        world.lines.len() > 100,
        "{} lines: nothing was played",
        world.lines.len()
    );
    world.lines.iter().for_each(|line| digest.line(line));
    digest.0.digest()
}

/// The trial as its file would say it.
fn trial_digest(trial: &Trial) -> u64 {
    let mut digest = Digest::default();
    digest.text(&toml::to_string(trial).unwrap());
    digest.0.digest()
}

#[test]
fn drawn_trials_give_the_digests_of_the_committed_file() {
    let next = std::sync::atomic::AtomicU64::new(0);
    let digests = std::sync::Mutex::new(BTreeMap::new());
    let play_next = || loop {
        let seed = next.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        if seed >= SEEDS {
            break;
        }
        let mut trial = draw(seed, FAULTS);
        let drawn = trial_digest(&trial);
        trial.seconds = SECONDS;
        let played = play(&trial, seed);
        digests.lock().unwrap().insert(seed, (drawn, played));
    };
    std::thread::scope(|scope| (0..4).for_each(|_| _ = scope.spawn(play_next)));
    let mut text = String::new();
    for (seed, (drawn, played)) in digests.into_inner().unwrap() {
        writeln!(text, "{seed} {drawn:016x} {played:016x}").unwrap();
    }
    let path = concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/tests/fixtures/world-digests.txt"
    );
    let committed = std::fs::read_to_string(path).unwrap();
    let changed = text
        .lines()
        .zip(committed.lines())
        .filter(|(now, before)| now != before)
        .count();
    assert!(
        text == committed,
        "{changed} of {SEEDS} changed; now:\n{text}"
    );
}
