//! Faults, and seeded schedules of faults.

use super::{Setup, World};
use dunespur_chain_replication::{Input, Millis};
use fastrand::Rng;

#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// The process ends, its connections are reset, and it restarts.
    Kill {
        machine: usize,
        back_after: Millis,
    },
    /// The machine loses power, without a reset of its connections, and restarts.
    PowerLoss {
        machine: usize,
        back_after: Millis,
    },
    /// The machine loses power and its disk, and restarts.
    Wipe {
        machine: usize,
        back_after: Millis,
    },
    /// The machine is lost for good, and a machine with another name and address starts.
    Replace {
        machine: usize,
        back_after: Millis,
    },
    Freeze {
        machine: usize,
    },
    Thaw {
        machine: usize,
    },
    Partition {
        from: usize,
        to: usize,
    },
    Heal {
        from: usize,
        to: usize,
    },
    StallDisk {
        machine: usize,
    },
    UnstallDisk {
        machine: usize,
    },
    Reset {
        one: usize,
        other: usize,
    },
    /// The machine requests to leave, then ends and restarts.
    Leave {
        machine: usize,
        back_after: Millis,
    },
    Add,
    Duplicating {
        on: bool,
    },
    Losing {
        on: bool,
    },
}

impl World {
    pub(super) fn inject(&mut self, fault: Fault) {
        self.trace_event(|| format!("{fault:?}"));
        match fault {
            Fault::Kill {
                machine,
                back_after,
            } => self.end_and_start(machine, true, back_after),
            Fault::PowerLoss {
                machine,
                back_after,
            } => self.end_and_start(machine, false, back_after),
            Fault::Wipe {
                machine,
                back_after,
            } => {
                self.end_process(machine, false);
                self.wipe(machine);
                self.start_at(machine, self.now + back_after);
            }
            Fault::Replace {
                machine,
                back_after,
            } => {
                self.end_process(machine, false);
                self.machines[machine].removed = true;
                let joiner = self.add_machine(false);
                self.start_at(joiner, self.now + back_after);
            }
            Fault::Freeze { machine } => self.freeze(machine),
            Fault::Thaw { machine } => self.thaw(machine),
            Fault::Partition { from, to } => self.partition(from, to),
            Fault::Heal { from, to } => self.heal(from, to),
            Fault::StallDisk { machine } => self.stall_disk(machine),
            Fault::UnstallDisk { machine } => self.unstall_disk(machine),
            Fault::Reset { one, other } => self.reset_connection(one, other, true),
            Fault::Leave {
                machine,
                back_after,
            } => {
                self.step_member(machine, Input::Leave);
                let fault = Fault::Kill {
                    machine,
                    back_after,
                };
                self.fault_at(self.now + 300, fault);
            }
            Fault::Add => {
                let joiner = self.add_machine(false);
                self.start_at(joiner, self.now);
            }
            Fault::Duplicating { on } => self.duplicates_messages = on,
            Fault::Losing { on } => self.loses_messages = on,
        }
    }

    fn end_and_start(&mut self, machine: usize, with_power: bool, back_after: Millis) {
        if self.machines[machine].removed {
            return;
        }
        self.end_process(machine, with_power);
        self.start_at(machine, self.now + back_after);
    }
}

/// Time without faults before and after a loss of disks, which bounds the number of replicas lost at once.
const CATCH_UP: Millis = 4_200;
const FIRST_FAULT: Millis = 2_500;

/// Faults with their times, and the time at which the last fault ends.
pub struct Schedule {
    pub faults: Vec<(Millis, Fault)>,
    pub ends_at: Millis,
}

struct Planner {
    rng: Rng,
    available: Vec<usize>,
    machines: usize,
    faults: Vec<(Millis, Fault)>,
    ends_at: Millis,
}

/// A schedule in phases: some mix all faults that spare the disks, others lose as many disks as must be tolerated at most.
pub fn schedule(setup: &Setup, phases: usize) -> Schedule {
    let mut planner = Planner {
        rng: Rng::with_seed(setup.seed ^ 0x5EED),
        available: (0..setup.machines).collect(),
        machines: setup.machines,
        faults: Vec::new(),
        ends_at: FIRST_FAULT,
    };
    for _ in 0..phases {
        if planner.rng.u32(0..3) == 0 {
            planner.lose_disks();
        } else {
            planner.mixed_faults();
        }
    }
    Schedule {
        faults: planner.faults,
        ends_at: planner.ends_at,
    }
}

/// Duration of a schedule of overlapping faults.
const OVERLAPPING_FAULTS_DURATION: Millis = 12_000;
/// Start of overlapping faults that begin during the bootstrap.
const EARLIEST_FAULT: Millis = 350;
/// Longest time between the starts of two overlapping faults.
const MAX_FAULT_GAP: Millis = 350;
/// Longest duration of an overlapping fault; few last longer than their detection takes.
const MAX_SHORT_FAULT: Millis = 1_300;

