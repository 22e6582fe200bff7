//! A seeded world of core members: machines with disks, processes, connections, and what goes wrong with them.
//!
//! It checks as it goes: the committed sequence is the same everywhere, acknowledged payloads stay where they were
//! acknowledged, no two views bear one number, and reads see what was committed before they began.
#![allow(dead_code)]

mod checks;
mod connections;
mod machines;
mod requests;
pub mod trouble;
pub mod windows;

use dunespur_chain::{Guards, Input, Member, MemberId, Message, Millis, Output, Saved, View, Write};
use fastrand::Rng;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, VecDeque};
use std::net::SocketAddr;

/// The founder sets the first view at this time.
const FOUND_AT: Millis = 400;
/// And again after this, until it was taken.
const FOUND_AGAIN: Millis = 300;
/// Processes start at most this long after the world does.
const LATEST_START: u64 = 300;

/// Some hundred of these are more than a log in memory may hold.
const LARGE_PAYLOAD: usize = 12_000;

const QUICK_SYNC: Millis = 4;
/// Slow disks leave more time for trouble between a write and its sync.
const SLOW_SYNC: Millis = 60;

/// What a process's clock says at its start.
const FIRST_MOMENT: Millis = 1;

/// What a broken promise of the protocol looks like.
pub type Verdict = Result<(), String>;

/// How a world is set up.
#[derive(Clone, Copy, Debug)]
pub struct Setup {
    pub seed: u64,
    pub machines: usize,
    pub guards: Guards,
    /// Wiped machines come back under their old identity: the guard against this is the identity itself.
    pub wiped_keep_identity: bool,
    /// Mean time between two writes, and between two reads.
    pub write_every: Millis,
    pub read_every: Millis,
    /// Syncs take up to this long.
    pub sync_most: Millis,
    /// Bytes of a payload beyond its number: large ones bring on snapshots.
    pub padding: usize,
}

impl Setup {
    pub fn new(seed: u64, machines: usize) -> Setup {
        let guards = Guards::default();
        let padding = if seed % 5 == 4 { LARGE_PAYLOAD } else { 0 };
        Setup {
            seed,
            machines,
            guards,
            wiped_keep_identity: false,
            write_every: 60,
            read_every: 150,
            sync_most: if seed % 3 == 2 { SLOW_SYNC } else { QUICK_SYNC },
            padding,
        }
    }
}

/// A batch that the disk hasn't finished.
struct Flight {
    batch: u64,
    writes: Vec<Write>,
    /// Its time is over, but the disk stands still.
    due: bool,
}

struct Process {
    member: Member,
    /// The process's clock starts at this time, as steady clocks may.
    clock_zero: Millis,
    tick_at: Millis,
    /// Commits given out, or installed with a snapshot.
    applied: u64,
    submitted: HashMap<u64, u64>,
    reads: HashMap<u64, u64>,
}

pub struct Machine {
    node: String,
    address: SocketAddr,
    disk: u64,
    saved: Saved,
    flight: Option<Flight>,
    disk_stalled: bool,
    frozen: bool,
    /// What came while it was frozen.
    backlog: VecDeque<Input>,
    /// Counts starts, so that events of an earlier run are told apart.
    run: u64,
    process: Option<Process>,
    /// Without power, connections to it hang; without a process, they are refused.
    powered: bool,
    /// It is gone for good.
    pub removed: bool,
    may_found: bool,
}

