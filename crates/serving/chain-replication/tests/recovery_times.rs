//! Time limits for the core to be writable and complete again after single faults. Without faults, no view changes.

mod world;

use dunespur_chain_replication::{Input, Millis};
use world::faults::Fault;
use world::{Setup, World};

const SEEDS: u64 = 24;
/// By this time the first view is in force at all members.
const STABLE_AT: Millis = 3_000;
/// A restart delay beyond the end of each test.
const NEVER: Millis = 1_000_000;
/// A restarted machine must be a complete replica within this time, as the next machine may fail then.
const CATCH_UP: Millis = 4_200;

/// Limits of the time without a commit, by kind of fault.
const SILENT_LOSS: Millis = 1_500;
const CLOSED_CONNECTION: Millis = 300;
const STALLED_DISK: Millis = 1_800;
const PLANNED_CHANGE: Millis = 150;

fn stable_world(seed: u64, machines: usize) -> World {
    let mut setup = Setup::new(seed, machines);
    setup.write_every = 12;
    setup.padding = 0;
    setup.max_sync_ms = 4;
    let mut world = World::new(setup);
    world
        .run_until(STABLE_AT)
        .unwrap_or_else(|violation| panic!("{violation}"));
    world.check_complete(20).expect("all members are complete");
    world
}

/// Runs a check for the machine at each position in the chain, in cores of three to five members.
fn each_position(check: impl Fn(&mut World, usize)) {
    for seed in 0..SEEDS {
        let machines = 3 + (seed % 3) as usize;
        for machine in 0..machines {
            check(&mut stable_world(seed, machines), machine);
        }
    }
}

fn inject(world: &mut World, fault: Fault) {
    let at = world.now + 1;
    world.fault_at(at, fault);
    world
        .run_until(at)
        .unwrap_or_else(|violation| panic!("{violation}"));
}

fn run_for(world: &mut World, duration: Millis) {
    let end = world.now + duration;
    world
        .run_until(end)
        .unwrap_or_else(|violation| panic!("{violation}"));
}

fn assert_commit_gap_below(world: &World, since: Millis, limit: Millis) {
    let gap = world.longest_commit_gap(since);
    assert!(
        gap < limit,
        "{}",
        world.describe(format!("nothing was committed for {gap} ms"))
    );
}

fn assert_complete(world: &World) {
    world
        .check_complete(20)
        .unwrap_or_else(|text| panic!("{text}"));
}

fn view_number(world: &World) -> u64 {
    world.newest_view().map_or(0, |view| view.number)
}

#[test]
fn a_silent_loss_is_detected() {
    each_position(|world, machine| {
        let since = world.now;
        inject(
            world,
            Fault::PowerLoss {
                machine,
                back_after: NEVER,
            },
        );
        run_for(world, 4_000);
        assert_commit_gap_below(world, since, SILENT_LOSS);
        assert!(!world.is_in_chain(machine));
    });
}

#[test]
fn a_closed_connection_is_detected_at_once() {
    each_position(|world, machine| {
        let since = world.now;
        inject(
            world,
            Fault::Kill {
                machine,
                back_after: NEVER,
            },
        );
        run_for(world, 4_000);
        assert_commit_gap_below(world, since, CLOSED_CONNECTION);
    });
}

#[test]
fn a_reset_connection_to_a_running_member_changes_no_view() {
    each_position(|world, machine| {
        let since = world.now;
        let before = view_number(world);
        let other = (machine + 1) % world.machines.len();
        inject(
            world,
            Fault::Reset {
                one: machine,
                other,
            },
        );
        run_for(world, 2_000);
        assert_commit_gap_below(world, since, CLOSED_CONNECTION + 100);
        assert_eq!(
            view_number(world),
            before,
            "{}",
            world.describe("the view changed".into())
        );
    });
}

#[test]
fn a_member_with_a_stalled_disk_is_removed_and_readmitted() {
    each_position(|world, machine| {
        let since = world.now;
        inject(world, Fault::StallDisk { machine });
        run_for(world, 5_000);
        assert_commit_gap_below(world, since, STALLED_DISK);
        assert!(!world.is_in_chain(machine));
        let changed = view_number(world);
        run_for(world, 5_000);
        assert_eq!(
            view_number(world),
            changed,
            "{}",
            world.describe("the view keeps changing".into())
        );
        inject(world, Fault::UnstallDisk { machine });
        run_for(world, CATCH_UP);
        assert_complete(world);
    });
}

