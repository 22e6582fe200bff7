//! Snapshots in chunks, over links of limited bandwidth: a member that was wiped, restarted or down catches up in time
//! while changes go on, in spite of broken connections and corrupted bytes.

mod world;

use dunespur_chain_replication::limits::SNAPSHOT_CHUNK_BYTES;
use dunespur_chain_replication::{Millis, Safeguard, Safeguards};
use world::faults::{play, schedule, Fault};
use world::{Setup, World};

/// The first view is in force by then, and the core is calm.
const CALM: Millis = 2_500;
/// The deployments' `catch_up_s`.
const CATCH_UP: Millis = 4_200;
/// Links of the deployments: 1,000 and 100 Mbit a second, in bytes a millisecond.
const FAST_LINK: u64 = 125_000;
const SLOW_LINK: u64 = 12_500;
/// A change of 40 kB each 30 ms or so.
const CHANGE_BYTES: usize = 40_000;
const CHANGE_EVERY: Millis = 30;
/// Commits that a member may lack while changes go on.
const MAX_BEHIND: u64 = 20;
const SEEDS: u64 = 12;
const MB: usize = 1 << 20;

fn setup(seed: u64, state_bytes: usize, link_bytes_per_ms: u64) -> Setup {
    Setup {
        padding: CHANGE_BYTES,
        write_every: CHANGE_EVERY,
        snapshot_padding: state_bytes,
        link_bytes_per_ms,
        max_sync_ms: 4,
        ..Setup::new(seed, 3 + (seed % 4) as usize)
    }
}

/// The world once it is calm, with so many changes that a joiner needs a snapshot.
fn grown(setup: Setup) -> World {
    let mut world = World::new(setup);
    world.play_to(CALM).expect("the core comes up");
    world.play_to(CALM + 15_000).expect("changes are made");
    // More than the log retains between two snapshots, and for members that were down briefly.
    assert!(
        world.committed_count() * CHANGE_BYTES > 14 * MB,
        "{} changes",
        world.committed_count()
    );
    world
}

/// How long until all machines are in the chain with all commits, from now on.
fn time_until_complete(world: &mut World) -> Result<Millis, String> {
    let since = world.now;
    loop {
        world.play_to(world.now + 10)?;
        match world.check_complete(MAX_BEHIND) {
            Ok(()) => return Ok(world.now - since),
            Err(text) if world.now > since + 30_000 => return Err(text),
            Err(_) => {}
        }
    }
}

/// Wipes a machine of a grown world; how long after its restart it is complete.
fn wiped_for(setup: Setup) -> Millis {
    let mut world = grown(setup);
    let machine = (setup.seed / 4) as usize % setup.machines;
    world.fault_at(
        world.now,
        Fault::Wipe {
            machine,
            back_after: 1_000,
        },
    );
    world.play_to(world.now + 1_001).expect("it comes back");
    let installed = world.snapshots_installed;
    let took = time_until_complete(&mut world).expect("it catches up");
    assert!(
        world.snapshots_installed > installed,
        "it needed a snapshot"
    );
    took
}

fn worst_of(state_bytes: usize, link: u64) -> Millis {
    (0..SEEDS)
        .map(|seed| wiped_for(setup(seed, state_bytes, link)))
        .max()
        .expect("some seeds")
}

#[test]
fn a_wiped_member_is_complete_in_time_whatever_the_size_of_the_state() {
    for (state_bytes, link) in [
        (100_000, FAST_LINK),
        (MB, FAST_LINK),
        (10 * MB, FAST_LINK),
        (24 * MB, FAST_LINK),
        (MB, SLOW_LINK),
        (10 * MB, SLOW_LINK),
    ] {
        let worst = worst_of(state_bytes, link);
        eprintln!("{state_bytes} bytes at {link} bytes a millisecond: complete after {worst} ms");
        assert!(
            worst <= CATCH_UP,
            "{state_bytes} bytes at {link}: {worst} ms"
        );
    }
}

/// How long a machine that restarts is without all commits, worst of some seeds; and how often a snapshot was needed.
fn outage(fault: impl Fn(usize) -> Fault, outage_ms: Millis) -> (Millis, u64) {
    let (mut worst, mut snapshots) = (0, 0);
    for seed in 0..SEEDS {
        let setup = setup(seed, 10 * MB, FAST_LINK);
        let mut world = grown(setup);
        let machine = (seed / 4) as usize % setup.machines;
        let installed = world.snapshots_installed;
        world.fault_at(world.now, fault(machine));
        world
            .play_to(world.now + outage_ms + 1)
            .expect("it comes back");
        let took = time_until_complete(&mut world).unwrap_or_else(|text| panic!("{text}"));
        worst = worst.max(took);
        snapshots += world.snapshots_installed - installed;
    }
    (worst, snapshots)
}

#[test]
fn a_member_that_was_down_for_twenty_seconds_is_complete_in_time() {
    let outage_ms = 20_000;
    let (worst, snapshots) = outage(
        |machine| Fault::PowerLoss {
            machine,
            back_after: outage_ms,
        },
        outage_ms,
    );
    eprintln!("down for {outage_ms} ms: complete after {worst} ms, {snapshots} installs");
    assert!(worst <= CATCH_UP, "{worst} ms");
}

