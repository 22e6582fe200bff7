//! A seeded plan of faults, and the play of a world through it.

use super::faults::{Acknowledgement, Fault, DOWNTIME};
use super::history::{check, Tally};
use super::links::Endpoint;
use super::violation::Violation;
use super::{Event, Setup, World};
use dunespur_chain_replication::Millis;
use fastrand::Rng;

/// After a loss of a disk, and before one, this long without another fault: what is lost at once stays bounded.
const CATCH_UP: Millis = 4_500;
const FIRST_FAULT: Millis = 3_000;
/// How long calls go on after the last fault.
const CALM: Millis = 4_000;
/// How long the plan waits for a machine that acknowledges a request.
const ACKNOWLEDGEMENT_WAIT: Millis = 3_000;

/// Which messages of an isolated machine are lost.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Direction {
    Outward,
    Inward,
    Both,
}

/// A fault and its time.
struct PlannedFault {
    at: Millis,
    fault: Fault,
}

/// A plan of faults, and when the last of them ends.
struct FaultPlan {
    faults: Vec<PlannedFault>,
    end_at: Millis,
}

struct Planner {
    rng: Rng,
    machines: usize,
    callers: usize,
    plan: FaultPlan,
}

fn plan_faults(setup: &Setup, callers: usize, fault_groups: usize) -> FaultPlan {
    let mut planner = Planner {
        rng: Rng::with_seed(setup.seed ^ 0x0DE5),
        machines: setup.machines,
        callers,
        plan: FaultPlan {
            faults: Vec::new(),
            end_at: FIRST_FAULT,
        },
    };
    for _ in 0..fault_groups {
        match planner.rng.u32(0..3) {
            0 => planner.disk_lost(),
            _ => planner.mixture(),
        }
    }
    planner.plan
}

impl Planner {
    fn push(&mut self, at: Millis, fault: Fault) {
        self.plan.faults.push(PlannedFault { at, fault });
        self.plan.end_at = self.plan.end_at.max(at);
    }

    /// From a tenth of a second to a minute, mostly around the protocol's times and the twenty seconds of a partition.
    fn random_duration(&mut self) -> Millis {
        match self.rng.u32(0..8) {
            0..=1 => self.rng.u64(100..1_000),
            2..=4 => self.rng.u64(1_000..5_000),
            5..=6 => 20_000,
            _ => self.rng.u64(5_000..60_000),
        }
    }

    fn mixture(&mut self) {
        let begin = self.plan.end_at + self.rng.u64(0..2_000);
        for _ in 0..self.rng.usize(1..4) {
            let at = begin + self.rng.u64(0..1_500);
            let duration = self.random_duration();
            self.add_random_fault(at, duration);
        }
    }

    fn add_random_fault(&mut self, at: Millis, duration: Millis) {
        let machine = self.rng.usize(..self.machines);
        let back_after = duration.min(3_000);
        match self.rng.u32(0..14) {
            0 => {
                let fault = Fault::Kill {
                    machine,
                    back_after,
                };
                self.push_until(at, fault, back_after);
            }
            1 => {
                let fault = Fault::PowerLoss {
                    machine,
                    back_after,
                };
                self.push_until(at, fault, back_after);
            }
            2..=4 => {
                self.push(at, Fault::Freeze { machine });
                self.push(at + duration, Fault::Thaw { machine });
            }
            5..=6 => self.split(at, duration),
            7 => self.isolate(at, duration, machine, Direction::Outward),
            8 => self.isolate(at, duration, machine, Direction::Inward),
            9 => self.isolate(at, duration, machine, Direction::Both),
            10 => {
                let other = self.rng.usize(..self.machines);
                self.partition_for(
                    at,
                    duration,
                    Endpoint::Machine(machine),
                    Endpoint::Machine(other),
                );
            }
            11 => {
                self.push(at, Fault::Doubling { on: true });
                self.push(at + duration, Fault::Doubling { on: false });
            }
            12 => {
                self.push(at, Fault::Losing { on: true });
                self.push(at + duration, Fault::Losing { on: false });
            }
            _ => {
                let fault = match self.rng.bool() {
                    true => Acknowledgement::PowerLoss,
                    false => Acknowledgement::Blackout,
                };
                self.push_until(
                    at,
                    Fault::AtAcknowledgement { fault },
                    ACKNOWLEDGEMENT_WAIT + DOWNTIME,
                );
            }
        }
    }

