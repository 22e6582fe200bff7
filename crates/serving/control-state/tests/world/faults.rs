//! What goes wrong, and a seeded plan of it.

use super::history::{check, Tally};
use super::links::Endpoint;
use super::{Setup, World};
use dunespur_chain_replication::Millis;
use fastrand::Rng;

#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// The process ends, connections are reset, and it starts again.
    Kill {
        machine: usize,
        back_after: Millis,
    },
    /// Power is lost without a word.
    PowerLoss {
        machine: usize,
        back_after: Millis,
    },
    /// Power is lost and the disk with it.
    Wipe {
        machine: usize,
        back_after: Millis,
    },
    /// All machines lose power.
    Blackout {
        back_after: Millis,
    },
    Freeze {
        machine: usize,
    },
    Thaw {
        machine: usize,
    },
    Partition {
        from: Endpoint,
        to: Endpoint,
    },
    Heal {
        from: Endpoint,
        to: Endpoint,
    },
    Doubling {
        on: bool,
    },
    Losing {
        on: bool,
    },
    /// This happens to the machine that gives the next 200 to a request.
    AtAcknowledgement {
        fault: Acknowledgement,
    },
}

/// What befalls the machine that gives a 200.
#[derive(Clone, Copy, Debug)]
pub enum Acknowledgement {
    PowerLoss,
    DiskLoss,
    /// All lose power.
    Blackout,
    /// Its disk is lost, and all others lose power.
    DiskLossInBlackout,
}

/// How long a machine is down that fails at an acknowledgement.
const DOWNTIME: Millis = 700;

impl Fault {
    /// The fault on this machine.
    pub fn at(self, machine: usize) -> Fault {
        match self {
            Fault::PowerLoss { back_after, .. } => Fault::PowerLoss {
                machine,
                back_after,
            },
            Fault::Wipe { back_after, .. } => Fault::Wipe {
                machine,
                back_after,
            },
            other => other,
        }
    }
}

impl World {
    pub fn inject(&mut self, fault: Fault) {
        self.log(|| format!("{fault:?}"));
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
            Fault::Blackout { back_after } => {
                for machine in 0..self.machines.len() {
                    if self.machines[machine].powered {
                        let back_after = back_after + self.rng.u64(0..300);
                        self.end_and_start(machine, false, back_after);
                    }
                }
            }
            Fault::Freeze { machine } => self.freeze(machine),
            Fault::Thaw { machine } => self.thaw(machine),
            Fault::Partition { from, to } => self.links.partition(from, to),
            Fault::Heal { from, to } => self.heal(from, to),
            Fault::Doubling { on } => self.doubling = on,
            Fault::Losing { on } => self.losing = on,
            Fault::AtAcknowledgement { fault } => {
                let (machine, back_after) = (0, DOWNTIME);
                let first = match fault {
                    Acknowledgement::PowerLoss => Fault::PowerLoss {
                        machine,
                        back_after,
                    },
                    Acknowledgement::Blackout => Fault::Blackout { back_after },
                    Acknowledgement::DiskLoss => Fault::Wipe {
                        machine,
                        back_after,
                    },
                    Acknowledgement::DiskLossInBlackout => {
                        self.blackout_after_wipe = true;
                        Fault::Wipe {
                            machine,
                            back_after,
                        }
                    }
                };
                self.at_next_acknowledgement = Some(first);
            }
        }
        if matches!(fault, Fault::Wipe { .. }) && std::mem::take(&mut self.blackout_after_wipe) {
            self.inject(Fault::Blackout {
                back_after: DOWNTIME,
            });
        }
    }

    fn end_and_start(&mut self, machine: usize, with_power: bool, back_after: Millis) {
        self.end_process(machine, with_power);
        self.start_at(machine, self.now + back_after);
    }
}

/// After a loss of a disk, and before one, this long without another fault: what is lost at once stays bounded.
const CATCH_UP: Millis = 4_500;
const FIRST_FAULT: Millis = 3_000;
/// How long calls go on after the last fault.
const CALM: Millis = 4_000;
/// How long the plan waits for a machine that acknowledges a request.
const ACKNOWLEDGEMENT_WAIT: Millis = 3_000;

struct Planner {
    rng: Rng,
    machines: usize,
    callers: usize,
    faults: Vec<(Millis, Fault)>,
    end_at: Millis,
}

/// A plan of faults, and when the last of them ends.
pub fn schedule(
    setup: &Setup,
    callers: usize,
    fault_groups: usize,
) -> (Vec<(Millis, Fault)>, Millis) {
    let mut planner = Planner {
        rng: Rng::with_seed(setup.seed ^ 0x0DE5),
        machines: setup.machines,
        callers,
        faults: Vec::new(),
        end_at: FIRST_FAULT,
    };
    for _ in 0..fault_groups {
        match planner.rng.u32(0..3) {
            0 => planner.disk_lost(),
            _ => planner.mixture(),
        }
    }
    (planner.faults, planner.end_at)
}

impl Planner {
    fn push(&mut self, at: Millis, fault: Fault) {
        self.faults.push((at, fault));
        self.end_at = self.end_at.max(at);
    }

    /// From a tenth of a second to a minute, mostly around the protocol's times and the twenty seconds of a partition.
    fn lasts(&mut self) -> Millis {
        match self.rng.u32(0..8) {
            0..=1 => self.rng.u64(100..1_000),
            2..=4 => self.rng.u64(1_000..5_000),
            5..=6 => 20_000,
            _ => self.rng.u64(5_000..60_000),
        }
    }

