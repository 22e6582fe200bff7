//! A seeded simulation of the core and its callers, with faults. Members have disks and apply committed operations to
//! the control state; operators and followers call them from all sides of partitions.
//!
//! Calls and answers are recorded in a history, which [`history::check`] verifies. In addition, all members must commit
//! the same sequence, and the state that a member shows to followers must not be too old.
#![allow(dead_code)]

pub mod answers;
pub mod callers;
pub mod digest;
pub mod fault_plan;
pub mod faults;
pub mod history;
pub mod links;
pub mod machines;
pub mod retirements;
pub mod violation;

use dunespur_chain_replication::{Input, Millis};
use fastrand::Rng;
use history::History;
use links::Links;
use machines::{Arrival, Machine};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use violation::Violation;

/// Time at which the first member proposes the first view.
const BOOTSTRAP_AT: Millis = 400;
/// Interval at which the first view is proposed again until it is decided.
const BOOTSTRAP_RETRY: Millis = 300;
/// Latest start of a process, in milliseconds.
const LATEST_START: u64 = 300;
/// Maximum interval between filler payloads, in milliseconds. They make logs grow beyond the length that members keep.
const MAX_FILLER_INTERVAL: u64 = 120;

/// The safeguards of a simulation, which tests may remove.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Safeguards {
    pub chain: dunespur_chain_replication::Safeguards,
    pub control: dunespur_control_state::Safeguards,
    /// Removes the safeguard that a request is answered only after its commit: members then reject requests by their
    /// own replica of the state.
    pub rejects_unconfirmed: bool,
}

/// The parameters of a simulation.
#[derive(Clone, Copy, Debug)]
pub struct Setup {
    pub seed: u64,
    pub machines: usize,
    pub safeguards: Safeguards,
    /// Size of filler payloads in bytes, or 0 for none. Large payloads cause snapshots.
    pub filler_bytes: usize,
    /// Upper bound of the time that a disk takes to sync a batch.
    pub max_sync_ms: Millis,
}

impl Setup {
    pub fn new(seed: u64, machines: usize) -> Setup {
        Setup {
            seed,
            machines,
            safeguards: Safeguards::default(),
            filler_bytes: if seed % 3 == 1 { 24_000 } else { 0 },
            max_sync_ms: if seed % 4 == 2 { 60 } else { 4 },
        }
    }
}

#[derive(Clone, Debug)]
pub enum Event {
    Start {
        machine: usize,
        run: u64,
    },
    Bootstrap,
    SubmitFiller,
    Tick {
        machine: usize,
        run: u64,
        at: Millis,
    },
    /// Delivers the next message of a connection between members.
    Deliver {
        from: usize,
        to: usize,
    },
    /// An input arrives at a process, if the process is still in this run.
    Arrive {
        machine: usize,
        run: u64,
        arrival: Arrival,
    },
    /// An input arrives at a machine, whichever run its process is in.
    ArriveLate {
        machine: usize,
        arrival: Arrival,
    },
    DiskDone {
        machine: usize,
        run: u64,
        batch: u64,
    },
    Caller {
        caller: usize,
        wake: callers::Wake,
    },
    Fault(faults::Fault),
}

struct Scheduled {
    at: Millis,
    order: u64,
    event: Event,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Scheduled) -> bool {
        (self.at, self.order) == (other.at, other.order)
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Scheduled) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Scheduled) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

pub struct Simulation {
    pub setup: Setup,
    pub now: Millis,
    pub rng: Rng,
    events: BinaryHeap<Reverse<Scheduled>>,
    order: u64,
    pub machines: Vec<Machine>,
    pub links: Links,
    pub callers: Vec<callers::Caller>,
    pub history: History,
    pub retirement_operator: retirements::RetirementOperator,
    /// Whether some messages between members arrive a second time, later.
    pub duplicating: bool,
    /// Whether some messages between members are lost.
    pub losing: bool,
    /// The fault to inject at the machine that next accepts a configuration request.
    pub fault_at_next_acknowledgement: Option<faults::Fault>,
    /// Whether all machines lose power after the next disk loss.
    blackout_after_wipe: bool,
    /// Digests of the committed payloads in order; the digest of index 1 is at position 0.
    sequence: Vec<u64>,
    next_ticket: u64,
    pub snapshots_installed: u64,
    violation: Option<Violation>,
    trace: bool,
    pub digest: digest::Digest,
}

