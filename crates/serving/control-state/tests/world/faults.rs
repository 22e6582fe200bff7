//! Faults and their effects on a simulation.

use super::links::Endpoint;
use super::Simulation;
use dunespur_chain_replication::Millis;

#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// A process ends, its connections are reset, and it restarts.
    Kill {
        machine: usize,
        restart_after: Millis,
    },
    /// A machine loses power, without notice to its peers, and restarts.
    PowerLoss {
        machine: usize,
        restart_after: Millis,
    },
    /// A machine loses power and its disk, and restarts with an empty disk.
    Wipe {
        machine: usize,
        restart_after: Millis,
    },
    /// All machines lose power and restart.
    Blackout {
        restart_after: Millis,
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
    Duplicating {
        on: bool,
    },
    Losing {
        on: bool,
    },
    /// A fault occurs at the machine that next accepts a configuration request.
    AtAcknowledgement {
        fault: AcknowledgementFault,
    },
}

/// A fault at the machine that accepts a configuration request.
#[derive(Clone, Copy, Debug)]
pub enum AcknowledgementFault {
    PowerLoss,
    DiskLoss,
    /// All machines lose power.
    Blackout,
    /// The machine loses its disk, and all others lose power.
    DiskLossInBlackout,
}

/// Time for which a machine that fails at an acknowledgement is down.
pub const DOWNTIME: Millis = 700;

impl Fault {
    /// The same fault at this machine.
    pub fn on_machine(self, machine: usize) -> Fault {
        match self {
            Fault::PowerLoss { restart_after, .. } => Fault::PowerLoss {
                machine,
                restart_after,
            },
            Fault::Wipe { restart_after, .. } => Fault::Wipe {
                machine,
                restart_after,
            },
            other => other,
        }
    }
}

impl Simulation {
    pub fn inject(&mut self, fault: Fault) {
        self.log(|| format!("{fault:?}"));
        match fault {
            Fault::Kill {
                machine,
                restart_after,
            } => self.end_and_start(machine, true, restart_after),
            Fault::PowerLoss {
                machine,
                restart_after,
            } => self.end_and_start(machine, false, restart_after),
            Fault::Wipe {
                machine,
                restart_after,
            } => {
                self.end_process(machine, false);
                self.wipe(machine);
                self.start_at(machine, self.now + restart_after);
            }
            Fault::Blackout { restart_after } => self.black_out(restart_after),
            Fault::Freeze { machine } => self.freeze(machine),
            Fault::Thaw { machine } => self.thaw(machine),
            Fault::Partition { from, to } => self.links.partition(from, to),
            Fault::Heal { from, to } => self.heal(from, to),
            Fault::Duplicating { on } => self.duplicating = on,
            Fault::Losing { on } => self.losing = on,
            Fault::AtAcknowledgement { fault } => self.await_acknowledgement(fault),
        }
        if matches!(fault, Fault::Wipe { .. }) && std::mem::take(&mut self.blackout_after_wipe) {
            self.inject(Fault::Blackout {
                restart_after: DOWNTIME,
            });
        }
    }

    fn black_out(&mut self, restart_after: Millis) {
        for machine in 0..self.machines.len() {
            if self.machines[machine].powered {
                let restart_after = restart_after + self.rng.u64(0..300);
                self.end_and_start(machine, false, restart_after);
            }
        }
    }

    fn await_acknowledgement(&mut self, fault: AcknowledgementFault) {
        // A placeholder: the machine is known only when it acknowledges a request.
        let (machine, restart_after) = (0, DOWNTIME);
        let first = match fault {
            AcknowledgementFault::PowerLoss => Fault::PowerLoss {
                machine,
                restart_after,
            },
            AcknowledgementFault::Blackout => Fault::Blackout { restart_after },
            AcknowledgementFault::DiskLoss | AcknowledgementFault::DiskLossInBlackout => {
                Fault::Wipe {
                    machine,
                    restart_after,
                }
            }
        };
        if matches!(fault, AcknowledgementFault::DiskLossInBlackout) {
            self.blackout_after_wipe = true;
        }
        self.fault_at_next_acknowledgement = Some(first);
    }

    fn end_and_start(&mut self, machine: usize, with_power: bool, restart_after: Millis) {
        self.end_process(machine, with_power);
        self.start_at(machine, self.now + restart_after);
    }
}