    fn mixture(&mut self) {
        let begin = self.end_at + self.rng.u64(0..2_000);
        for _ in 0..self.rng.usize(1..4) {
            let at = begin + self.rng.u64(0..1_500);
            let lasts = self.lasts();
            self.push_fault(at, lasts);
        }
    }

    fn push_fault(&mut self, at: Millis, lasts: Millis) {
        let machine = self.rng.usize(..self.machines);
        let back_after = lasts.min(3_000);
        match self.rng.u32(0..14) {
            0 => self.ends(
                at,
                Fault::Kill {
                    machine,
                    back_after,
                },
                back_after,
            ),
            1 => self.ends(
                at,
                Fault::PowerLoss {
                    machine,
                    back_after,
                },
                back_after,
            ),
            2..=4 => {
                self.push(at, Fault::Freeze { machine });
                self.push(at + lasts, Fault::Thaw { machine });
            }
            5..=6 => self.split(at, lasts),
            7 => self.isolate(at, lasts, machine, true, false),
            8 => self.isolate(at, lasts, machine, false, true),
            9 => self.isolate(at, lasts, machine, true, true),
            10 => {
                let other = self.rng.usize(..self.machines);
                self.partition_for(
                    at,
                    lasts,
                    Endpoint::Machine(machine),
                    Endpoint::Machine(other),
                );
            }
            11 => {
                self.push(at, Fault::Doubling { on: true });
                self.push(at + lasts, Fault::Doubling { on: false });
            }
            12 => {
                self.push(at, Fault::Losing { on: true });
                self.push(at + lasts, Fault::Losing { on: false });
            }
            _ => {
                let fault = match self.rng.bool() {
                    true => Acknowledgement::PowerLoss,
                    false => Acknowledgement::Blackout,
                };
                self.ends(
                    at,
                    Fault::AtAcknowledgement { fault },
                    ACKNOWLEDGEMENT_WAIT + DOWNTIME,
                );
            }
        }
    }

    fn ends(&mut self, at: Millis, fault: Fault, lasts: Millis) {
        self.push(at, fault);
        self.end_at = self.end_at.max(at + lasts);
    }

    fn partition_for(&mut self, at: Millis, lasts: Millis, from: Endpoint, to: Endpoint) {
        if from != to {
            self.push(at, Fault::Partition { from, to });
            self.push(at + lasts, Fault::Heal { from, to });
        }
    }

    /// Machines and callers fall apart into two sides.
    fn split(&mut self, at: Millis, lasts: Millis) {
        let machines = (0..self.machines).map(Endpoint::Machine);
        let endpoints: Vec<Endpoint> = machines
            .chain((0..self.callers).map(Endpoint::Caller))
            .collect();
        let sides: Vec<bool> = endpoints.iter().map(|_| self.rng.bool()).collect();
        for (one, side) in endpoints.iter().zip(&sides) {
            for (other, other_side) in endpoints.iter().zip(&sides) {
                if side != other_side {
                    self.partition_for(at, lasts, *one, *other);
                }
            }
        }
    }

    /// One machine is partitioned from all others, callers reach it.
    fn isolate(&mut self, at: Millis, lasts: Millis, machine: usize, outward: bool, inward: bool) {
        for other in (0..self.machines).filter(|other| *other != machine) {
            let (one, other) = (Endpoint::Machine(machine), Endpoint::Machine(other));
            if outward {
                self.partition_for(at, lasts, one, other);
            }
            if inward {
                self.partition_for(at, lasts, other, one);
            }
        }
    }

    /// The disk is lost that has just acknowledged a request, or any other, at times while all others lose power.
    fn disk_lost(&mut self) {
        let at = self.end_at + CATCH_UP + self.rng.u64(0..500);
        match self.rng.u32(0..3) {
            0 => {
                let machine = self.rng.usize(..self.machines);
                self.ends(
                    at,
                    Fault::Wipe {
                        machine,
                        back_after: DOWNTIME,
                    },
                    DOWNTIME,
                );
            }
            1 => {
                let fault = Acknowledgement::DiskLoss;
                self.ends(
                    at,
                    Fault::AtAcknowledgement { fault },
                    ACKNOWLEDGEMENT_WAIT + DOWNTIME,
                );
            }
            _ => {
                let fault = Acknowledgement::DiskLossInBlackout;
                self.ends(
                    at,
                    Fault::AtAcknowledgement { fault },
                    ACKNOWLEDGEMENT_WAIT + DOWNTIME,
                );
            }
        }
        self.end_at += CATCH_UP;
    }
}

/// Plays a world through a plan of faults and checks what its operators observed.
pub fn play(setup: Setup, fault_groups: usize) -> Result<Tally, String> {
    play_in(&mut World::new(setup), fault_groups)
}

/// Plays a world through a plan of faults: the digest of all that happened in it.
pub fn digest(setup: Setup, fault_groups: usize) -> u64 {
    let mut world = World::new(setup);
    let verdict = play_in(&mut world, fault_groups);
    world.finish_digest(verdict)
}

fn play_in(world: &mut World, fault_groups: usize) -> Result<Tally, String> {
    let setup = world.setup;
    let (faults, end_at) = schedule(&setup, world.callers.len(), fault_groups);
    for (at, fault) in faults {
        world.schedule(at, super::Event::Fault(fault));
    }
    world.play_to(end_at + CALM)?;
    check(&world.history).map_err(|text| world.describe(&text))?;
    let snapshots = world.snapshots_installed;
    let (emptied, rejected_retirements) = (
        world.retirement_operator.retirements_begun,
        world.retirement_operator.refused,
    );
    Ok(Tally {
        snapshots,
        emptied,
        rejected_retirements,
        ..world.history.tally()
    })
}
