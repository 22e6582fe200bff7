//! Steps that faults are executed in.

use dunespur_emulator::system::Role;
use std::time::Duration;

/// A step and the time at which it is due, from the start of the traffic.
#[derive(Clone, Copy, Debug)]
pub(super) struct ScheduledStep {
    pub at: Duration,
    pub step: Step,
}

/// One step of a fault. Machines are identified by their index, servers by their number.
#[derive(Clone, Copy, Debug)]
pub(super) enum Step {
    Kill(usize),
    Start(usize),
    Terminate(usize),
    /// The grace period after SIGTERM has passed: kills the machine's process with this number, if it is the current
    /// one, and starts the machine.
    StartAfterGracePeriod {
        index: usize,
        process: u32,
    },
    Freeze(usize),
    Thaw(usize),
    Wipe(usize),
    KillAll,
    StartAll,
    /// Kills a machine for good.
    Decommission(usize),
    /// Adds an empty machine with the role and zone of a decommissioned one.
    Replace(usize),
    Retire(usize),
    /// Polls the retirement of a machine until the deadline; decommissions the machine when it is done.
    AwaitRetired {
        index: usize,
        deadline: Duration,
    },
    Add(Role),
    LoseAnswers(usize),
    EndFault(usize),
    DrainModel(usize),
    CrashModel(usize),
    Patch,
}

impl Step {
    /// The machine to which the step sends SIGTERM, SIGSTOP or SIGCONT; the step is skipped where its process is not
    /// running.
    pub(super) fn signalled_machine(self) -> Option<usize> {
        match self {
            Step::Terminate(index) | Step::Freeze(index) | Step::Thaw(index) => Some(index),
            _ => None,
        }
    }
}