#[test]
fn a_one_way_partitioned_member_stays_out_until_it_is_healed() {
    each_position(|world, machine| {
        for outward in [true, false] {
            let others: Vec<usize> = (0..world.machines.len())
                .filter(|other| *other != machine)
                .collect();
            let link_with = |other: usize| {
                if outward {
                    (machine, other)
                } else {
                    (other, machine)
                }
            };
            let since = world.now;
            for (from, to) in others.iter().map(|other| link_with(*other)) {
                inject(world, Fault::Partition { from, to });
            }
            run_for(world, 3_000);
            assert_commit_gap_below(world, since, SILENT_LOSS + 300);
            assert!(
                !world.is_in_chain(machine),
                "{}",
                world.describe(format!("m{machine} is in the chain"))
            );
            let changed = view_number(world);
            run_for(world, 10_000);
            assert_eq!(
                view_number(world),
                changed,
                "{}",
                world.describe("the view keeps changing".into())
            );
            for (from, to) in others.iter().map(|other| link_with(*other)) {
                inject(world, Fault::Heal { from, to });
            }
            run_for(world, CATCH_UP);
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
        run_for(world, 3_000);
        assert_commit_gap_below(world, since, SILENT_LOSS + 300);
        let changed = view_number(world);
        run_for(world, 10_000);
        assert_eq!(
            view_number(world),
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
fn a_restarted_machine_is_complete_in_time() {
    each_position(|world, machine| {
        let since = world.now;
        inject(
            world,
            Fault::PowerLoss {
                machine,
                back_after: 2_500,
            },
        );
        run_for(world, 2_500 + CATCH_UP);
        assert_commit_gap_below(world, since, SILENT_LOSS);
        assert_complete(world);
    });
}

#[test]
fn a_wiped_machine_replaces_itself() {
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
        run_for(world, 500 + CATCH_UP);
        assert_commit_gap_below(world, since, SILENT_LOSS);
        assert_complete(world);
        assert_eq!(
            world.newest_view().map_or(0, |view| view.members.len()),
            count
        );
    });
}

#[test]
fn a_replacement_replaces_the_departed_machine() {
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
        run_for(world, 100 + CATCH_UP);
        assert_commit_gap_below(world, since, SILENT_LOSS);
        assert_complete(world);
        assert_eq!(
            world.newest_view().map_or(0, |view| view.members.len()),
            count
        );
    });
}

#[test]
fn a_spare_is_added_without_a_commit_gap() {
    for seed in 0..SEEDS {
        let mut world = stable_world(seed, 3 + (seed % 3) as usize);
        let since = world.now;
        inject(&mut world, Fault::Add);
        run_for(&mut world, 2_000);
        assert_commit_gap_below(&world, since, PLANNED_CHANGE);
        assert_complete(&world);
    }
}

#[test]
fn a_leaving_member_is_removed_without_a_commit_gap() {
    each_position(|world, machine| {
        let since = world.now;
        inject(
            world,
            Fault::Leave {
                machine,
                back_after: NEVER,
            },
        );
        run_for(world, 290);
        assert!(
            !world.is_in_chain(machine),
            "{}",
            world.describe(format!("m{machine} is in the chain"))
        );
        run_for(world, 2_000);
        assert_commit_gap_below(world, since, PLANNED_CHANGE);
    });
}

#[test]
fn a_suspended_member_is_removed_loses_its_quorum_and_is_readmitted() {
    each_position(|world, machine| {
        let before = view_number(world);
        let since = world.now;
        inject(world, Fault::Freeze { machine });
        run_for(world, 2_000);
        assert_commit_gap_below(world, since, SILENT_LOSS);
        inject(world, Fault::Thaw { machine });
        assert!(
            !world.has_quorum(machine),
            "{}",
            world.describe("messages that arrived during its suspension give it a quorum".into())
        );
        run_for(world, CATCH_UP);
        assert_complete(world);
        assert_eq!(
            view_number(world),
            before + 2,
            "{}",
            world.describe("the member is removed from the chain once and readmitted once".into())
        );
    });
}

#[test]
fn a_member_suspended_for_long_is_readmitted_without_flapping() {
    each_position(|world, machine| {
        let before = view_number(world);
        let since = world.now;
        inject(world, Fault::Freeze { machine });
        run_for(world, 4_000);
        assert_commit_gap_below(world, since, SILENT_LOSS);
        inject(world, Fault::Thaw { machine });
        assert!(
            !world.has_quorum(machine),
            "{}",
            world.describe("it has a quorum right after its suspension".into())
        );
        run_for(world, CATCH_UP);
        assert_complete(world);
        // The member is removed from the chain and readmitted. An even number of members also removes it from the view, so
        // that it has to join again.
        let expected = if world.running().len() % 2 == 0 { 4 } else { 2 };
        let changes = view_number(world) - before;
        assert_eq!(
            changes,
            expected,
            "{}",
            world.describe("unexpected number of view changes".into())
        );
    });
}

#[test]
fn a_short_suspension_changes_no_view() {
    each_position(|world, machine| {
        let before = view_number(world);
        inject(world, Fault::Freeze { machine });
        run_for(world, 500);
        inject(world, Fault::Thaw { machine });
        run_for(world, 2_000);
        assert_eq!(
            view_number(world),
            before,
            "{}",
            world.describe("the view changed".into())
        );
    });
}

#[test]
fn a_core_whose_members_all_end_at_once_recovers_in_time() {
    for seed in 0..SEEDS {
        for with_power in [true, false] {
            let mut world = stable_world(seed, 3 + (seed % 4) as usize);
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
            run_for(&mut world, 600 + CATCH_UP);
            assert_commit_gap_below(&world, since, SILENT_LOSS);
            assert_complete(&world);
        }
    }
}

#[test]
fn an_idle_core_changes_no_view_and_takes_few_steps() {
    for machines in 3..=6 {
        let mut setup = Setup::new(7, machines);
        setup.write_every = NEVER;
        setup.read_every = NEVER;
        let mut world = World::new(setup);
        world
            .run_until(STABLE_AT)
            .unwrap_or_else(|violation| panic!("{violation}"));
        let steps = world.steps;
        let seconds = 60;
        run_for(&mut world, seconds * 1_000);
        assert_eq!(view_number(&world), 1);
        let per_member = (world.steps - steps) / seconds / machines as u64;
        let pings_received = 5 * (machines as u64 - 1);
        assert!(
            per_member <= pings_received + 6,
            "{per_member} steps a second at each of {machines}"
        );
    }
}

#[test]
fn a_member_alone_has_no_quorum_and_drops_requests() {
    for seed in 0..SEEDS {
        let mut world = stable_world(seed, 3);
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
        run_for(&mut world, 1_500);
        let count = world.committed_count();
        assert!(!world.has_quorum(2));
        run_for(&mut world, 10_000);
        assert_eq!(world.committed_count(), count);
    }
}

#[test]
fn a_second_bootstrap_is_ignored() {
    let mut world = stable_world(1, 3);
    let view = world.newest_view().cloned().expect("the first view");
    let mut other = view.clone();
    other.chain.reverse();
    world.give_input(1, Input::Bootstrap { view: other });
    run_for(&mut world, 2_000);
    assert_eq!(world.newest_view(), Some(&view));
}

#[test]
fn a_restarted_member_ignores_echoes_of_its_earlier_incarnation() {
    each_position(|world, machine| {
        run_for(world, 20_000);
        inject(
            world,
            Fault::Kill {
                machine,
                back_after: 300,
            },
        );
        run_for(world, 1_500);
        assert!(world.has_quorum(machine));
        for other in (0..world.machines.len()).filter(|other| *other != machine) {
            inject(
                world,
                Fault::Partition {
                    from: machine,
                    to: other,
                },
            );
        }
        run_for(world, 1_200);
        assert!(
            !world.has_quorum(machine),
            "{}",
            world.describe(format!("m{machine} has a quorum"))
        );
    });
}
