//! Machines of the core: a disk, a member of the chain, and the control state that it applies commits to.

use super::answers::PendingCall;
use super::callers::{Answer, CallId, Question};
use super::{Event, World};
use dunespur_chain_replication::{
    DurableState, Input, Member, MemberConfig, MemberId, Millis, Output, Peer, View, Write,
};
use dunespur_control_state::{ControlState, Operation};
use std::collections::{HashMap, VecDeque};
use std::hash::{DefaultHasher, Hasher};
use std::net::SocketAddr;

/// The reading of a process's clock at its start.
const FIRST_MOMENT: Millis = 1;

/// What reaches a process.
#[derive(Clone, Debug)]
pub enum Arrival {
    Chain(Input),
    Call { call: CallId, question: Question },
    Deadline { call: CallId },
}

/// A batch that the disk hasn't finished.
pub struct Flight {
    batch: u64,
    writes: Vec<Write>,
}

pub struct Process {
    pub member: Member,
    /// The process's clock starts at this time, as steady clocks may.
    clock_zero: Millis,
    tick_at: Millis,
    applied: u64,
    pub state: ControlState,
    /// Calls by the ticket that they wait for.
    pub tickets: HashMap<u64, CallId>,
    pub pending: HashMap<CallId, PendingCall>,
}

pub struct Machine {
    node: String,
    address: SocketAddr,
    disk: u64,
    pub saved: DurableState,
    flight: Option<Flight>,
    pub frozen: bool,
    /// What came while it was frozen.
    backlog: VecDeque<Arrival>,
    /// Counts starts, so that events of an earlier run are ignored.
    pub run: u64,
    pub process: Option<Process>,
    /// Without power, connections to it hang; without a process, they are rejected.
    pub powered: bool,
    may_found: bool,
}

impl World {
    pub fn add_machine(&mut self) -> usize {
        let index = self.machines.len();
        self.machines.push(Machine {
            node: format!("m{index}"),
            address: SocketAddr::from(([10, 0, 0, index as u8], 7380)),
            disk: self.rng.u64(1..),
            saved: DurableState::default(),
            flight: None,
            frozen: false,
            backlog: VecDeque::new(),
            run: 1,
            process: None,
            powered: true,
            may_found: true,
        });
        index
    }

    pub fn id(&self, machine: usize) -> MemberId {
        MemberId {
            node: self.machines[machine].node.clone(),
            disk: self.machines[machine].disk,
        }
    }

    pub fn first_view(&self) -> View {
        let peer = |index| Peer {
            id: self.id(index),
            address: self.machines[index].address,
        };
        let members: Vec<Peer> = (0..self.setup.machines).map(peer).collect();
        let chain = members.iter().map(|member| member.id.clone()).collect();
        View {
            number: 1,
            members,
            chain,
        }
    }

    pub fn start_at(&mut self, machine: usize, at: Millis) {
        self.machines[machine].run += 1;
        let run = self.machines[machine].run;
        self.schedule(at, Event::Start { machine, run });
    }