/// A schedule of short faults in quick succession, so that view changes overlap. No disk is lost.
pub fn overlapping_faults(setup: &Setup) -> Schedule {
    let mut planner = Planner {
        rng: Rng::with_seed(setup.seed ^ 0x5707),
        available: (0..setup.machines).collect(),
        machines: setup.machines,
        faults: Vec::new(),
        ends_at: FIRST_FAULT,
    };
    // Some schedules overlap the bootstrap.
    let mut at = if setup.seed % 4 == 1 {
        EARLIEST_FAULT
    } else {
        FIRST_FAULT
    };
    let end = FIRST_FAULT + OVERLAPPING_FAULTS_DURATION;
    while at < end {
        planner.push_short_fault(at);
        at += 1 + planner.rng.u64(0..MAX_FAULT_GAP);
    }
    planner.push(end, Fault::Duplicating { on: false });
    planner.push(end, Fault::Losing { on: false });
    Schedule {
        faults: planner.faults,
        ends_at: planner.ends_at,
    }
}

impl Planner {
    /// Adds a random short fault.
    fn push_short_fault(&mut self, at: Millis) {
        let machine = self.draw_machine();
        let other = self.draw_machine();
        let duration = 5 + self.rng.u64(0..MAX_SHORT_FAULT);
        match self.rng.u32(0..12) {
            0 | 1 => self.push_lasting(
                at,
                Fault::Kill {
                    machine,
                    back_after: duration,
                },
                duration,
            ),
            2 | 3 => self.push_lasting(
                at,
                Fault::PowerLoss {
                    machine,
                    back_after: duration,
                },
                duration,
            ),
            4 => {
                self.push(at, Fault::Freeze { machine });
                self.push(at + duration, Fault::Thaw { machine });
            }
            5 => self.partition_for(at, duration, machine, other, true, false),
            6 => self.partition_for(at, duration, machine, other, true, true),
            7 => {
                let outward = self.rng.bool();
                self.isolate(at, duration, machine, outward, !outward);
            }
            8 => self.isolate(at, duration, machine, true, true),
            9 => {
                self.push(at, Fault::StallDisk { machine });
                self.push(at + duration, Fault::UnstallDisk { machine });
            }
            10 => {
                let on = self.rng.bool();
                self.push(at, Fault::Duplicating { on });
                self.push(at, Fault::Losing { on: !on });
            }
            _ => self.push(
                at,
                Fault::Reset {
                    one: machine,
                    other,
                },
            ),
        }
    }

    fn draw_machine(&mut self) -> usize {
        self.available[self.rng.usize(..self.available.len())]
    }

    fn push(&mut self, at: Millis, fault: Fault) {
        self.faults.push((at, fault));
        self.ends_at = self.ends_at.max(at);
    }

    /// Draws a duration, mostly near the protocol's timeouts.
    fn draw_duration(&mut self) -> Millis {
        match self.rng.u32(0..3) {
            0 => self.rng.u64(5..200),
            1 => self.rng.u64(200..1_500),
            _ => self.rng.u64(1_500..4_000),
        }
    }

    fn mixed_faults(&mut self) {
        let begin = self.ends_at + self.draw_duration() / 2;
        let count = self.rng.usize(1..5);
        for _ in 0..count {
            let at = begin + self.rng.u64(0..1_500);
            self.random_fault(at);
        }
    }

    fn random_fault(&mut self, at: Millis) {
        let machine = self.draw_machine();
        let other = self.draw_machine();
        let duration = self.draw_duration();
        match self.rng.u32(0..14) {
            0 => self.push_lasting(
                at,
                Fault::Kill {
                    machine,
                    back_after: duration,
                },
                duration,
            ),
            1 => self.push_lasting(
                at,
                Fault::PowerLoss {
                    machine,
                    back_after: duration,
                },
                duration,
            ),
            2 => self.end_all(at),
            3 | 4 => {
                self.push(at, Fault::Freeze { machine });
                self.push(at + duration, Fault::Thaw { machine });
            }
            5 => self.partition_for(at, duration, machine, other, true, false),
            6 => self.partition_for(at, duration, machine, other, true, true),
            7 => self.isolate(at, duration, machine, true, false),
            8 => self.isolate(at, duration, machine, false, true),
            9 => self.isolate(at, duration, machine, true, true),
            10 => {
                self.push(at, Fault::StallDisk { machine });
                self.push(at + duration, Fault::UnstallDisk { machine });
            }
            11 => {
                self.push(at, Fault::Duplicating { on: true });
                self.push(at + duration, Fault::Duplicating { on: false });
                self.push(
                    at,
                    Fault::Reset {
                        one: machine,
                        other,
                    },
                );
            }
            12 => {
                self.push(at, Fault::Losing { on: true });
                self.push(at + duration, Fault::Losing { on: false });
            }
            _ => self.push_lasting(
                at,
                Fault::Leave {
                    machine,
                    back_after: duration,
                },
                duration + 300,
            ),
        }
    }

