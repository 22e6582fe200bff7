//! Transfers of snapshots over links of limited bandwidth: a member that was wiped, restarted or down catches up in time
//! under load, despite broken connections and corrupted bytes.

mod world;

use dunespur_chain_replication::limits::SNAPSHOT_CHUNK_BYTES;
use dunespur_chain_replication::{Millis, Safeguard, Safeguards};
use world::faults::{run_schedule, schedule, Fault};
use world::{Setup, World};

/// By this time the first view is in force and the core is stable.
const STABLE_AT: Millis = 2_500;
/// Time in which a member must catch up: the deployments' `catch_up_s`.
const CATCH_UP: Millis = 4_200;
/// Bandwidth of a deployment's fast link, 1,000 Mbit/s, in bytes per millisecond.
const FAST_LINK: u64 = 125_000;
/// Bandwidth of a deployment's slow link, 100 Mbit/s, in bytes per millisecond.
const SLOW_LINK: u64 = 12_500;
/// The load is a change of 40 kB about every 30 ms.
const CHANGE_BYTES: usize = 40_000;
const CHANGE_EVERY: Millis = 30;
/// Commits that a member may lack under load to count as complete.
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

/// A world without faults and with so many commits that a joiner needs a snapshot.
fn loaded_world(setup: Setup) -> World {
    let mut world = World::new(setup);
    world
        .run_until(STABLE_AT)
        .expect("the first view is installed");
    world
        .run_until(STABLE_AT + 15_000)
        .unwrap_or_else(|violation| panic!("{violation}"));
    // This is more than the log retains, both until a snapshot is taken and for members that were down briefly.
    assert!(
        world.committed_count() * CHANGE_BYTES > 14 * MB,
        "only {} changes were committed: a joiner may need no snapshot",
        world.committed_count()
    );
    world
}

/// Simulates until all machines are in the chain with all commits, and returns the time that this took.
fn time_until_complete(world: &mut World) -> Result<Millis, String> {
    let since = world.now;
    loop {
        world.run_until(world.now + 10)?;
        match world.check_complete(MAX_BEHIND) {
            Ok(()) => return Ok(world.now - since),
            Err(text) if world.now > since + 30_000 => return Err(text),
            Err(_) => {}
        }
    }
}

/// Wipes a machine of a loaded world, and returns the time from its restart until it is complete.
fn recovery_time_after_wipe(setup: Setup) -> Millis {
    let mut world = loaded_world(setup);
    let machine = (setup.seed / 4) as usize % setup.machines;
    world.fault_at(
        world.now,
        Fault::Wipe {
            machine,
            back_after: 1_000,
        },
    );
    world
        .run_until(world.now + 1_001)
        .expect("the machine restarts");
    let installed = world.snapshots_installed;
    let took = time_until_complete(&mut world).expect("the machine catches up");
    assert!(
        world.snapshots_installed > installed,
        "no snapshot was installed"
    );
    took
}

fn worst_of(state_bytes: usize, link: u64) -> Millis {
    (0..SEEDS)
        .map(|seed| recovery_time_after_wipe(setup(seed, state_bytes, link)))
        .max()
        .expect("there are seeds")
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
            "{state_bytes} bytes at {link} bytes a millisecond: complete after {worst} ms, limit {CATCH_UP} ms"
        );
    }
}

/// The longest time that a restarted machine takes to be complete, over all seeds, and the number of snapshots installed.
fn outage(fault: impl Fn(usize) -> Fault, outage_ms: Millis) -> (Millis, u64) {
    let (mut worst, mut snapshots) = (0, 0);
    for seed in 0..SEEDS {
        let setup = setup(seed, 10 * MB, FAST_LINK);
        let mut world = loaded_world(setup);
        let machine = (seed / 4) as usize % setup.machines;
        let installed = world.snapshots_installed;
        world.fault_at(world.now, fault(machine));
        world
            .run_until(world.now + outage_ms + 1)
            .expect("the machine restarts");
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
    assert!(
        worst <= CATCH_UP,
        "complete after {worst} ms, limit {CATCH_UP} ms"
    );
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
    assert!(
        worst <= CATCH_UP,
        "complete after {worst} ms, limit {CATCH_UP} ms"
    );
}

#[test]
fn a_replaced_member_is_complete_in_time() {
    for seed in 0..SEEDS {
        let setup = setup(seed, 10 * MB, FAST_LINK);
        let mut world = loaded_world(setup);
        let machine = (seed / 4) as usize % setup.machines;
        world.fault_at(
            world.now,
            Fault::Replace {
                machine,
                back_after: 1_000,
            },
        );
        world
            .run_until(world.now + 1_001)
            .expect("the replacement starts");
        let took = time_until_complete(&mut world).unwrap_or_else(|text| panic!("{text}"));
        eprintln!("seed {seed}: a replacement complete after {took} ms");
        assert!(
            took <= CATCH_UP,
            "seed {seed}: complete after {took} ms, limit {CATCH_UP} ms"
        );
    }
}

const BREAKS: u64 = 10;
const BREAK_EVERY: Millis = 200;

/// A transfer whose connection breaks repeatedly keeps the bytes already received. It takes 840 ms without breaks; if each
/// break restarted it, most of the snapshot would be sent ten times.
#[test]
fn a_transfer_resumes_after_broken_connections() {
    for seed in 0..SEEDS {
        let setup = setup(seed, 10 * MB, SLOW_LINK);
        let mut world = loaded_world(setup);
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
        world.run_until(back + 1).expect("the machine restarts");
        let bytes_sent = world.chunk_bytes_transferred;
        let took = time_until_complete(&mut world).expect("the machine catches up");
        let bytes_sent = world.chunk_bytes_transferred - bytes_sent;
        eprintln!("seed {seed}: complete after {took} ms, {bytes_sent} bytes sent");
        assert!(
            took <= CATCH_UP,
            "seed {seed}: complete after {took} ms, limit {CATCH_UP} ms"
        );
        // A change of view during the transfer may bring another sender with another snapshot.
        let lost = BREAKS * 2 * SNAPSHOT_CHUNK_BYTES as u64;
        assert!(
            bytes_sent <= 2 * 10 * MB as u64 + lost,
            "seed {seed}: {bytes_sent} bytes were sent"
        );
    }
}

/// Worlds with large snapshots, all kinds of faults, and bytes corrupted in transfer.
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
        let counts =
            run_schedule(setup, schedule(&setup, 2)).unwrap_or_else(|text| panic!("{text}"));
        installed += counts.snapshots_installed;
    }
    assert!(
        installed > 10,
        "only {installed} snapshots were installed: too few to test anything"
    );
}

/// The first violation of safety in worlds without a safeguard, if any.
fn counterexample(seeds: u64, setup: impl Fn(u64) -> Setup) -> Option<String> {
    (0..seeds).find_map(|seed| {
        let setup = setup(seed);
        let signs = ["was committed before", "out of order", "wrong snapshot"];
        let violation = run_schedule(setup, schedule(&setup, 3)).err();
        violation.filter(|text| signs.iter().any(|sign| text.contains(sign)))
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
    assert!(
        found.is_some(),
        "no seed violates safety without this safeguard"
    );
    eprintln!("{found:?}");
}
