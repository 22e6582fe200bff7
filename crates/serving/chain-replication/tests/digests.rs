//! Simulated worlds with fixed seeds must have the digests that are recorded in `digests.txt`: see [`world::digest`].
//!
//! A change that alters the protocol's behaviour on purpose records the digests again, with `RECORD_FIXTURES=1`; its commit
//! says which kinds of world changed and why.

mod world;

use dunespur_chain_replication::{Safeguard, Safeguards};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;
use world::fault_tolerance::{self, window_in, Change};
use world::faults::{overlapping_faults, run_schedule_in, schedule, Schedule};
use world::{Setup, World};

const SEEDS: u64 = 100;
/// Seeds of each kind of world without a safeguard.
const SEEDS_WITHOUT_SAFEGUARD: u64 = 12;
const WORKERS: usize = 4;
const FIXTURE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/digests.txt");

/// A kind of world, with its name in the fixture.
struct WorldKind {
    name: &'static str,
    seeds: u64,
    digest: Box<dyn Fn(u64) -> u64 + Sync>,
}

impl WorldKind {
    fn new(
        name: &'static str,
        seeds: u64,
        digest: impl Fn(u64) -> u64 + Sync + 'static,
    ) -> WorldKind {
        WorldKind {
            name,
            seeds,
            digest: Box::new(digest),
        }
    }
}

/// A core of three to six machines, by seed.
fn machines(seed: u64) -> usize {
    3 + (seed % 4) as usize
}

fn usual(seed: u64) -> Setup {
    Setup::new(seed, machines(seed))
}

fn corrupted(seed: u64) -> Setup {
    Setup {
        snapshot_padding: 300_000,
        padding: 12_000,
        corrupts_chunks: true,
        ..usual(seed)
    }
}

fn slow_links(seed: u64) -> Setup {
    Setup {
        snapshot_padding: 600_000,
        padding: 12_000,
        link_bytes_per_ms: 12_500,
        ..usual(seed)
    }
}

/// Simulates a world and returns its digest. A world that violates a guarantee ends there and has a digest too.
fn run_for_digest(setup: Setup, plan: Schedule) -> u64 {
    let mut world = World::new(setup);
    world.begin_record();
    let _ = run_schedule_in(&mut world, plan);
    world.digest()
}

fn window_digest(change: Change, seed: u64) -> u64 {
    let mut world = World::new(fault_tolerance::setup(machines(seed), seed));
    world.begin_record();
    let _ = window_in(&mut world, change);
    world.digest()
}

/// All kinds of world that the tests of this package simulate, with all safeguards and without one of them.
fn kinds() -> Vec<WorldKind> {
    let mut kinds = vec![
        WorldKind::new("faults", SEEDS, |seed| {
            run_for_digest(usual(seed), schedule(&usual(seed), 2))
        }),
        WorldKind::new("storm", SEEDS, |seed| {
            run_for_digest(usual(seed), overlapping_faults(&usual(seed)))
        }),
        WorldKind::new("spoilt-snapshots", SEEDS, |seed| {
            run_for_digest(corrupted(seed), schedule(&corrupted(seed), 1))
        }),
        WorldKind::new("slow-links", SEEDS, |seed| {
            run_for_digest(slow_links(seed), schedule(&slow_links(seed), 1))
        }),
        WorldKind::new("window", SEEDS, |seed| {
            window_digest(Change::ALL[seed as usize % Change::ALL.len()], seed)
        }),
    ];
    kinds.extend(without_safeguard_kinds());
    kinds
}

/// Worlds in which one safeguard is removed.
fn without_safeguard_kinds() -> Vec<WorldKind> {
    let named = [
        (
            "without-guard-1",
            Safeguards::without(Safeguard::CheckViews),
        ),
        (
            "without-guard-2",
            Safeguards::without(Safeguard::PersistBeforeSend),
        ),
        (
            "without-guard-3",
            Safeguards::without(Safeguard::ConfirmReads),
        ),
        (
            "without-guard-4",
            Safeguards::without(Safeguard::QuorumBySendTime),
        ),
        (
            "without-guard-5",
            Safeguards::without(Safeguard::AwaitKnownCommits),
        ),
        (
            "without-guard-6",
            Safeguards::without(Safeguard::DecideOnce),
        ),
        (
            "without-guard-7",
            Safeguards::without(Safeguard::CatchUpBeforeSync),
        ),
        (
            "without-guard-8",
            Safeguards::without(Safeguard::VerifySnapshots),
        ),
    ];
    let kind = |(name, safeguards)| {
        WorldKind::new(name, SEEDS_WITHOUT_SAFEGUARD, move |seed| {
            let setup = Setup {
                safeguards,
                ..corrupted(seed)
            };
            run_for_digest(setup, schedule(&setup, 2))
        })
    };
    let mut kinds: Vec<WorldKind> = named.into_iter().map(kind).collect();
    kinds.push(WorldKind::new(
        "wiped-keeps-identity",
        SEEDS_WITHOUT_SAFEGUARD,
        |seed| {
            let setup = Setup {
                wiped_keep_identity: true,
                ..usual(seed)
            };
            run_for_digest(setup, schedule(&setup, 2))
        },
    ));
    kinds
}

/// A line for each world: its kind, seed and digest.
fn digests() -> Vec<String> {
    let kinds = kinds();
    let worlds: Vec<(&WorldKind, u64)> = kinds
        .iter()
        .flat_map(|kind| (0..kind.seeds).map(move |seed| (kind, seed)))
        .collect();
    let lines = Mutex::new(vec![String::new(); worlds.len()]);
    let next = AtomicUsize::new(0);
    let workers = std::thread::available_parallelism()
        .map_or(2, |count| count.get())
        .min(WORKERS);
    std::thread::scope(|scope| {
        for _ in 0..workers {
            scope.spawn(|| loop {
                let number = next.fetch_add(1, Ordering::Relaxed);
                let Some((kind, seed)) = worlds.get(number) else {
                    return;
                };
                let record = format!("{} {seed} {:016x}", kind.name, (kind.digest)(*seed));
                lines.lock().expect("no worker panics")[number] = record;
            });
        }
    });
    lines.into_inner().expect("no worker panics")
}

#[test]
fn digests_of_worlds_are_unchanged() {
    let actual = digests();
    if std::env::var_os("RECORD_FIXTURES").is_some() {
        std::fs::write(FIXTURE, actual.join("\n") + "\n")
            .expect("tests/digests.txt can be written");
    }
    let fixture = std::fs::read_to_string(FIXTURE).expect("tests/digests.txt can be read");
    let expected: Vec<&str> = fixture.lines().collect();
    assert_eq!(actual.len(), expected.len(), "number of worlds");
    let pairs = actual
        .iter()
        .zip(&expected)
        .filter(|(actual, expected)| actual != *expected);
    let differ: Vec<String> = pairs
        .map(|(actual, expected)| format!("{expected} is now {actual}"))
        .collect();
    assert!(
        differ.is_empty(),
        "{} worlds differ: {:#?}",
        differ.len(),
        &differ[..differ.len().min(12)]
    );
}