    /// Ends all processes at once, some by a loss of power.
    fn end_all(&mut self, at: Millis) {
        for machine in self.available.clone() {
            let back_after = 100 + self.rng.u64(0..900);
            let fault = if self.rng.bool() {
                Fault::Kill {
                    machine,
                    back_after,
                }
            } else {
                Fault::PowerLoss {
                    machine,
                    back_after,
                }
            };
            self.push_lasting(at, fault, back_after);
        }
    }

    fn push_lasting(&mut self, at: Millis, fault: Fault, duration: Millis) {
        self.push(at, fault);
        self.ends_at = self.ends_at.max(at + duration);
    }

    fn partition_for(
        &mut self,
        at: Millis,
        duration: Millis,
        one: usize,
        other: usize,
        outward: bool,
        inward: bool,
    ) {
        for (from, to, partition) in [(one, other, outward), (other, one, inward)] {
            if partition && from != to {
                self.push(at, Fault::Partition { from, to });
                self.push(at + duration, Fault::Heal { from, to });
            }
        }
    }

    fn isolate(
        &mut self,
        at: Millis,
        duration: Millis,
        machine: usize,
        outward: bool,
        inward: bool,
    ) {
        for other in self.available.clone() {
            self.partition_for(at, duration, machine, other, outward, inward);
        }
    }

    /// Loses disks, at most as many as must be tolerated, sometimes while all other machines lose power.
    fn lose_disks(&mut self) {
        let at = self.ends_at + CATCH_UP + self.rng.u64(0..500);
        let tolerated = (self.available.len() - 1) / 2;
        let lost = self.rng.usize(1..=tolerated);
        let mut others = self.available.clone();
        self.rng.shuffle(&mut others);
        let lost_machines = others.split_off(others.len() - lost);
        for machine in lost_machines {
            let back_after = self.rng.u64(100..2_000);
            if self.rng.u32(0..3) == 0 {
                self.push_lasting(
                    at,
                    Fault::Replace {
                        machine,
                        back_after,
                    },
                    back_after,
                );
                let joiner = self.machines;
                self.machines += 1;
                self.available.retain(|other| *other != machine);
                self.available.push(joiner);
            } else {
                self.push_lasting(
                    at,
                    Fault::Wipe {
                        machine,
                        back_after,
                    },
                    back_after,
                );
            }
        }
        if self.rng.bool() {
            for machine in others {
                let back_after = 100 + self.rng.u64(0..900);
                self.push_lasting(
                    at,
                    Fault::PowerLoss {
                        machine,
                        back_after,
                    },
                    back_after,
                );
            }
        }
        // The machines without their disks count as lost until they have caught up.
        self.ends_at += CATCH_UP;
    }
}

/// Time after the last fault by which a new write must be committed.
const WRITABLE_AFTER: Millis = 5_000;
/// Time after the last fault by which all members must be in the chain.
const COMPLETE_AFTER: Millis = 9_000;

/// Counts of the operations in a world.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WorldCounts {
    pub acknowledged: u64,
    pub reads: u64,
    pub snapshots_taken: u64,
    pub snapshots_installed: u64,
}

/// Simulates a schedule and checks that the core is writable and complete at the end.
pub fn run_schedule(setup: Setup, plan: Schedule) -> Result<WorldCounts, String> {
    run_schedule_in(&mut World::new(setup), plan)
}

/// As [`run_schedule`], in a newly created world.
pub fn run_schedule_in(world: &mut World, plan: Schedule) -> Result<WorldCounts, String> {
    for (at, fault) in plan.faults {
        world.fault_at(at, fault);
    }
    world.run_until(plan.ends_at + 1)?;
    world.watch_new_payloads();
    for index in world.running() {
        world.submit(index);
    }
    world.run_until(plan.ends_at + WRITABLE_AFTER)?;
    if world.watched_committed_at.is_none() {
        return Err(world.describe("nothing was committed after the last fault".into()));
    }
    world.run_until(plan.ends_at + COMPLETE_AFTER)?;
    world.check_complete(20)?;
    Ok(WorldCounts {
        acknowledged: world.acknowledged,
        reads: world.reads_done,
        snapshots_taken: world.snapshots_taken,
        snapshots_installed: world.snapshots_installed,
    })
}
