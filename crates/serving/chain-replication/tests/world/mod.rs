//! A seeded world of core members: machines with disks, processes, connections, and what goes wrong with them.
//!
//! It checks as it goes: the committed sequence is the same everywhere, acknowledged payloads stay where they were
//! acknowledged, no two views bear one number, and reads see what was committed before they began.
#![allow(dead_code)]

pub mod digest;
pub mod fault_tolerance;
pub mod faults;

use dunespur_chain_replication::{
    DurableState, Input, Member, MemberConfig, MemberId, Message, Millis, Output, Peer, Safeguards,
    View, Write,
};
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
    pub safeguards: Safeguards,
    /// Wiped machines come back under their old identity: the guard against this is the identity itself.
    pub wiped_keep_identity: bool,
    /// Mean time between two writes, and between two reads.
    pub write_every: Millis,
    pub read_every: Millis,
    /// Syncs take up to this long.
    pub max_sync_ms: Millis,
    /// Bytes of a payload beyond its number: large ones bring on snapshots.
    pub padding: usize,
    /// Bytes of a snapshot beyond the digest that it begins with: large ones go in many parts.
    pub snapshot_padding: usize,
    /// Bytes that a machine sends in a millisecond; 0: any number.
    pub link_bytes_per_ms: u64,
    /// Now and then a byte of a snapshot's chunk is another when it arrives.
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
    durable: DurableState,
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
    may_bootstrap: bool,
    /// What it has sent has left it by then, in microseconds.
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
    /// Bytes of snapshots that were sent in parts.
    pub chunk_bytes_sent: u64,
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
    /// Takes note of all that members do, once a test has asked for it.
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
            chunk_bytes_sent: 0,
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
        world.schedule(FOUND_AT, Event::Bootstrap);
        world.schedule(FOUND_AT, Event::Write);
        world.schedule(FOUND_AT, Event::Read);
        world
    }

    // --- time ---

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

    /// Plays up to a time, or to the first broken promise.
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
            self.happen(next.event);
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

    fn happen(&mut self, event: Event) {
        match event {
            Event::Start { machine, run } => self.start(machine, run),
            Event::Bootstrap => self.found(),
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

    // --- machines ---

    pub fn add_machine(&mut self, may_bootstrap: bool) -> usize {
        let index = self.machines.len();
        self.machines.push(Machine {
            node: format!("m{index}"),
            address: SocketAddr::from(([10, 0, 0, index as u8], 7380)),
            disk: self.rng.u64(1..),
            durable: DurableState::default(),
            flight: None,
            disk_stalled: false,
            frozen: false,
            backlog: VecDeque::new(),
            run: 1,
            process: None,
            powered: true,
            removed: false,
            may_bootstrap,
            sending_until_us: 0,
        });
        index
    }

    fn id(&self, machine: usize) -> MemberId {
        MemberId {
            node: self.machines[machine].node.clone(),
            disk: self.machines[machine].disk,
        }
    }

    fn peer(&self, machine: usize) -> Peer {
        Peer {
            id: self.id(machine),
            address: self.machines[machine].address,
        }
    }

    pub fn running(&self) -> Vec<usize> {
        (0..self.machines.len())
            .filter(|index| self.machines[*index].process.is_some())
            .collect()
    }

    pub fn start_at(&mut self, machine: usize, at: Millis) {
        self.machines[machine].run += 1;
        let run = self.machines[machine].run;
        self.schedule(at, Event::Start { machine, run });
    }

    fn start(&mut self, index: usize, run: u64) {
        let now = self.now;
        let seed = self.rng.u64(..);
        let contacts: Vec<SocketAddr> = self
            .machines
            .iter()
            .map(|machine| machine.address)
            .collect();
        let id = self.id(index);
        let machine = &mut self.machines[index];
        if machine.run != run || machine.removed {
            return;
        }
        machine.powered = true;
        machine.frozen = false;
        let durable = machine.durable.clone();
        let config = MemberConfig {
            peer: Peer {
                id,
                address: machine.address,
            },
            may_bootstrap: machine.may_bootstrap,
            seed,
        };
        let member = Member::with_safeguards(config, durable, FIRST_MOMENT, self.setup.safeguards);
        let process = Process {
            member,
            clock_zero: now,
            tick_at: Millis::MAX,
            applied: 0,
            submitted: HashMap::new(),
            reads: HashMap::new(),
        };
        machine.process = Some(process);
        let first_start = machine.may_bootstrap && run == 1;
        self.trace_event(|| format!("m{index} starts"));
        if first_start {
            self.input(index, Input::Tick);
        } else {
            self.input(index, Input::Join { contacts });
        }
    }

    /// The process ends; the machine keeps what is on its disk. A batch under way may have reached it.
    pub fn end_process(&mut self, index: usize, with_power: bool) {
        let keeps_batch = self.rng.bool();
        let machine = &mut self.machines[index];
        machine.run += 1;
        machine.process = None;
        machine.backlog.clear();
        machine.frozen = false;
        machine.powered = with_power;
        if let Some(flight) = machine.flight.take().filter(|_| keeps_batch) {
            flight
                .writes
                .iter()
                .for_each(|write| machine.durable.apply(write));
        }
        for other in 0..self.machines.len() {
            self.reset_connection(index, other, with_power);
        }
    }

    pub fn wipe(&mut self, index: usize) {
        let disk = self.rng.u64(1..);
        let keep = self.setup.wiped_keep_identity;
        let machine = &mut self.machines[index];
        machine.durable = DurableState::default();
        machine.may_bootstrap = false;
        if !keep {
            machine.disk = disk;
        }
    }

    pub fn freeze(&mut self, index: usize) {
        self.machines[index].frozen = true;
    }

    pub fn thaw(&mut self, index: usize) {
        if !std::mem::take(&mut self.machines[index].frozen) {
            return;
        }
        let backlog = std::mem::take(&mut self.machines[index].backlog);
        for input in backlog {
            self.input(index, input);
        }
        self.input(index, Input::Tick);
    }

    pub fn stall_disk(&mut self, index: usize) {
        self.machines[index].disk_stalled = true;
    }

    pub fn unstall_disk(&mut self, index: usize) {
        self.machines[index].disk_stalled = false;
        let run = self.machines[index].run;
        if let Some(batch) = self.machines[index]
            .flight
            .as_ref()
            .filter(|flight| flight.due)
            .map(|f| f.batch)
        {
            self.disk_done(index, run, batch);
        }
    }

    fn disk_done(&mut self, index: usize, run: u64, batch: u64) {
        let machine = &mut self.machines[index];
        if machine.run != run {
            return;
        }
        let disk_stalled = machine.disk_stalled;
        let Some(flight) = machine
            .flight
            .as_mut()
            .filter(|flight| flight.batch == batch)
        else {
            return;
        };
        if disk_stalled {
            flight.due = true;
            return;
        }
        let flight = machine.flight.take().expect("just seen");
        flight
            .writes
            .iter()
            .for_each(|write| machine.durable.apply(write));
        self.input(index, Input::Persisted { batch });
    }

    // --- connections ---

    fn link(&mut self, from: usize, to: usize) -> &mut Link {
        self.links.entry((from, to)).or_default()
    }

    /// What is on its way is lost; both ends are told if they can be.
    pub fn reset_connection(&mut self, one: usize, other: usize, describe: bool) {
        if one == other {
            return;
        }
        let partition = self.link(one, other).partition || self.link(other, one).partition;
        self.link(one, other).queue.clear();
        self.link(other, one).queue.clear();
        if describe && !partition {
            self.notify_disconnected(one, other);
            self.notify_disconnected(other, one);
        }
    }

    fn notify_disconnected(&mut self, to: usize, peer: usize) {
        let run = self.machines[to].run;
        let at = self.now + self.rng.u64(1..4);
        let input = Input::Disconnected {
            peer: self.id(peer),
        };
        self.schedule(at, Event::Notify { to, run, input });
    }

    pub fn partition(&mut self, from: usize, to: usize) {
        self.link(from, to).partition = true;
    }

    /// What was held up arrives now, or is lost with the connection.
    pub fn heal(&mut self, from: usize, to: usize) {
        if !std::mem::take(&mut self.link(from, to).partition) {
            return;
        }
        if self.rng.bool() {
            return self.reset_connection(from, to, true);
        }
        let now = self.now;
        let held = self.link(from, to).queue.len();
        for carried in self.link(from, to).queue.iter_mut() {
            carried.arrival = carried.arrival.max(now);
        }
        for _ in 0..held {
            self.schedule(now, Event::Deliver { from, to });
        }
    }

    /// When the last byte of a message that is sent now has left its machine.
    fn leaves_at(&mut self, from: usize, message: &Message) -> Millis {
        if self.setup.link_bytes_per_ms == 0 {
            return self.now;
        }
        let bytes = postcard::to_stdvec(message)
            .expect("a message can be written")
            .len() as u64;
        let takes_us = bytes * 1_000 / self.setup.link_bytes_per_ms;
        let machine = &mut self.machines[from];
        machine.sending_until_us = machine.sending_until_us.max(self.now * 1_000) + takes_us;
        machine.sending_until_us.div_ceil(1_000)
    }

    /// Counts parts, and spoils a byte of some.
    fn corrupt_chunk(&mut self, message: &mut Message) {
        let Message::SnapshotChunk { chunk, .. } = message else {
            return;
        };
        self.chunk_bytes_sent += chunk.bytes.len() as u64;
        if self.setup.corrupts_chunks && self.rng.u32(0..8) == 0 {
            let mut bytes = chunk.bytes.to_vec();
            let place = self.rng.usize(..bytes.len());
            bytes[place] ^= 1;
            chunk.bytes = bytes.into();
        }
    }

    fn send(&mut self, from: usize, to: usize, identity: Option<MemberId>, mut message: Message) {
        let sender = self.id(from);
        let delay = self.rng.u64(1..4);
        self.corrupt_chunk(&mut message);
        let now = self.now;
        let left = self.leaves_at(from, &message);
        if self.duplicating && self.rng.u32(0..100) == 0 {
            let at = now + self.rng.u64(10..2_000);
            let input = Input::Received {
                from: sender.clone(),
                message: message.clone(),
            };
            self.schedule(at, Event::Late { to, input });
        }
        if self.losing && self.rng.u32(0..20) == 0 {
            return;
        }
        let link = self.link(from, to);
        link.last_arrival = link.last_arrival.max(left + delay);
        let arrival = link.last_arrival;
        link.queue.push_back(Carried {
            sender,
            to: identity,
            message,
            arrival,
        });
        self.schedule(arrival, Event::Deliver { from, to });
    }

    fn deliver(&mut self, from: usize, to: usize) {
        let now = self.now;
        let link = self.link(from, to);
        if link.partition
            || link
                .queue
                .front()
                .is_none_or(|carried| carried.arrival > now)
        {
            return;
        }
        let carried = link.queue.pop_front().expect("just seen");
        if self.machines[to].process.is_none() {
            if self.machines[to].powered && !self.machines[to].removed {
                let peer = carried.to.unwrap_or_else(|| self.id(to));
                let run = self.machines[from].run;
                let input = Input::Disconnected { peer };
                self.schedule(
                    now + 1,
                    Event::Notify {
                        to: from,
                        run,
                        input,
                    },
                );
            }
            return;
        }
        self.trace_event(|| format!("m{from} -> m{to} {:?}", carried.message));
        self.input(
            to,
            Input::Received {
                from: carried.sender,
                message: carried.message,
            },
        );
    }

    // --- members ---

    fn tick(&mut self, index: usize, run: u64, at: Millis) {
        let machine = &mut self.machines[index];
        if machine.run != run {
            return;
        }
        let Some(process) = machine.process.as_mut() else {
            return;
        };
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
        let Some(process) = self.machines[index].process.as_mut() else {
            return;
        };
        self.steps += 1;
        let mut out = Vec::new();
        process
            .member
            .step(input, now - process.clock_zero + FIRST_MOMENT, &mut out);
        let next = process
            .member
            .next_tick()
            .saturating_sub(FIRST_MOMENT)
            .saturating_add(process.clock_zero);
        let due = next.max(now + 1);
        if let Some(record) = &mut self.record {
            record.stepped(now, index, due, &out);
        }
        if due < process.tick_at {
            process.tick_at = due;
            let run = self.machines[index].run;
            self.schedule(
                due,
                Event::Tick {
                    machine: index,
                    run,
                    at: due,
                },
            );
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
            Output::SendToAddress { address, message } => {
                if let Some(machine) = self.machine_at(address) {
                    self.send(index, machine, None, message);
                }
            }
            Output::Persist { batch, writes } => self.persist(index, batch, writes),
            Output::Apply {
                index: at,
                payload,
                ticket,
            } => self.on_apply(index, at, &payload, ticket),
            Output::ReadReady { ticket } => self.read_ready(index, ticket),
            Output::Dropped { ticket } => self.dropped(index, ticket),
            Output::TakeSnapshot => self.give_snapshot(index),
            Output::InstallSnapshot { index: at, bytes } => self.installed(index, at, &bytes),
            Output::ViewChanged { view, .. } => self.view_changed(index, view),
        }
    }

    fn machine_at(&self, address: SocketAddr) -> Option<usize> {
        self.machines
            .iter()
            .position(|machine| machine.address == address && !machine.removed)
    }

    fn persist(&mut self, index: usize, batch: u64, writes: Vec<Write>) {
        let sync = self.rng.u64(1..self.setup.max_sync_ms);
        if self.machines[index].flight.is_some() {
            self.breaks(format!("m{index} has two batches out"));
        }
        let run = self.machines[index].run;
        self.machines[index].flight = Some(Flight {
            batch,
            writes,
            due: false,
        });
        self.schedule(
            self.now + sync,
            Event::DiskDone {
                machine: index,
                run,
                batch,
            },
        );
    }

    fn process(&mut self, index: usize) -> &mut Process {
        self.machines[index]
            .process
            .as_mut()
            .expect("outputs come from a process")
    }

    fn on_apply(&mut self, index: usize, at: u64, payload: &[u8], ticket: Option<u64>) {
        let payload = u64::from_le_bytes(payload[..8].try_into().expect("eight bytes"));
        let process = self.process(index);
        let in_order = process.applied + 1 == at;
        process.applied = at;
        let submitted = ticket.and_then(|ticket| process.submitted.remove(&ticket));
        if !in_order {
            self.breaks(format!("m{index} gives out the commit {at} out of order"));
        }
        if ticket.is_some() && submitted != Some(payload) {
            self.breaks(format!(
                "m{index} takes another's payload at {at} for its own"
            ));
        }
        self.acknowledged += u64::from(submitted.is_some());
        let place = at as usize - 1;
        if place == self.sequence.len() {
            self.sequence.push(payload);
            self.commit_times.push(self.now);
            self.digests.push(digest(self.digests[place], payload));
            self.trace_event(|| format!("m{index} commits {at}: {payload}"));
        } else if self.sequence.get(place) != Some(&payload) {
            let known = self.sequence.get(place).copied();
            self.breaks(format!(
                "m{index} commits {payload} at {at}, where {known:?} was committed before"
            ));
        }
        if self.fresh.contains(&payload) {
            self.fresh_committed_at.get_or_insert(self.now);
        }
    }

    fn give_snapshot(&mut self, index: usize) {
        self.snapshots_given += 1;
        let applied = self.process(index).applied;
        let bytes = self.snapshot_after(self.digests[applied as usize]);
        let at = self.now + self.rng.u64(0..5);
        let run = self.machines[index].run;
        let input = Input::SnapshotTaken {
            index: applied,
            bytes,
        };
        self.schedule(
            at,
            Event::Notify {
                to: index,
                run,
                input,
            },
        );
    }

    /// The state after entries of this digest.
    fn snapshot_after(&self, digest: u64) -> Vec<u8> {
        let words = 1 + self.setup.snapshot_padding / 8;
        digest.to_le_bytes().repeat(words)
    }

    fn installed(&mut self, index: usize, at: u64, bytes: &[u8]) {
        self.snapshots_installed += 1;
        let process = self.process(index);
        let goes_back = at < process.applied;
        process.applied = at;
        let right = self
            .digests
            .get(at as usize)
            .map(|digest| self.snapshot_after(*digest));
        if goes_back || right.as_deref() != Some(bytes) {
            self.breaks(format!("m{index} installs a wrong snapshot at {at}"));
        }
    }

    fn view_changed(&mut self, index: usize, view: View) {
        self.trace_event(|| {
            let names = |id: &MemberId| id.node.clone();
            let members: Vec<String> = view
                .members
                .iter()
                .map(|member| names(&member.id))
                .collect();
            let chain: Vec<String> = view.chain.iter().map(names).collect();
            format!(
                "m{index} view {} members {members:?} chain {chain:?}",
                view.number
            )
        });
        let number = view.number;
        let known = self
            .views
            .entry(number)
            .or_insert_with(|| view.clone())
            .clone();
        if known != view {
            self.breaks(format!(
                "two views {number}: {known:?} and at m{index} {view:?}"
            ));
        }
    }

    // --- the caller's requests ---

    fn found(&mut self) {
        let members: Vec<Peer> = (0..self.setup.machines)
            .map(|index| self.peer(index))
            .collect();
        let chain = members.iter().map(|member| member.id.clone()).collect();
        if self
            .machines
            .iter()
            .all(|machine| machine.durable.decided.is_none())
        {
            self.schedule(self.now + FOUND_AGAIN, Event::Bootstrap);
        }
        self.input(
            0,
            Input::Bootstrap {
                view: View {
                    number: 1,
                    members,
                    chain,
                },
            },
        );
    }

    fn write(&mut self) {
        let next = self.now + 1 + self.rng.u64(0..2 * self.setup.write_every);
        self.schedule(next, Event::Write);
        let running = self.running();
        if !running.is_empty() {
            let index = running[self.rng.usize(..running.len())];
            self.submit(index);
        }
    }

    pub fn submit(&mut self, index: usize) {
        let payload = self.next_payload;
        let ticket = self.next_ticket;
        self.next_payload += 1;
        self.next_ticket += 1;
        if self.now >= self.fresh_since {
            self.fresh.insert(payload);
        }
        self.process(index).submitted.insert(ticket, payload);
        let mut bytes = payload.to_le_bytes().to_vec();
        bytes.resize(8 + self.setup.padding, 0);
        self.input(
            index,
            Input::Submit {
                ticket,
                payload: bytes,
            },
        );
    }

    fn read(&mut self) {
        let next = self.now + 1 + self.rng.u64(0..2 * self.setup.read_every);
        self.schedule(next, Event::Read);
        let running = self.running();
        if running.is_empty() {
            return;
        }
        let index = running[self.rng.usize(..running.len())];
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        let must_see = self.sequence.len() as u64;
        self.process(index).reads.insert(ticket, must_see);
        self.input(index, Input::Read { ticket });
    }

    fn read_ready(&mut self, index: usize, ticket: u64) {
        let process = self.process(index);
        let applied = process.applied;
        let Some(must_see) = process.reads.remove(&ticket) else {
            return self.breaks(format!(
                "m{index} answers a read {ticket} that nobody waits for"
            ));
        };
        self.reads_done += 1;
        if applied < must_see {
            self.breaks(format!(
                "m{index} reads at {applied}, but {must_see} was committed before the read"
            ));
        }
    }

    fn dropped(&mut self, index: usize, ticket: u64) {
        let process = self.process(index);
        let known =
            process.submitted.remove(&ticket).is_some() | process.reads.remove(&ticket).is_some();
        if !known {
            self.breaks(format!("m{index} drops {ticket}, which it doesn't hold"));
        }
    }

    // --- checks ---

    /// Payloads from now on are watched for their commit.
    pub fn watch_fresh(&mut self) {
        self.fresh.clear();
        self.fresh_since = self.now;
        self.fresh_committed_at = None;
    }

    pub fn committed_count(&self) -> usize {
        self.sequence.len()
    }

    /// The longest time without a commit since then, and until now.
    pub fn longest_commit_gap(&self, since: Millis) -> Millis {
        let times = self
            .commit_times
            .iter()
            .copied()
            .filter(|at| *at > since)
            .chain([self.now]);
        let mut last = since;
        let pause = |at: Millis| at - std::mem::replace(&mut last, at);
        times.map(pause).max().unwrap_or_default()
    }

    pub fn is_in_chain(&self, index: usize) -> bool {
        self.newest_view()
            .is_some_and(|view| view.chain.contains(&self.id(index)))
    }

    pub fn newest_view(&self) -> Option<&View> {
        self.views.values().next_back()
    }

    /// Whether the member takes itself to be current.
    pub fn is_current(&self, index: usize) -> bool {
        let process = self.machines[index].process.as_ref();
        process.is_some_and(|process| {
            process
                .member
                .has_quorum(self.now - process.clock_zero + FIRST_MOMENT)
        })
    }

    pub fn member(&self, index: usize) -> Option<&Member> {
        self.machines[index]
            .process
            .as_ref()
            .map(|process| &process.member)
    }

    /// All running machines are in the chain of one view, know it, and have given out all commits but the newest.
    pub fn check_complete(&self, max_behind: u64) -> Verdict {
        let newest = self.newest_view().ok_or("no view")?;
        for index in self.running() {
            let member = self.member(index).ok_or("not running")?;
            let view = member
                .view()
                .ok_or_else(|| format!("m{index} knows no view"))?;
            let applied = self.machines[index]
                .process
                .as_ref()
                .map_or(0, |process| process.applied);
            if view != newest {
                return Err(self.describe(format!(
                    "m{index} is in view {}, not {}",
                    view.number, newest.number
                )));
            }
            if !view.chain.contains(&self.id(index)) {
                return Err(self.describe(format!(
                    "m{index} is not in the chain of view {}",
                    view.number
                )));
            }
            if !self.is_current(index) {
                return Err(self.describe(format!("m{index} is not current")));
            }
            if applied + max_behind < self.sequence.len() as u64 {
                return Err(self.describe(format!(
                    "m{index} has {applied} of {} commits",
                    self.sequence.len()
                )));
            }
        }
        Ok(())
    }

    pub fn describe(&self, text: String) -> String {
        format!("seed {} at {} ms: {text}", self.setup.seed, self.now)
    }
}
