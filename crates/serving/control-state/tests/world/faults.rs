//! Faults, and what each does to the world.

use super::links::Endpoint;
use super::World;
use dunespur_chain_replication::Millis;

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

/// What happens to the machine that gives a 200.
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
pub const DOWNTIME: Millis = 700;

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
            Fault::Blackout { back_after } => self.black_out(back_after),
            Fault::Freeze { machine } => self.freeze(machine),
            Fault::Thaw { machine } => self.thaw(machine),
            Fault::Partition { from, to } => self.links.partition(from, to),
            Fault::Heal { from, to } => self.heal(from, to),
            Fault::Doubling { on } => self.doubling = on,
            Fault::Losing { on } => self.losing = on,
            Fault::AtAcknowledgement { fault } => self.await_acknowledgement(fault),
        }
        if matches!(fault, Fault::Wipe { .. }) && std::mem::take(&mut self.blackout_after_wipe) {
            self.inject(Fault::Blackout {
                back_after: DOWNTIME,
            });
        }
    }

    fn black_out(&mut self, back_after: Millis) {
        for machine in 0..self.machines.len() {
            if self.machines[machine].powered {
                let back_after = back_after + self.rng.u64(0..300);
                self.end_and_start(machine, false, back_after);
            }
        }
    }

    fn await_acknowledgement(&mut self, fault: Acknowledgement) {
        // The machine is not known yet: it is filled in when it acknowledges.
        let (machine, back_after) = (0, DOWNTIME);
        let first = match fault {
            Acknowledgement::PowerLoss => Fault::PowerLoss {
                machine,
                back_after,
            },
            Acknowledgement::Blackout => Fault::Blackout { back_after },
            Acknowledgement::DiskLoss | Acknowledgement::DiskLossInBlackout => Fault::Wipe {
                machine,
                back_after,
            },
        };
        if matches!(fault, Acknowledgement::DiskLossInBlackout) {
            self.blackout_after_wipe = true;
        }
        self.at_next_acknowledgement = Some(first);
    }

    fn end_and_start(&mut self, machine: usize, with_power: bool, back_after: Millis) {
        self.end_process(machine, with_power);
        self.start_at(machine, self.now + back_after);
    }
}