    fn push_until(&mut self, at: Millis, fault: Fault, duration: Millis) {
        self.push(at, fault);
        self.plan.end_at = self.plan.end_at.max(at + duration);
    }

    fn partition_for(&mut self, at: Millis, duration: Millis, from: Endpoint, to: Endpoint) {
        if from != to {
            self.push(at, Fault::Partition { from, to });
            self.push(at + duration, Fault::Heal { from, to });
        }
    }

    /// Machines and callers fall apart into two sides.
    fn split(&mut self, at: Millis, duration: Millis) {
        let machines = (0..self.machines).map(Endpoint::Machine);
        let endpoints: Vec<Endpoint> = machines
            .chain((0..self.callers).map(Endpoint::Caller))
            .collect();
        let sides: Vec<bool> = endpoints.iter().map(|_| self.rng.bool()).collect();
        for (one, side) in endpoints.iter().zip(&sides) {
            for (other, other_side) in endpoints.iter().zip(&sides) {
                if side != other_side {
                    self.partition_for(at, duration, *one, *other);
                }
            }
        }
    }

    /// One machine is partitioned from all others, callers reach it.
    fn isolate(&mut self, at: Millis, duration: Millis, machine: usize, direction: Direction) {
        for other in (0..self.machines).filter(|other| *other != machine) {
            let (one, other) = (Endpoint::Machine(machine), Endpoint::Machine(other));
            if direction != Direction::Inward {
                self.partition_for(at, duration, one, other);
            }
            if direction != Direction::Outward {
                self.partition_for(at, duration, other, one);
            }
        }
    }

    /// The disk is lost that has just acknowledged a request, or any other, at times while all others lose power.
    fn disk_lost(&mut self) {
        let at = self.plan.end_at + CATCH_UP + self.rng.u64(0..500);
        match self.rng.u32(0..3) {
            0 => {
                let machine = self.rng.usize(..self.machines);
                self.push_until(
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
                self.push_until(
                    at,
                    Fault::AtAcknowledgement { fault },
                    ACKNOWLEDGEMENT_WAIT + DOWNTIME,
                );
            }
            _ => {
                let fault = Acknowledgement::DiskLossInBlackout;
                self.push_until(
                    at,
                    Fault::AtAcknowledgement { fault },
                    ACKNOWLEDGEMENT_WAIT + DOWNTIME,
                );
            }
        }
        self.plan.end_at += CATCH_UP;
    }
}

/// Plays a world through a plan of faults and checks what its operators observed.
pub fn play(setup: Setup, fault_groups: usize) -> Result<Tally, Violation> {
    play_in(&mut World::new(setup), fault_groups)
}

/// Plays a world through a plan of faults: the digest of all that happened in it.
pub fn digest(setup: Setup, fault_groups: usize) -> u64 {
    let mut world = World::new(setup);
    let verdict = play_in(&mut world, fault_groups);
    world.finish_digest(verdict)
}

fn play_in(world: &mut World, fault_groups: usize) -> Result<Tally, Violation> {
    let setup = world.setup;
    let plan = plan_faults(&setup, world.callers.len(), fault_groups);
    for PlannedFault { at, fault } in plan.faults {
        world.schedule(at, Event::Fault(fault));
    }
    world.play_to(plan.end_at + CALM)?;
    check(&world.history).map_err(|violation| world.describe(&violation))?;
    let snapshots = world.snapshots_installed;
    let (emptied, rejected_retirements) = (
        world.retirement_operator.retirements_begun,
        world.retirement_operator.rejected,
    );
    Ok(Tally {
        snapshots,
        emptied,
        rejected_retirements,
        ..world.history.tally()
    })
}