impl Simulation {
    pub fn new(setup: Setup) -> Simulation {
        let mut simulation = Simulation {
            setup,
            now: 0,
            rng: Rng::with_seed(setup.seed),
            events: BinaryHeap::new(),
            order: 0,
            machines: Vec::new(),
            links: Links::default(),
            callers: Vec::new(),
            history: History::default(),
            retirement_operator: retirements::RetirementOperator::default(),
            duplicating: false,
            losing: false,
            fault_at_next_acknowledgement: None,
            blackout_after_wipe: false,
            sequence: Vec::new(),
            next_ticket: 1,
            snapshots_installed: 0,
            violation: None,
            trace: std::env::var_os("WORLD_TRACE").is_some(),
            digest: digest::Digest::default(),
        };
        for _ in 0..setup.machines {
            let machine = simulation.add_machine();
            let start = simulation.rng.u64(0..LATEST_START);
            simulation.schedule(start, Event::Start { machine, run: 1 });
        }
        simulation.schedule(BOOTSTRAP_AT, Event::Bootstrap);
        simulation.schedule(BOOTSTRAP_AT, Event::SubmitFiller);
        simulation.add_callers();
        simulation
    }

    pub fn schedule(&mut self, at: Millis, event: Event) {
        self.order += 1;
        self.events.push(Reverse(Scheduled {
            at: at.max(self.now),
            order: self.order,
            event,
        }));
    }

    /// Runs until a time or the first violation.
    pub fn run_until(&mut self, end: Millis) -> Result<(), Violation> {
        while self
            .events
            .peek()
            .is_some_and(|Reverse(next)| next.at <= end)
        {
            let Some(Reverse(next)) = self.events.pop() else {
                break;
            };
            self.now = next.at;
            self.handle_event(next.event);
            if let Some(violation) = self.violation.take() {
                return Err(self.describe(&violation));
            }
        }
        self.now = end;
        Ok(())
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Start { machine, run } => self.start(machine, run),
            Event::Bootstrap => self.bootstrap(),
            Event::SubmitFiller => self.schedule_filler(),
            Event::Tick { machine, run, at } => self.tick(machine, run, at),
            Event::Deliver { from, to } => self.deliver(from, to),
            Event::Arrive {
                machine,
                run,
                arrival,
            } => {
                if self.machines[machine].run == run {
                    self.arrive(machine, arrival);
                }
            }
            Event::ArriveLate { machine, arrival } => self.arrive(machine, arrival),
            Event::DiskDone {
                machine,
                run,
                batch,
            } => self.disk_done(machine, run, batch),
            Event::Caller { caller, wake } => self.wake_caller(caller, wake),
            Event::Fault(fault) => self.inject(fault),
        }
    }

    /// Checks that a member commits the same payload at an index as the others; returns whether it is the first member
    /// to commit at this index.
    pub fn check_commit(&mut self, machine: usize, index: u64, payload: u64) -> bool {
        let position = index as usize - 1;
        let first = position == self.sequence.len();
        if first {
            self.sequence.push(payload);
        } else if self.sequence.get(position) != Some(&payload) {
            self.report_violation(format!(
                "m{machine} commits another payload at index {index} than was committed there before"
            ));
        }
        first
    }

    fn bootstrap(&mut self) {
        let view = self.first_view();
        if self
            .machines
            .iter()
            .all(|machine| machine.saved.decided.is_none())
        {
            self.schedule(self.now + BOOTSTRAP_RETRY, Event::Bootstrap);
        }
        self.arrive(0, Arrival::Chain(Input::Bootstrap { view }));
    }

    fn schedule_filler(&mut self) {
        let next = self.now + 1 + self.rng.u64(0..MAX_FILLER_INTERVAL);
        self.schedule(next, Event::SubmitFiller);
        if self.setup.filler_bytes > 0 {
            let machine = self.rng.usize(..self.machines.len());
            self.submit_filler(machine);
        }
    }

    pub fn take_ticket(&mut self) -> u64 {
        self.next_ticket += 1;
        self.next_ticket
    }

    pub fn log(&self, text: impl FnOnce() -> String) {
        if self.trace {
            eprintln!("{:>6} {}", self.now, text());
        }
    }

    pub fn report_violation(&mut self, text: String) {
        self.violation.get_or_insert(Violation::new(text));
    }

    /// Adds the seed, the number of members and the current time to a violation.
    pub fn describe(&self, violation: &Violation) -> Violation {
        Violation::new(format!(
            "seed {} with {} members at {} ms: {violation}",
            self.setup.seed, self.setup.machines, self.now
        ))
    }
}
