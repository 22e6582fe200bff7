//! How soon the core is writable and whole again after single troubles, and that it stays quiet otherwise.

mod world;

use dunespur_chain_replication::{Input, Millis};
use world::faults::Fault;
use world::{Setup, World};

const SEEDS: u64 = 24;
/// By then the first view is in force everywhere.
const CALM: Millis = 3_000;
/// Long enough for a machine not to come back in a test.
const NEVER: Millis = 1_000_000;
/// After this long a machine that came back must have its copy, as the next may go.
const CATCH_UP: Millis = 4_200;

const SILENT_LOSS: Millis = 1_500;
const CLOSED_CONNECTION: Millis = 300;
const STALLED_DISK: Millis = 1_800;
const PLANNED_CHANGE: Millis = 150;

fn calm_world(seed: u64, machines: usize) -> World {
    let mut setup = Setup::new(seed, machines);
    setup.write_every = 12;
    setup.padding = 0;
    setup.max_sync_ms = 4;
    let mut world = World::new(setup);
    world.play_to(CALM).expect("calm");
    world.check_complete(20).expect("whole at first");
    world
}

/// Plays one trouble at a machine of each place in the chain, in cores of three to five.
fn each_position(check: impl Fn(&mut World, usize)) {
    for seed in 0..SEEDS {
        let machines = 3 + (seed % 3) as usize;
        for machine in 0..machines {
            check(&mut calm_world(seed, machines), machine);
        }
    }
}

fn inject(world: &mut World, fault: Fault) {
    let at = world.now + 1;
    world.fault_at(at, fault);
    world.play_to(at).expect("all holds");
}

fn play(world: &mut World, lasts: Millis) {
    let end = world.now + lasts;
    world.play_to(end).expect("all holds");
}

fn assert_commit_gap_below(world: &World, since: Millis, most: Millis) {
    let pause = world.longest_commit_gap(since);
    assert!(
        pause < most,
        "{}",
        world.describe(format!("nothing was committed for {pause} ms"))
    );
}

fn assert_complete(world: &World) {
    world
        .check_complete(20)
        .unwrap_or_else(|text| panic!("{text}"));
}

fn views(world: &World) -> u64 {
    world.newest_view().map_or(0, |view| view.number)
}

#[test]
fn a_silent_loss_is_noticed() {
    each_position(|world, machine| {
        let since = world.now;
        inject(
            world,
            Fault::PowerLoss {
                machine,
                back_after: NEVER,
            },
        );
        play(world, 4_000);
        assert_commit_gap_below(world, since, SILENT_LOSS);
        assert!(!world.is_in_chain(machine));
    });
}

#[test]
fn a_closed_connection_is_noticed_at_once() {
    each_position(|world, machine| {
        let since = world.now;
        inject(
            world,
            Fault::Kill {
                machine,
                back_after: NEVER,
            },
        );
        play(world, 4_000);
        assert_commit_gap_below(world, since, CLOSED_CONNECTION);
    });
}

#[test]
fn a_reset_connection_to_a_living_member_changes_nothing() {
    each_position(|world, machine| {
        let since = world.now;
        let before = views(world);
        let other = (machine + 1) % world.machines.len();
        inject(
            world,
            Fault::Reset {
                one: machine,
                other,
            },
        );
        play(world, 2_000);
        assert_commit_gap_below(world, since, CLOSED_CONNECTION + 100);
        assert_eq!(
            views(world),
            before,
            "{}",
            world.describe("the view changed".into())
        );
    });
}

#[test]
fn a_stalled_disk_is_put_out_and_taken_back() {
    each_position(|world, machine| {
        let since = world.now;
        inject(world, Fault::StallDisk { machine });
        play(world, 5_000);
        assert_commit_gap_below(world, since, STALLED_DISK);
        assert!(!world.is_in_chain(machine));
        let changed = views(world);
        play(world, 5_000);
        assert_eq!(
            views(world),
            changed,
            "{}",
            world.describe("the view keeps changing".into())
        );
        inject(world, Fault::UnstallDisk { machine });
        play(world, CATCH_UP);
        assert_complete(world);
    });
}