    pub fn start(&mut self, index: usize, run: u64) {
        let clock_zero = self.now;
        let seed = self.rng.u64(..);
        let contacts: Vec<SocketAddr> = self
            .machines
            .iter()
            .map(|machine| machine.address)
            .collect();
        let id = self.id(index);
        let safeguards = self.setup.safeguards;
        let machine = &mut self.machines[index];
        if machine.run != run {
            return;
        }
        machine.powered = true;
        machine.frozen = false;
        let config = MemberConfig {
            peer: Peer {
                id,
                address: machine.address,
            },
            may_bootstrap: machine.may_found,
            seed,
        };
        let durable = machine.saved.clone();
        let member = Member::with_safeguards(config, durable, FIRST_MOMENT, safeguards.chain);
        machine.process = Some(Process {
            member,
            clock_zero,
            tick_at: Millis::MAX,
            applied: 0,
            state: ControlState::default().with_safeguards(safeguards.control),
            tickets: HashMap::new(),
            pending: HashMap::new(),
        });
        let first_start = machine.may_found && run == 1;
        self.log(|| format!("m{index} starts"));
        let input = if first_start {
            Input::Tick
        } else {
            Input::Join { contacts }
        };
        self.arrive(index, Arrival::Chain(input));
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
                .for_each(|write| machine.saved.apply(write));
        }
        for other in 0..self.machines.len() {
            self.reset_connection(index, other, with_power);
        }
    }

    pub fn wipe(&mut self, index: usize) {
        let disk = self.rng.u64(1..);
        let machine = &mut self.machines[index];
        machine.saved = DurableState::default();
        machine.may_found = false;
        machine.disk = disk;
    }

    pub fn freeze(&mut self, index: usize) {
        self.machines[index].frozen = true;
    }

    /// The process resumes, and handles what has filled its sockets before anything new.
    pub fn thaw(&mut self, index: usize) {
        if !std::mem::take(&mut self.machines[index].frozen) {
            return;
        }
        for arrival in std::mem::take(&mut self.machines[index].backlog) {
            self.arrive(index, arrival);
        }
        self.arrive(index, Arrival::Chain(Input::Tick));
    }

    pub fn disk_done(&mut self, index: usize, run: u64, batch: u64) {
        let machine = &mut self.machines[index];
        if machine.run != run
            || machine
                .flight
                .as_ref()
                .is_none_or(|flight| flight.batch != batch)
        {
            return;
        }
        let flight = machine.flight.take().expect("just seen");
        flight
            .writes
            .iter()
            .for_each(|write| machine.saved.apply(write));
        self.arrive(index, Arrival::Chain(Input::Persisted { batch }));
    }

    pub fn tick(&mut self, index: usize, run: u64, at: Millis) {
        let machine = &mut self.machines[index];
        if machine.run != run {
            return;
        }
        let Some(process) = machine
            .process
            .as_mut()
            .filter(|process| process.tick_at == at)
        else {
            return;
        };
        process.tick_at = Millis::MAX;
        if !machine.frozen {
            self.arrive(index, Arrival::Chain(Input::Tick));
        }
    }

    pub fn arrive(&mut self, index: usize, arrival: Arrival) {
        if self.machines[index].frozen {
            self.machines[index].backlog.push_back(arrival);
            return;
        }
        if self.machines[index].process.is_none() {
            return;
        }
        match arrival {
            Arrival::Chain(input) => self.step(index, input),
            Arrival::Call { call, question } => self.called(index, call, question),
            Arrival::Deadline { call } => self.answer(index, call, Answer::Indefinite),
        }
    }

    pub fn process(&mut self, index: usize) -> &mut Process {
        self.machines[index]
            .process
            .as_mut()
            .expect("a running process")
    }

    pub fn clock(&mut self, index: usize) -> Millis {
        self.now - self.process(index).clock_zero + FIRST_MOMENT
    }

    pub fn step(&mut self, index: usize, input: Input) {
        let (now, clock) = (self.now, self.clock(index));
        let process = self.process(index);
        let mut out = Vec::new();
        process.member.step(input, clock, &mut out);
        let next = process
            .member
            .next_tick()
            .saturating_sub(FIRST_MOMENT)
            .saturating_add(process.clock_zero);
        let due = next.max(now + 1);
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
            Output::Persist { batch, writes } => {
                let sync = self.rng.u64(1..self.setup.max_sync_ms);
                let run = self.machines[index].run;
                self.machines[index].flight = Some(Flight { batch, writes });
                self.schedule(
                    self.now + sync,
                    Event::DiskDone {
                        machine: index,
                        run,
                        batch,
                    },
                );
            }
            Output::Apply {
                index: at,
                payload,
                ticket,
            } => self.commit(index, at, &payload, ticket),
            Output::ReadReady { ticket } => self.read_ready(index, ticket),
            Output::Dropped { ticket } => {
                if let Some(call) = self.process(index).tickets.remove(&ticket) {
                    self.answer(index, call, Answer::Indefinite);
                }
            }
            Output::TakeSnapshot => self.take_snapshot(index),
            Output::InstallSnapshot { index: at, bytes } => {
                self.install_snapshot(index, at, &bytes);
            }
            Output::ViewChanged { view, has_quorum } => {
                self.log(|| {
                    let chain: Vec<&str> = view.chain.iter().map(|id| id.node.as_str()).collect();
                    format!(
                        "m{index} is in view {} of {chain:?}, quorum {has_quorum}",
                        view.number
                    )
                });
            }
        }
    }

    fn take_snapshot(&mut self, index: usize) {
        let process = self.process(index);
        let input = Input::SnapshotTaken {
            index: process.applied,
            bytes: process.state.snapshot(),
        };
        let at = self.now + self.rng.u64(0..5);
        let run = self.machines[index].run;
        self.schedule(
            at,
            Event::Arrive {
                machine: index,
                run,
                arrival: Arrival::Chain(input),
            },
        );
    }

    fn install_snapshot(&mut self, index: usize, at: u64, bytes: &[u8]) {
        let safeguards = self.setup.safeguards.control;
        let state = ControlState::restore(bytes)
            .expect("a snapshot")
            .with_safeguards(safeguards);
        self.snapshots_installed += 1;
        self.digest.event(22, [self.now, index as u64, at], &bytes);
        let process = self.process(index);
        process.applied = at;
        process.state = state;
    }

    fn machine_at(&self, address: SocketAddr) -> Option<usize> {
        self.machines
            .iter()
            .position(|machine| machine.address == address)
    }

    fn commit(&mut self, index: usize, at: u64, payload: &[u8], ticket: Option<u64>) {
        let mut digest = DefaultHasher::new();
        digest.write(payload);
        let first = self.committed_at(index, at, digest.finish());
        let operation: Operation = postcard::from_bytes(payload).expect("an operation");
        let process = self.process(index);
        process.applied = at;
        let begins = retired_before(&process.state, &operation);
        let mut changes = Vec::new();
        let outcome = process.state.apply(&operation, &mut changes);
        let begins = begins.filter(|node| first && process.state.retirement(node).is_some());
        let call = ticket.and_then(|ticket| process.tickets.remove(&ticket));
        self.digest.event(
            21,
            [self.now, index as u64, at],
            &(payload, &outcome, &changes),
        );
        if let Some(node) = begins {
            self.retirement_begins(&node);
        }
        let Some(call) = call else { return };
        self.decided(index, call, outcome);
    }
}

/// The store that an operation may begin to empty.
fn retired_before(state: &ControlState, operation: &Operation) -> Option<String> {
    match operation {
        Operation::RetireStart { node, .. } if state.retirement(node).is_none() => {
            Some(node.clone())
        }
        _ => None,
    }
}