#[test]
fn a_restarted_member_is_complete_in_time() {
    let outage_ms = 500;
    let (worst, snapshots) = outage(
        |machine| Fault::Kill {
            machine,
            back_after: outage_ms,
        },
        outage_ms,
    );
    eprintln!("restarted: complete after {worst} ms, {snapshots} installs");
    assert!(worst <= CATCH_UP, "{worst} ms");
}

#[test]
fn a_replaced_member_is_complete_in_time() {
    for seed in 0..SEEDS {
        let setup = setup(seed, 10 * MB, FAST_LINK);
        let mut world = grown(setup);
        let machine = (seed / 4) as usize % setup.machines;
        world.fault_at(
            world.now,
            Fault::Replace {
                machine,
                back_after: 1_000,
            },
        );
        world
            .play_to(world.now + 1_001)
            .expect("the successor comes");
        let took = time_until_complete(&mut world).unwrap_or_else(|text| panic!("{text}"));
        eprintln!("seed {seed}: a replacement complete after {took} ms");
        assert!(took <= CATCH_UP, "seed {seed}: {took} ms");
    }
}

const BREAKS: u64 = 10;
const BREAK_EVERY: Millis = 200;

/// The connection breaks during the transfer, again and again: what was received stays. The transfer takes 840 ms by
/// itself; begun anew with each break most of the snapshot would be sent ten times.
#[test]
fn a_transfer_resumes_after_broken_connections() {
    for seed in 0..SEEDS {
        let setup = setup(seed, 10 * MB, SLOW_LINK);
        let mut world = grown(setup);
        let machine = (seed / 4) as usize % setup.machines;
        world.fault_at(
            world.now,
            Fault::Wipe {
                machine,
                back_after: 1_000,
            },
        );
        let back = world.now + 1_000;
        for number in 0..BREAKS {
            for other in (0..setup.machines).filter(|other| *other != machine) {
                world.fault_at(
                    back + number * BREAK_EVERY,
                    Fault::Reset {
                        one: machine,
                        other,
                    },
                );
            }
        }
        world.play_to(back + 1).expect("it comes back");
        let bytes_sent = world.chunk_bytes_transferred;
        let took = time_until_complete(&mut world).expect("it catches up");
        let bytes_sent = world.chunk_bytes_transferred - bytes_sent;
        eprintln!("seed {seed}: complete after {took} ms, {bytes_sent} bytes sent");
        assert!(took <= CATCH_UP, "seed {seed}: {took} ms");
        // A change of view meanwhile may bring another sender, whose snapshot is another one.
        let lost = BREAKS * 2 * SNAPSHOT_CHUNK_BYTES as u64;
        assert!(
            bytes_sent <= 2 * 10 * MB as u64 + lost,
            "seed {seed}: {bytes_sent} bytes"
        );
    }
}

/// Worlds of large snapshots with all kinds of faults, with bytes corrupted on the way.
fn corrupted(seed: u64) -> Setup {
    let setup = Setup::new(seed, 3 + (seed % 4) as usize);
    Setup {
        snapshot_padding: 900_000,
        padding: 12_000,
        corrupts_chunks: true,
        ..setup
    }
}

#[test]
fn corrupted_snapshots_are_not_installed() {
    let mut installed = 0;
    for seed in 0..120 {
        let setup = corrupted(seed);
        let play_for_digest =
            play(setup, schedule(&setup, 2)).unwrap_or_else(|text| panic!("{text}"));
        installed += play_for_digest.snapshots_installed;
    }
    assert!(
        installed > 10,
        "{installed} snapshots were installed: the worlds say nothing"
    );
}

/// What goes wrong first without a safeguard, if anything does.
fn counterexample(seeds: u64, setup: impl Fn(u64) -> Setup) -> Option<String> {
    (0..seeds).find_map(|seed| {
        let setup = setup(seed);
        let signs = ["was committed before", "out of order", "wrong snapshot"];
        let broken = play(setup, schedule(&setup, 3)).err();
        broken.filter(|text| signs.iter().any(|sign| text.contains(sign)))
    })
}

#[test]
fn without_verifying_snapshots_a_corrupted_one_is_installed() {
    let safeguards = Safeguards::without(Safeguard::VerifySnapshots);
    let found = counterexample(200, |seed| Setup {
        safeguards,
        ..corrupted(seed)
    });
    assert!(
        found
            .as_ref()
            .is_some_and(|text| text.contains("wrong snapshot")),
        "{found:?}"
    );
    eprintln!("{found:?}");
}

#[test]
fn without_catching_up_after_a_snapshot_commits_are_lost() {
    let safeguards = Safeguards::without(Safeguard::CatchUpBeforeSync);
    let found = counterexample(400, |seed| Setup {
        safeguards,
        ..Setup::new(seed, 3 + (seed % 4) as usize)
    });
    assert!(found.is_some(), "nothing went wrong");
    eprintln!("{found:?}");
}