#[test]
fn a_member_cut_off_one_way_stays_out_until_it_is_healed() {
    each_position(|world, machine| {
        for outward in [true, false] {
            let others: Vec<usize> = (0..world.machines.len())
                .filter(|other| *other != machine)
                .collect();
            let ends = |other: usize| {
                if outward {
                    (machine, other)
                } else {
                    (other, machine)
                }
            };
            let since = world.now;
            for (from, to) in others.iter().map(|other| ends(*other)) {
                inject(world, Fault::Partition { from, to });
            }
            play(world, 3_000);
            assert_commit_gap_below(world, since, SILENT_LOSS + 300);
            assert!(
                !world.is_in_chain(machine),
                "{}",
                world.describe(format!("m{machine} is in the chain"))
            );
            let changed = views(world);
            play(world, 10_000);
            assert_eq!(
                views(world),
                changed,
                "{}",
                world.describe("the view keeps changing".into())
            );
            for (from, to) in others.iter().map(|other| ends(*other)) {
                inject(world, Fault::Heal { from, to });
            }
            play(world, CATCH_UP);
            assert_complete(world);
        }
    });
}

#[test]
fn two_members_that_lose_each_other_do_not_flap() {
    each_position(|world, machine| {
        let other = (machine + 1) % world.machines.len();
        let since = world.now;
        inject(
            world,
            Fault::Partition {
                from: machine,
                to: other,
            },
        );
        inject(
            world,
            Fault::Partition {
                from: other,
                to: machine,
            },
        );
        play(world, 3_000);
        assert_commit_gap_below(world, since, SILENT_LOSS + 300);
        let changed = views(world);
        play(world, 10_000);
        assert_eq!(
            views(world),
            changed,
            "{}",
            world.describe("the view keeps changing".into())
        );
        assert_eq!(
            world.newest_view().map_or(0, |view| view.chain.len()),
            world.machines.len() - 1
        );
    });
}

#[test]
fn a_machine_that_comes_back_is_whole_in_time() {
    each_position(|world, machine| {
        let since = world.now;
        inject(
            world,
            Fault::PowerLoss {
                machine,
                back_after: 2_500,
            },
        );
        play(world, 2_500 + CATCH_UP);
        assert_commit_gap_below(world, since, SILENT_LOSS);
        assert_complete(world);
    });
}

#[test]
fn a_wiped_machine_takes_its_own_place() {
    each_position(|world, machine| {
        let count = world.machines.len();
        let since = world.now;
        inject(
            world,
            Fault::Wipe {
                machine,
                back_after: 500,
            },
        );
        play(world, 500 + CATCH_UP);
        assert_commit_gap_below(world, since, SILENT_LOSS);
        assert_complete(world);
        assert_eq!(
            world.newest_view().map_or(0, |view| view.members.len()),
            count
        );
    });
}

#[test]
fn a_replacement_takes_the_place_of_the_machine_that_is_gone() {
    each_position(|world, machine| {
        let count = world.machines.len();
        let since = world.now;
        inject(
            world,
            Fault::Replace {
                machine,
                back_after: 100,
            },
        );
        play(world, 100 + CATCH_UP);
        assert_commit_gap_below(world, since, SILENT_LOSS);
        assert_complete(world);
        assert_eq!(
            world.newest_view().map_or(0, |view| view.members.len()),
            count
        );
    });
}

#[test]
fn a_spare_is_added_without_a_pause() {
    for seed in 0..SEEDS {
        let mut world = calm_world(seed, 3 + (seed % 3) as usize);
        let since = world.now;
        inject(&mut world, Fault::Add);
        play(&mut world, 2_000);
        assert_commit_gap_below(&world, since, PLANNED_CHANGE);
        assert_complete(&world);
    }
}

#[test]
fn a_member_that_leaves_is_put_out_without_a_pause() {
    each_position(|world, machine| {
        let since = world.now;
        inject(
            world,
            Fault::Leave {
                machine,
                back_after: NEVER,
            },
        );
        play(world, 290);
        assert!(
            !world.is_in_chain(machine),
            "{}",
            world.describe(format!("m{machine} is in the chain"))
        );
        play(world, 2_000);
        assert_commit_gap_below(world, since, PLANNED_CHANGE);
    });
}

#[test]
fn a_frozen_member_is_put_out_doubts_itself_and_comes_back() {
    each_position(|world, machine| {
        let before = views(world);
        let since = world.now;
        inject(world, Fault::Freeze { machine });
        play(world, 2_000);
        assert_commit_gap_below(world, since, SILENT_LOSS);
        inject(world, Fault::Thaw { machine });
        assert!(
            !world.is_current(machine),
            "{}",
            world.describe("what came while it was frozen makes it current".into())
        );
        play(world, CATCH_UP);
        assert_complete(world);
        assert_eq!(
            views(world),
            before + 2,
            "{}",
            world.describe("out and in again".into())
        );
    });
}

