//! Steps that faults consist of.

use dunespur_emulator::system::Role;
use std::time::Duration;

/// A step and the time at which it is due, from the beginning of the traffic.
#[derive(Clone, Copy, Debug)]
pub(super) struct Action {
    pub at: Duration,
    pub step: Step,
}

/// One step of a fault; machines by index, servers by number.
#[derive(Clone, Copy, Debug)]
pub(super) enum Step {
    Kill(usize),
    Start(usize),
    Terminate(usize),
    /// The grace period after SIGTERM has passed for the process with this number.
    StartAfterLeave {
        index: usize,
        process: u32,
    },
    Freeze(usize),
    Thaw(usize),
    Wipe(usize),
    KillAll,
    StartAll,
    /// A machine is lost for good.
    Decommission(usize),
    /// An empty machine replaces one that was lost.
    Replace(usize),
    Retire(usize),
    /// Checks whether the machine is empty, until the time given.
    AwaitRetired {
        index: usize,
        until: Duration,
    },
    Add(Role),
    LoseAnswers(usize),
    EndFault(usize),
    DrainModel(usize),
    CrashModel(usize),
    Patch,
}

impl Step {
    /// The machine whose process gets a signal that it outlives at first; nothing happens where none runs.
    pub(super) fn signals(self) -> Option<usize> {
        match self {
            Step::Terminate(index) | Step::Freeze(index) | Step::Thaw(index) => Some(index),
            _ => None,
        }
    }
}
