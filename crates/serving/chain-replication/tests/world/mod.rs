//! A seeded simulation of core members: machines with disks, processes, connections, and their faults.
//!
//! It checks as it goes: the committed sequence is the same everywhere, acknowledged payloads stay where they were
//! acknowledged, no two views have one number, and reads see what was committed before they began.
// Each test file is a crate of its own and uses a part of this.
#![allow(dead_code)]

mod checks;
pub mod digest;
pub mod fault_tolerance;
pub mod faults;
mod links;
mod machines;
mod members;
mod requests;

use dunespur_chain_replication::{
    DurableState, Input, Member, MemberId, Message, Millis, Safeguards, View, Write,
};
use fastrand::Rng;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, VecDeque};
use std::net::SocketAddr;

/// The first view is bootstrapped at this time.
const BOOTSTRAP_AT: Millis = 400;
/// And again after this, until it was installed.
const BOOTSTRAP_RETRY: Millis = 300;
/// Processes start at most this long after the world does.
const LATEST_START: u64 = 300;

/// Some hundred of these are more than a log in memory may hold.
const LARGE_PAYLOAD: usize = 12_000;

const QUICK_SYNC: Millis = 4;
/// Slow disks leave more time for faults between a write and its sync.
const SLOW_SYNC: Millis = 60;

/// The reading of a process's clock at its start.
const FIRST_MOMENT: Millis = 1;

/// The violated guarantee, if one was.
pub type Verdict = Result<(), String>;

/// How a world is set up.
#[derive(Clone, Copy, Debug)]
pub struct Setup {
    pub seed: u64,
    pub machines: usize,
    pub safeguards: Safeguards,
    /// Wiped machines come back under their old identity: the safeguard against this is the identity itself.
    pub wiped_keep_identity: bool,
    /// Mean time between two writes, and between two reads.
    pub write_every: Millis,
    pub read_every: Millis,
    /// Syncs take up to this long.
    pub max_sync_ms: Millis,
    /// Bytes of a payload beyond its number: large ones bring on snapshots.
    pub padding: usize,
    /// Bytes of a snapshot beyond the digest that it begins with: large ones need many chunks.
    pub snapshot_padding: usize,
    /// Bytes that a machine sends in a millisecond; 0: any number.
    pub link_bytes_per_ms: u64,
    /// Now and then a byte of a snapshot's chunk is corrupted in transfer.
    pub corrupts_chunks: bool,
}

impl Setup {
    pub fn new(seed: u64, machines: usize) -> Setup {
        let safeguards = Safeguards::default();
        let padding = if seed % 5 == 4 { LARGE_PAYLOAD } else { 0 };
        Setup {
            seed,
            machines,
            safeguards,
            wiped_keep_identity: false,
            write_every: 60,
            read_every: 150,
            max_sync_ms: if seed % 3 == 2 { SLOW_SYNC } else { QUICK_SYNC },
            padding,
            snapshot_padding: 0,
            link_bytes_per_ms: 0,
            corrupts_chunks: false,
        }
    }
}

/// A batch that the disk hasn't finished.
struct BatchInFlight {
    batch: u64,
    writes: Vec<Write>,
    /// It would be complete, but the disk stalls.
    due: bool,
}

struct Process {
    member: Member,
    /// The process's clock starts at this time, as steady clocks may.
    clock_zero: Millis,
    tick_at: Millis,
    /// The index of the last commit that was applied, or installed with a snapshot.
    applied: u64,
    submitted: HashMap<u64, u64>,
    reads: HashMap<u64, u64>,
}

pub struct Machine {
    node: String,
    address: SocketAddr,
    disk: u64,
    durable: DurableState,
    in_flight: Option<BatchInFlight>,
    disk_stalled: bool,
    frozen: bool,
    /// What came while it was frozen.
    backlog: VecDeque<Input>,
    /// Counts starts, so that events of an earlier run are recognised.
    run: u64,
    process: Option<Process>,
    /// Without power, connections to it hang; without a process, they are refused.
    powered: bool,
    /// It is lost for good.
    pub removed: bool,
    may_bootstrap: bool,
    /// By then its link has carried all that it sent, in microseconds.
    sending_until_us: u64,
}