#[test]
fn a_member_frozen_for_long_comes_back_without_flapping() {
    each_position(|world, machine| {
        let before = views(world);
        let since = world.now;
        inject(world, Fault::Freeze { machine });
        play(world, 4_000);
        assert_commit_gap_below(world, since, SILENT_LOSS);
        inject(world, Fault::Thaw { machine });
        assert!(
            !world.is_current(machine),
            "{}",
            world.describe("current right after a thaw".into())
        );
        play(world, CATCH_UP);
        assert_complete(world);
        // Out of the chain and in again; an even number of members also drops it, and takes it as a newcomer.
        let expected = if world.running().len() % 2 == 0 { 4 } else { 2 };
        let changes = views(world) - before;
        assert_eq!(
            changes,
            expected,
            "{}",
            world.describe("changes of the view".into())
        );
    });
}

#[test]
fn a_short_freeze_changes_nothing() {
    each_position(|world, machine| {
        let before = views(world);
        inject(world, Fault::Freeze { machine });
        play(world, 500);
        inject(world, Fault::Thaw { machine });
        play(world, 2_000);
        assert_eq!(
            views(world),
            before,
            "{}",
            world.describe("the view changed".into())
        );
    });
}

#[test]
fn all_killed_at_once_are_back_soon() {
    for seed in 0..SEEDS {
        for with_power in [true, false] {
            let mut world = calm_world(seed, 3 + (seed % 4) as usize);
            let since = world.now;
            for machine in 0..world.machines.len() {
                let back_after = 400 + 37 * machine as Millis;
                let fault = match with_power {
                    true => Fault::Kill {
                        machine,
                        back_after,
                    },
                    false => Fault::PowerLoss {
                        machine,
                        back_after,
                    },
                };
                inject(&mut world, fault);
            }
            play(&mut world, 600 + CATCH_UP);
            assert_commit_gap_below(&world, since, SILENT_LOSS);
            assert_complete(&world);
        }
    }
}

#[test]
fn a_calm_core_changes_no_view_and_wakes_seldom() {
    for machines in 3..=6 {
        let mut setup = Setup::new(7, machines);
        setup.write_every = NEVER;
        setup.read_every = NEVER;
        let mut world = World::new(setup);
        world.play_to(CALM).expect("calm");
        let steps = world.steps;
        let seconds = 60;
        play(&mut world, seconds * 1_000);
        assert_eq!(views(&world), 1);
        let per_member = (world.steps - steps) / seconds / machines as u64;
        let pings_heard = 5 * (machines as u64 - 1);
        assert!(
            per_member <= pings_heard + 6,
            "{per_member} steps a second at each of {machines}"
        );
    }
}

#[test]
fn a_member_alone_is_not_current_and_drops_what_it_cannot_do() {
    for seed in 0..SEEDS {
        let mut world = calm_world(seed, 3);
        inject(
            &mut world,
            Fault::PowerLoss {
                machine: 0,
                back_after: NEVER,
            },
        );
        inject(
            &mut world,
            Fault::PowerLoss {
                machine: 1,
                back_after: NEVER,
            },
        );
        play(&mut world, 1_500);
        let count = world.committed_count();
        assert!(!world.is_current(2));
        play(&mut world, 10_000);
        assert_eq!(world.committed_count(), count);
    }
}

#[test]
fn a_second_founding_is_refused() {
    let mut world = calm_world(1, 3);
    let view = world.newest_view().cloned().expect("the first view");
    let mut other = view.clone();
    other.chain.reverse();
    world.take(1, Input::Bootstrap { view: other });
    play(&mut world, 2_000);
    assert_eq!(world.newest_view(), Some(&view));
}

#[test]
fn a_restarted_member_does_not_take_echoes_of_its_run_before_for_its_own() {
    each_position(|world, machine| {
        play(world, 20_000);
        inject(
            world,
            Fault::Kill {
                machine,
                back_after: 300,
            },
        );
        play(world, 1_500);
        assert!(world.is_current(machine));
        for other in (0..world.machines.len()).filter(|other| *other != machine) {
            inject(
                world,
                Fault::Partition {
                    from: machine,
                    to: other,
                },
            );
        }
        play(world, 1_200);
        assert!(
            !world.is_current(machine),
            "{}",
            world.describe(format!("m{machine} is current"))
        );
    });
}
