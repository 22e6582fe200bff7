//! A seeded plan of faults, and functions that run a simulation with it.

use super::faults::{AcknowledgementFault, Fault, DOWNTIME};
use super::history::{check, Tally};
use super::links::Endpoint;
use super::violation::Violation;
use super::{Event, Setup, Simulation};
use dunespur_chain_replication::Millis;
use fastrand::Rng;

/// Time without other faults before and after a disk loss, so that members catch up and simultaneous losses stay
/// bounded.
const CATCH_UP: Millis = 4_500;
/// Time before which no fault occurs.
const FIRST_FAULT: Millis = 3_000;
/// Time for which calls continue after the last fault.
const QUIET_PERIOD: Millis = 4_000;
/// Time that the plan reserves for a machine to acknowledge a request.
const ACKNOWLEDGEMENT_WAIT: Millis = 3_000;

/// The direction in which an isolated machine's messages are blocked.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Direction {
    Outward,
    Inward,
    Both,
}

/// A fault and the time at which it occurs.
struct PlannedFault {
    at: Millis,
    fault: Fault,
}

/// A plan of faults and the time at which the last one ends.
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
            0 => planner.add_disk_loss(),
            _ => planner.add_mixed_faults(),
        }
    }
    planner.plan
}

impl Planner {
    fn push(&mut self, at: Millis, fault: Fault) {
        self.plan.faults.push(PlannedFault { at, fault });
        self.plan.end_at = self.plan.end_at.max(at);
    }

    /// A random duration from 0.1 to 60 seconds, mostly close to the protocol's timeouts, or the 20 seconds of a
    /// partition.
    fn random_duration(&mut self) -> Millis {
        match self.rng.u32(0..8) {
            0..=1 => self.rng.u64(100..1_000),
            2..=4 => self.rng.u64(1_000..5_000),
            5..=6 => 20_000,
            _ => self.rng.u64(5_000..60_000),
        }
    }

    fn add_mixed_faults(&mut self) {
        let begin = self.plan.end_at + self.rng.u64(0..2_000);
        for _ in 0..self.rng.usize(1..4) {
            let at = begin + self.rng.u64(0..1_500);
            let duration = self.random_duration();
            self.add_random_fault(at, duration);
        }
    }

    fn add_random_fault(&mut self, at: Millis, duration: Millis) {
        let machine = self.rng.usize(..self.machines);
        let restart_after = duration.min(3_000);
        match self.rng.u32(0..14) {
            0 => {
                let fault = Fault::Kill {
                    machine,
                    restart_after,
                };
                self.push_until(at, fault, restart_after);
            }
            1 => {
                let fault = Fault::PowerLoss {
                    machine,
                    restart_after,
                };
                self.push_until(at, fault, restart_after);
            }
            2..=4 => {
                self.push(at, Fault::Freeze { machine });
                self.push(at + duration, Fault::Thaw { machine });
            }
            5..=6 => self.add_split(at, duration),
            7 => self.add_isolation(at, duration, machine, Direction::Outward),
            8 => self.add_isolation(at, duration, machine, Direction::Inward),
            9 => self.add_isolation(at, duration, machine, Direction::Both),
            10 => {
                let other = self.rng.usize(..self.machines);
                self.add_partition(
                    at,
                    duration,
                    Endpoint::Machine(machine),
                    Endpoint::Machine(other),
                );
            }
            11 => {
                self.push(at, Fault::Duplicating { on: true });
                self.push(at + duration, Fault::Duplicating { on: false });
            }
            12 => {
                self.push(at, Fault::Losing { on: true });
                self.push(at + duration, Fault::Losing { on: false });
            }
            _ => {
                let fault = match self.rng.bool() {
                    true => AcknowledgementFault::PowerLoss,
                    false => AcknowledgementFault::Blackout,
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

    fn add_partition(&mut self, at: Millis, duration: Millis, from: Endpoint, to: Endpoint) {
        if from != to {
            self.push(at, Fault::Partition { from, to });
            self.push(at + duration, Fault::Heal { from, to });
        }
    }

    /// Partitions machines and callers into two random sides.
    fn add_split(&mut self, at: Millis, duration: Millis) {
        let machines = (0..self.machines).map(Endpoint::Machine);
        let endpoints: Vec<Endpoint> = machines
            .chain((0..self.callers).map(Endpoint::Caller))
            .collect();
        let sides: Vec<bool> = endpoints.iter().map(|_| self.rng.bool()).collect();
        for (one, side) in endpoints.iter().zip(&sides) {
            for (other, other_side) in endpoints.iter().zip(&sides) {
                if side != other_side {
                    self.add_partition(at, duration, *one, *other);
                }
            }
        }
    }

    /// Partitions one machine from all others; callers still reach it.
    fn add_isolation(
        &mut self,
        at: Millis,
        duration: Millis,
        machine: usize,
        direction: Direction,
    ) {
        for other in (0..self.machines).filter(|other| *other != machine) {
            let (one, other) = (Endpoint::Machine(machine), Endpoint::Machine(other));
            if direction != Direction::Inward {
                self.add_partition(at, duration, one, other);
            }
            if direction != Direction::Outward {
                self.add_partition(at, duration, other, one);
            }
        }
    }

    /// Adds the loss of a disk: a random one, or the disk of a machine that has just acknowledged a request, in the
    /// latter case sometimes while all other machines lose power.
    fn add_disk_loss(&mut self) {
        let at = self.plan.end_at + CATCH_UP + self.rng.u64(0..500);
        match self.rng.u32(0..3) {
            0 => {
                let machine = self.rng.usize(..self.machines);
                self.push_until(
                    at,
                    Fault::Wipe {
                        machine,
                        restart_after: DOWNTIME,
                    },
                    DOWNTIME,
                );
            }
            1 => {
                let fault = AcknowledgementFault::DiskLoss;
                self.push_until(
                    at,
                    Fault::AtAcknowledgement { fault },
                    ACKNOWLEDGEMENT_WAIT + DOWNTIME,
                );
            }
            _ => {
                let fault = AcknowledgementFault::DiskLossInBlackout;
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

/// Runs a simulation with a plan of faults and checks the history of its operators.
pub fn run(setup: Setup, fault_groups: usize) -> Result<Tally, Violation> {
    run_plan(&mut Simulation::new(setup), fault_groups)
}

/// Runs a simulation with a plan of faults and returns its digest.
pub fn digest(setup: Setup, fault_groups: usize) -> u64 {
    let mut simulation = Simulation::new(setup);
    let result = run_plan(&mut simulation, fault_groups);
    simulation.finish_digest(result)
}

fn run_plan(simulation: &mut Simulation, fault_groups: usize) -> Result<Tally, Violation> {
    let setup = simulation.setup;
    let plan = plan_faults(&setup, simulation.callers.len(), fault_groups);
    for PlannedFault { at, fault } in plan.faults {
        simulation.schedule(at, Event::Fault(fault));
    }
    simulation.run_until(plan.end_at + QUIET_PERIOD)?;
    check(&simulation.history).map_err(|violation| simulation.describe(&violation))?;
    let snapshots = simulation.snapshots_installed;
    let (emptied, rejected_retirements) = (
        simulation.retirement_operator.retirements_begun,
        simulation.retirement_operator.rejected,
    );
    Ok(Tally {
        snapshots,
        emptied,
        rejected_retirements,
        ..simulation.history.tally()
    })
}