#[derive(Clone, Debug)]
enum Event {
    Start {
        machine: usize,
        run: u64,
    },
    Bootstrap,
    Tick {
        machine: usize,
        run: u64,
        at: Millis,
    },
    Deliver {
        from: usize,
        to: usize,
    },
    Late {
        to: usize,
        input: Input,
    },
    Notify {
        to: usize,
        run: u64,
        input: Input,
    },
    DiskDone {
        machine: usize,
        run: u64,
        batch: u64,
    },
    Write,
    Read,
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

/// One direction of a connection: messages arrive in order.
#[derive(Default)]
struct Link {
    queue: VecDeque<Carried>,
    last_arrival: Millis,
    partition: bool,
}

struct Carried {
    sender: MemberId,
    to: Option<MemberId>,
    message: Message,
    arrival: Millis,
}

pub struct World {
    pub setup: Setup,
    pub now: Millis,
    pub rng: Rng,
    events: BinaryHeap<Reverse<Scheduled>>,
    order: u64,
    pub machines: Vec<Machine>,
    links: HashMap<(usize, usize), Link>,
    /// Messages come again late now and then, as from an older connection.
    pub duplicating: bool,
    /// Messages are lost now and then.
    pub losing: bool,
    pub snapshots_given: u64,
    pub snapshots_installed: u64,
    /// Bytes of snapshots that were sent in chunks.
    pub chunk_bytes_transferred: u64,
    /// Inputs that members have handled.
    pub steps: u64,
    /// Payloads by index; index 1 is at 0.
    sequence: Vec<u64>,
    /// When each index was committed first.
    commit_times: Vec<Millis>,
    /// Digests of the sequence's beginnings.
    digests: Vec<u64>,
    views: BTreeMap<u64, View>,
    next_payload: u64,
    next_ticket: u64,
    /// Submitted at or after `fresh_since`.
    fresh: std::collections::HashSet<u64>,
    fresh_since: Millis,
    /// When the first of the fresh payloads was committed.
    pub fresh_committed_at: Option<Millis>,
    pub acknowledged: u64,
    pub reads_done: u64,
    broken: Option<String>,
    trace: bool,
    /// Records all outputs of members, once a test has requested it.
    record: Option<digest::Record>,
}

fn digest(before: u64, payload: u64) -> u64 {
    (before ^ payload)
        .wrapping_mul(0x9E37_79B9_7F4A_7C15)
        .rotate_left(23)
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
            links: HashMap::new(),
            duplicating: false,
            losing: false,
            snapshots_given: 0,
            snapshots_installed: 0,
            chunk_bytes_transferred: 0,
            steps: 0,
            sequence: Vec::new(),
            commit_times: Vec::new(),
            digests: vec![0],
            views: BTreeMap::new(),
            next_payload: 1,
            next_ticket: 1,
            fresh: Default::default(),
            fresh_since: Millis::MAX,
            fresh_committed_at: None,
            acknowledged: 0,
            reads_done: 0,
            broken: None,
            trace: std::env::var_os("CHAIN_TRACE").is_some(),
            record: None,
        };
        for _ in 0..setup.machines {
            let machine = world.add_machine(true);
            let start = world.rng.u64(0..LATEST_START);
            world.schedule(start, Event::Start { machine, run: 1 });
        }
        world.schedule(BOOTSTRAP_AT, Event::Bootstrap);
        world.schedule(BOOTSTRAP_AT, Event::Write);
        world.schedule(BOOTSTRAP_AT, Event::Read);
        world
    }

    fn schedule(&mut self, at: Millis, event: Event) {
        self.order += 1;
        self.events.push(Reverse(Scheduled {
            at: at.max(self.now),
            order: self.order,
            event,
        }));
    }

    pub fn fault_at(&mut self, at: Millis, fault: faults::Fault) {
        self.schedule(at, Event::Fault(fault));
    }

    /// Plays up to a time, or to the first violation.
    pub fn play_to(&mut self, end: Millis) -> Verdict {
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
            if let Some(broken) = self.broken.take() {
                return Err(format!(
                    "seed {} at {} ms: {broken}",
                    self.setup.seed, self.now
                ));
            }
        }
        self.now = end;
        Ok(())
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Start { machine, run } => self.start(machine, run),
            Event::Bootstrap => self.bootstrap(),
            Event::Tick { machine, run, at } => self.tick(machine, run, at),
            Event::Deliver { from, to } => self.deliver(from, to),
            Event::Late { to, input } => self.input(to, input),
            Event::Notify { to, run, input } => {
                if self.machines[to].run == run {
                    self.input(to, input);
                }
            }
            Event::DiskDone {
                machine,
                run,
                batch,
            } => self.disk_done(machine, run, batch),
            Event::Write => self.write(),
            Event::Read => self.read(),
            Event::Fault(fault) => self.inject(fault),
        }
    }

    fn trace_event(&self, text: impl FnOnce() -> String) {
        if self.trace {
            eprintln!("{:>6} {}", self.now, text());
        }
    }

    fn breaks(&mut self, text: String) {
        self.broken.get_or_insert(text);
    }
}