#[derive(Clone, Debug)]
enum Event {
    Start { machine: usize, run: u64 },
    Found,
    Tick { machine: usize, run: u64, at: Millis },
    Deliver { from: usize, to: usize },
    Late { to: usize, input: Input },
    Notice { to: usize, run: u64, input: Input },
    DiskDone { machine: usize, run: u64, batch: u64 },
    Write,
    Read,
    Trouble(trouble::Trouble),
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
struct Line {
    queue: VecDeque<Carried>,
    last_arrival: Millis,
    cut: bool,
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
    lines: HashMap<(usize, usize), Line>,
    /// Messages come again late now and then, as from an older connection.
    pub doubling: bool,
    /// Messages are lost now and then.
    pub losing: bool,
    pub snapshots_given: u64,
    pub snapshots_installed: u64,
    /// Inputs that members have taken.
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
}

fn digest(before: u64, payload: u64) -> u64 {
    (before ^ payload).wrapping_mul(0x9E37_79B9_7F4A_7C15).rotate_left(23)
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
            lines: HashMap::new(),
            doubling: false,
            losing: false,
            snapshots_given: 0,
            snapshots_installed: 0,
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
        };
        for _ in 0..setup.machines {
            let machine = world.add_machine(true);
            let start = world.rng.u64(0..LATEST_START);
            world.schedule(start, Event::Start { machine, run: 1 });
        }
        world.schedule(FOUND_AT, Event::Found);
        world.schedule(FOUND_AT, Event::Write);
        world.schedule(FOUND_AT, Event::Read);
        world
    }

    // --- time ---

    fn schedule(&mut self, at: Millis, event: Event) {
        self.order += 1;
        self.events.push(Reverse(Scheduled { at: at.max(self.now), order: self.order, event }));
    }

    pub fn trouble_at(&mut self, at: Millis, trouble: trouble::Trouble) {
        self.schedule(at, Event::Trouble(trouble));
    }

    /// Plays up to a time, or to the first broken promise.
    pub fn play_to(&mut self, end: Millis) -> Verdict {
        while self.events.peek().is_some_and(|Reverse(next)| next.at <= end) {
            let Some(Reverse(next)) = self.events.pop() else { break };
            self.now = next.at;
            self.happen(next.event);
            if let Some(broken) = self.broken.take() {
                return Err(format!("seed {} at {} ms: {broken}", self.setup.seed, self.now));
            }
        }
        self.now = end;
        Ok(())
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Start { machine, run } => self.start(machine, run),
            Event::Found => self.found(),
            Event::Tick { machine, run, at } => self.tick(machine, run, at),
            Event::Deliver { from, to } => self.deliver(from, to),
            Event::Late { to, input } => self.input(to, input),
            Event::Notice { to, run, input } => {
                if self.machines[to].run == run {
                    self.input(to, input);
                }
            }
            Event::DiskDone { machine, run, batch } => self.disk_done(machine, run, batch),
            Event::Write => self.write(),
            Event::Read => self.read(),
            Event::Trouble(trouble) => self.happens(trouble),
        }
    }

    fn note(&self, text: impl FnOnce() -> String) {
        if self.trace {
            eprintln!("{:>6} {}", self.now, text());
        }
    }

    fn breaks(&mut self, text: String) {
        self.broken.get_or_insert(text);
    }

    // --- members ---

    fn tick(&mut self, index: usize, run: u64, at: Millis) {
        let machine = &mut self.machines[index];
        if machine.run != run {
            return;
        }
        let Some(process) = machine.process.as_mut() else { return };
        if process.tick_at == at {
            process.tick_at = Millis::MAX;
            if !machine.frozen {
                self.input(index, Input::Tick);
            }
        }
    }

    /// The caller of a member gives it something.
    pub fn take(&mut self, index: usize, input: Input) {
        self.input(index, input);
    }

    fn input(&mut self, index: usize, input: Input) {
        if self.machines[index].frozen {
            self.machines[index].backlog.push_back(input);
            return;
        }
        let now = self.now;
        let Some(process) = self.machines[index].process.as_mut() else { return };
        self.steps += 1;
        let mut out = Vec::new();
        process.member.step(input, now - process.clock_zero + FIRST_MOMENT, &mut out);
        let next = process.member.next_tick().saturating_sub(FIRST_MOMENT).saturating_add(process.clock_zero);
        let due = next.max(now + 1);
        if due < process.tick_at {
            process.tick_at = due;
            let run = self.machines[index].run;
            self.schedule(due, Event::Tick { machine: index, run, at: due });
        }
        for output in out {
            self.output(index, output);
        }
    }

    fn output(&mut self, index: usize, output: Output) {
        match output {
            Output::Send { to, message } => {
                if let Some(machine) = self.machine_at(to.address) {
                    self.send(index, machine, Some(to.id), message);
                }
            }
            Output::SendTo { address, message } => {
                if let Some(machine) = self.machine_at(address) {
                    self.send(index, machine, None, message);
                }
            }
            Output::Persist { batch, writes } => self.persist(index, batch, writes),
            Output::Commit { index: at, payload, ticket } => self.committed(index, at, &payload, ticket),
            Output::ReadReady { ticket } => self.read_ready(index, ticket),
            Output::Dropped { ticket } => self.dropped(index, ticket),
            Output::WantSnapshot => self.give_snapshot(index),
            Output::Install { index: at, bytes } => self.installed(index, at, &bytes),
            Output::ViewChanged { view, .. } => self.view_changed(index, view),
        }
    }

    fn machine_at(&self, address: SocketAddr) -> Option<usize> {
        self.machines.iter().position(|machine| machine.address == address && !machine.removed)
    }

    fn persist(&mut self, index: usize, batch: u64, writes: Vec<Write>) {
        let sync = self.rng.u64(1..self.setup.sync_most);
        if self.machines[index].flight.is_some() {
            self.breaks(format!("m{index} has two batches out"));
        }
        let run = self.machines[index].run;
        self.machines[index].flight = Some(Flight { batch, writes, due: false });
        self.schedule(self.now + sync, Event::DiskDone { machine: index, run, batch });
    }

    fn process(&mut self, index: usize) -> &mut Process {
        self.machines[index].process.as_mut().expect("outputs come from a process")
    }

    fn committed(&mut self, index: usize, at: u64, payload: &[u8], ticket: Option<u64>) {
        let payload = u64::from_le_bytes(payload[..8].try_into().expect("eight bytes"));
        let process = self.process(index);
        let in_order = process.applied + 1 == at;
        process.applied = at;
        let submitted = ticket.and_then(|ticket| process.submitted.remove(&ticket));
        if !in_order {
            self.breaks(format!("m{index} gives out the commit {at} out of order"));
        }
        if ticket.is_some() && submitted != Some(payload) {
            self.breaks(format!("m{index} takes another's payload at {at} for its own"));
        }
        self.acknowledged += u64::from(submitted.is_some());
        let place = at as usize - 1;
        if place == self.sequence.len() {
            self.sequence.push(payload);
            self.commit_times.push(self.now);
            self.digests.push(digest(self.digests[place], payload));
            self.note(|| format!("m{index} commits {at}: {payload}"));
        } else if self.sequence.get(place) != Some(&payload) {
            let known = self.sequence.get(place).copied();
            self.breaks(format!("m{index} commits {payload} at {at}, where {known:?} was committed before"));
        }
        if self.fresh.contains(&payload) {
            self.fresh_committed_at.get_or_insert(self.now);
        }
    }

    fn give_snapshot(&mut self, index: usize) {
        self.snapshots_given += 1;
        let applied = self.process(index).applied;
        let bytes = self.digests[applied as usize].to_le_bytes().to_vec();
        let at = self.now + self.rng.u64(0..5);
        let run = self.machines[index].run;
        let input = Input::Snapshot { index: applied, bytes };
        self.schedule(at, Event::Notice { to: index, run, input });
    }

    fn installed(&mut self, index: usize, at: u64, bytes: &[u8]) {
        self.snapshots_installed += 1;
        let process = self.process(index);
        let goes_back = at < process.applied;
        process.applied = at;
        let right = self.digests.get(at as usize).map(|digest| digest.to_le_bytes().to_vec());
        if goes_back || right.as_deref() != Some(bytes) {
            self.breaks(format!("m{index} installs a wrong snapshot at {at}"));
        }
    }

    fn view_changed(&mut self, index: usize, view: View) {
        self.note(|| {
            let names = |id: &MemberId| id.node.clone();
            let members: Vec<String> = view.members.iter().map(|member| names(&member.id)).collect();
            let chain: Vec<String> = view.chain.iter().map(names).collect();
            format!("m{index} view {} members {members:?} chain {chain:?}", view.number)
        });
        let number = view.number;
        let known = self.views.entry(number).or_insert_with(|| view.clone()).clone();
        if known != view {
            self.breaks(format!("two views {number}: {known:?} and at m{index} {view:?}"));
        }
    }
}
