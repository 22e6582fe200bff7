//! A seeded world of the core with its callers: members with disks that apply what is committed to the control state,
//! operators, readers and followers on all sides of partitions, and the faults that happen to them.
//!
//! Callers keep a history of what they saw, and [`history::check`] judges it. Besides, the committed sequence has to
//! be the same everywhere, and what a member shows to those who follow it may not be too old.
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

/// The founder sets the first view at this time, and again after this until it was decided.
const FOUND_AT: Millis = 400;
const FOUND_AGAIN: Millis = 300;
/// Processes start at most this long after the world does.
const LATEST_START: u64 = 300;
/// Payloads that mean nothing come this often, so that logs grow beyond what a member keeps.
const FILL_EVERY: u64 = 120;

/// Safeguards that may be removed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Safeguards {
    pub chain: dunespur_chain_replication::Safeguards,
    pub control: dunespur_control_state::Safeguards,
    /// A member rejects requests by its own replica of the state, without having them committed. The safeguard against
    /// this is that only the commit of a request answers it.
    pub rejects_unconfirmed: bool,
}

/// How a world is set up.
#[derive(Clone, Copy, Debug)]
pub struct Setup {
    pub seed: u64,
    pub machines: usize,
    pub safeguards: Safeguards,
    /// Bytes of payloads that mean nothing: large ones bring on snapshots.
    pub filling: usize,
    pub max_sync_ms: Millis,
}

impl Setup {
    pub fn new(seed: u64, machines: usize) -> Setup {
        Setup {
            seed,
            machines,
            safeguards: Safeguards::default(),
            filling: if seed % 3 == 1 { 24_000 } else { 0 },
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
    Fill,
    Tick {
        machine: usize,
        run: u64,
        at: Millis,
    },
    /// The next message of a connection between members.
    Deliver {
        from: usize,
        to: usize,
    },
    /// Something reaches a process, if it is still that run of it.
    Arrive {
        machine: usize,
        run: u64,
        arrival: Arrival,
    },
    /// Something reaches whatever process is there.
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

pub struct World {
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
    /// Messages between members come again late, or are lost, now and then.
    pub doubling: bool,
    pub losing: bool,
    /// The fault of the machine that gives the next 200 to a request.
    pub at_next_acknowledgement: Option<faults::Fault>,
    /// Then all machines lose power as well.
    blackout_after_wipe: bool,
    /// Digests of the committed payloads, in their order; that of index 1 is at 0.
    sequence: Vec<u64>,
    next_ticket: u64,
    pub snapshots_installed: u64,
    violation: Option<Violation>,
    trace: bool,
    pub digest: digest::Digest,
}

impl World {
    pub fn new(setup: Setup) -> World {
        let mut world = World {
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
            doubling: false,
            losing: false,
            at_next_acknowledgement: None,
            blackout_after_wipe: false,
            sequence: Vec::new(),
            next_ticket: 1,
            snapshots_installed: 0,
            violation: None,
            trace: std::env::var_os("WORLD_TRACE").is_some(),
            digest: digest::Digest::default(),
        };
        for _ in 0..setup.machines {
            let machine = world.add_machine();
            let start = world.rng.u64(0..LATEST_START);
            world.schedule(start, Event::Start { machine, run: 1 });
        }
        world.schedule(FOUND_AT, Event::Bootstrap);
        world.schedule(FOUND_AT, Event::Fill);
        world.add_callers();
        world
    }

    pub fn schedule(&mut self, at: Millis, event: Event) {
        self.order += 1;
        self.events.push(Reverse(Scheduled {
            at: at.max(self.now),
            order: self.order,
            event,
        }));
    }

    /// Plays up to a time, or to the first violation.
    pub fn play_to(&mut self, end: Millis) -> Result<(), Violation> {
        while self
            .events
            .peek()
            .is_some_and(|Reverse(next)| next.at <= end)
        {
            let Some(Reverse(next)) = self.events.pop() else {
                break;
            };
            self.now = next.at;
            self.happen(next.event);
            if let Some(violation) = self.violation.take() {
                return Err(self.describe(&violation));
            }
        }
        self.now = end;
        Ok(())
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Start { machine, run } => self.start(machine, run),
            Event::Bootstrap => self.found(),
            Event::Fill => self.fill(),
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
            Event::Caller { caller, wake } => self.caller_wakes(caller, wake),
            Event::Fault(fault) => self.inject(fault),
        }
    }

    /// The next commit of the sequence, as one member delivers it; returns whether it is the first to do so.
    pub fn committed_at(&mut self, machine: usize, index: u64, payload: u64) -> bool {
        let position = index as usize - 1;
        let first = position == self.sequence.len();
        if first {
            self.sequence.push(payload);
        } else if self.sequence.get(position) != Some(&payload) {
            self.violate(format!(
                "m{machine} commits something else at {index} than was committed before"
            ));
        }
        first
    }

    fn found(&mut self) {
        let view = self.first_view();
        if self
            .machines
            .iter()
            .all(|machine| machine.saved.decided.is_none())
        {
            self.schedule(self.now + FOUND_AGAIN, Event::Bootstrap);
        }
        self.arrive(0, Arrival::Chain(Input::Bootstrap { view }));
    }

    fn fill(&mut self) {
        let next = self.now + 1 + self.rng.u64(0..FILL_EVERY);
        self.schedule(next, Event::Fill);
        if self.setup.filling > 0 {
            let machine = self.rng.usize(..self.machines.len());
            self.submit_filling(machine);
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

    pub fn violate(&mut self, text: String) {
        self.violation.get_or_insert(Violation::new(text));
    }

    /// The violation with the world and the time in which it was found.
    pub fn describe(&self, violation: &Violation) -> Violation {
        Violation::new(format!(
            "seed {} with {} members at {} ms: {violation}",
            self.setup.seed, self.setup.machines, self.now
        ))
    }
}
