//! A seeded simulation of core members: machines with disks, processes, connections, and their faults.
//!
//! The simulation checks continuously that all members commit the same sequence, that a payload stays at the index at
//! which it was acknowledged, that no two views have the same number, and that a read sees everything committed before it
//! began.
// Each test file is a crate of its own and uses only some of these modules.
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

/// When the first view is bootstrapped.
const BOOTSTRAP_AT: Millis = 400;
/// Interval at which the bootstrap is repeated until the first view is installed.
const BOOTSTRAP_RETRY: Millis = 300;
/// The latest time at which processes first start.
const LATEST_START: u64 = 300;

/// A few hundred payloads of this size exceed the entries that a log retains in memory.
const LARGE_PAYLOAD: usize = 12_000;

const QUICK_SYNC: Millis = 4;
/// Longest sync of a slow disk, which leaves more time for faults between a write and its sync.
const SLOW_SYNC: Millis = 60;

/// The time of a process's clock at its start.
const CLOCK_START: Millis = 1;

/// The result of a check: an error names the violated guarantee.
pub type CheckResult = Result<(), String>;

/// The parameters of a world.
#[derive(Clone, Copy, Debug)]
pub struct Setup {
    pub seed: u64,
    pub machines: usize,
    pub safeguards: Safeguards,
    /// Wiped machines keep their old disk identity, to show that safety needs a new one.
    pub wiped_keep_identity: bool,
    /// Mean time between two writes.
    pub write_every: Millis,
    /// Mean time between two reads.
    pub read_every: Millis,
    /// Upper bound of the time that a sync takes.
    pub max_sync_ms: Millis,
    /// Bytes of a payload besides its number; large payloads lead to snapshots.
    pub padding: usize,
    /// Bytes of a snapshot besides its digest; large snapshots need many chunks.
    pub snapshot_padding: usize,
    /// Bytes that a machine can send in a millisecond; 0 for unlimited bandwidth.
    pub link_bytes_per_ms: u64,
    /// Whether a byte is corrupted in transfer in some chunks of snapshots.
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

/// A batch of writes that isn't on disk yet.
struct BatchInFlight {
    batch: u64,
    writes: Vec<Write>,
    /// Its sync is complete, but is reported only when the disk no longer stalls.
    held_by_stall: bool,
}

struct Process {
    member: Member,
    /// The time at which the process started; its clock began then at [`CLOCK_START`].
    started_at: Millis,
    tick_at: Millis,
    /// Index of the last commit that was applied or installed with a snapshot.
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
    /// Inputs that arrived while the machine was frozen.
    backlog: VecDeque<Input>,
    /// Number of the process's run, to recognise events of earlier runs.
    run: u64,
    process: Option<Process>,
    /// Without power, connections to it hang; without a process, they are refused.
    powered: bool,
    /// The machine is lost for good.
    pub removed: bool,
    may_bootstrap: bool,
    /// When the link will have transmitted all messages sent so far, in microseconds.
    link_busy_until_us: u64,
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
    queue: VecDeque<QueuedMessage>,
    last_arrival: Millis,
    partitioned: bool,
}

struct QueuedMessage {
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
    /// Whether some messages arrive a second time later, as from an older connection.
    pub duplicates_messages: bool,
    /// Whether some messages are lost.
    pub loses_messages: bool,
    pub snapshots_taken: u64,
    pub snapshots_installed: u64,
    /// Bytes of snapshot chunks that were sent.
    pub chunk_bytes_transferred: u64,
    /// Number of inputs that members have handled.
    pub steps: u64,
    /// Committed payloads; that of index 1 is at 0.
    sequence: Vec<u64>,
    /// When each index was first committed.
    commit_times: Vec<Millis>,
    /// Digests of the committed sequence by its length.
    digests: Vec<u64>,
    views: BTreeMap<u64, View>,
    next_payload: u64,
    next_ticket: u64,
    /// Payloads that were submitted at or after `watched_since`.
    watched_payloads: std::collections::HashSet<u64>,
    watched_since: Millis,
    /// When the first of the watched payloads was committed.
    pub watched_committed_at: Option<Millis>,
    pub acknowledged: u64,
    pub reads_done: u64,
    violation: Option<String>,
    trace: bool,
    /// The record of all outputs of members, if a test has requested one.
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
            duplicates_messages: false,
            loses_messages: false,
            snapshots_taken: 0,
            snapshots_installed: 0,
            chunk_bytes_transferred: 0,
            steps: 0,
            sequence: Vec::new(),
            commit_times: Vec::new(),
            digests: vec![0],
            views: BTreeMap::new(),
            next_payload: 1,
            next_ticket: 1,
            watched_payloads: Default::default(),
            watched_since: Millis::MAX,
            watched_committed_at: None,
            acknowledged: 0,
            reads_done: 0,
            violation: None,
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

    /// Simulates up to a time, or to the first violation.
    pub fn run_until(&mut self, end: Millis) -> CheckResult {
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
                return Err(format!(
                    "seed {} at {} ms: {violation}",
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
            Event::Late { to, input } => self.step_member(to, input),
            Event::Notify { to, run, input } => {
                if self.machines[to].run == run {
                    self.step_member(to, input);
                }
            }
            Event::DiskDone {
                machine,
                run,
                batch,
            } => self.on_batch_synced(machine, run, batch),
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

    fn record_violation(&mut self, text: String) {
        self.violation.get_or_insert(text);
    }
}
