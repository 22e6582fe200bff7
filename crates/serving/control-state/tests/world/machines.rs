//! Machines of the core, each with a disk, a member of the chain and the control state to which commits are applied.

use super::answers::PendingCall;
use super::callers::{CallAnswer, CallContent, CallId};
use super::{Event, Simulation};
use dunespur_chain_replication::{
    DurableState, Input, Member, MemberConfig, MemberId, Millis, Output, Peer, View, Write,
};
use dunespur_control_state::{ControlState, Operation};
use std::collections::{HashMap, VecDeque};
use std::hash::{DefaultHasher, Hasher};
use std::net::SocketAddr;

/// The reading of a process's clock when it starts.
const FIRST_MOMENT: Millis = 1;

/// An input that arrives at a process.
#[derive(Clone, Debug)]
pub enum Arrival {
    Chain(Input),
    Call { call: CallId, content: CallContent },
    Deadline { call: CallId },
}

/// A batch of writes that the disk has not finished.
pub struct PendingBatch {
    batch: u64,
    writes: Vec<Write>,
}

pub struct Process {
    pub member: Member,
    /// The simulated time at which the process started; its clock counts from there, as monotonic clocks may.
    clock_zero: Millis,
    tick_at: Millis,
    applied: u64,
    pub state: ControlState,
    /// Calls by the ticket whose outcome they await.
    pub tickets: HashMap<u64, CallId>,
    pub pending: HashMap<CallId, PendingCall>,
}

pub struct Machine {
    node: String,
    address: SocketAddr,
    disk: u64,
    pub saved: DurableState,
    pending_batch: Option<PendingBatch>,
    pub frozen: bool,
    /// Inputs that arrived while the process was frozen.
    backlog: VecDeque<Arrival>,
    /// The number of the process's run, so that events of an earlier run are ignored.
    pub run: u64,
    pub process: Option<Process>,
    /// Whether the machine has power. Connections to a machine without power hang; those to a machine without a process
    /// are rejected.
    pub powered: bool,
    may_bootstrap: bool,
}

impl Simulation {
    pub fn add_machine(&mut self) -> usize {
        let index = self.machines.len();
        self.machines.push(Machine {
            node: format!("m{index}"),
            address: SocketAddr::from(([10, 0, 0, index as u8], 7380)),
            disk: self.rng.u64(1..),
            saved: DurableState::default(),
            pending_batch: None,
            frozen: false,
            backlog: VecDeque::new(),
            run: 1,
            process: None,
            powered: true,
            may_bootstrap: true,
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
            may_bootstrap: machine.may_bootstrap,
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
        let first_start = machine.may_bootstrap && run == 1;
        self.log(|| format!("m{index} starts"));
        let input = if first_start {
            Input::Tick
        } else {
            Input::Join { contacts }
        };
        self.arrive(index, Arrival::Chain(input));
    }

    /// Ends the process. The machine keeps its disk, which may or may not include an unfinished batch.
    pub fn end_process(&mut self, index: usize, with_power: bool) {
        let keeps_batch = self.rng.bool();
        let machine = &mut self.machines[index];
        machine.run += 1;
        machine.process = None;
        machine.backlog.clear();
        machine.frozen = false;
        machine.powered = with_power;
        if let Some(pending_batch) = machine.pending_batch.take().filter(|_| keeps_batch) {
            pending_batch
                .writes
                .iter()
                .for_each(|write| machine.saved.apply(write));
        }
        for other in 0..self.machines.len() {
            self.reset_connection(index, other, with_power);
        }
    }

    /// Replaces the machine's disk by an empty one.
    pub fn wipe(&mut self, index: usize) {
        let disk = self.rng.u64(1..);
        let machine = &mut self.machines[index];
        machine.saved = DurableState::default();
        machine.may_bootstrap = false;
        machine.disk = disk;
    }

    pub fn freeze(&mut self, index: usize) {
        self.machines[index].frozen = true;
    }

    /// Resumes the process, which first handles the inputs that arrived while it was frozen.
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
                .pending_batch
                .as_ref()
                .is_none_or(|pending_batch| pending_batch.batch != batch)
        {
            return;
        }
        let pending_batch = machine.pending_batch.take().expect("a batch is pending");
        pending_batch
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
            Arrival::Call { call, content } => self.handle_call(index, call, content),
            Arrival::Deadline { call } => self.answer(index, call, CallAnswer::Indefinite),
        }
    }

    pub fn process(&mut self, index: usize) -> &mut Process {
        self.machines[index]
            .process
            .as_mut()
            .expect("the machine has a running process")
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
        let tick_at = next.max(now + 1);
        if tick_at < process.tick_at {
            process.tick_at = tick_at;
            let run = self.machines[index].run;
            self.schedule(
                tick_at,
                Event::Tick {
                    machine: index,
                    run,
                    at: tick_at,
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
                self.machines[index].pending_batch = Some(PendingBatch { batch, writes });
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
                    self.answer(index, call, CallAnswer::Indefinite);
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
            .expect("the snapshot is restorable")
            .with_safeguards(safeguards);
        self.snapshots_installed += 1;
        self.digest
            .hash_event(22, [self.now, index as u64, at], &bytes);
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
        let first = self.check_commit(index, at, digest.finish());
        let operation: Operation =
            postcard::from_bytes(payload).expect("the payload is an operation");
        let process = self.process(index);
        process.applied = at;
        let starting_retirement = starting_retirement(&process.state, &operation);
        let mut changes = Vec::new();
        let outcome = process.state.apply(&operation, &mut changes);
        let starting_retirement =
            starting_retirement.filter(|node| first && process.state.retirement(node).is_some());
        let call = ticket.and_then(|ticket| process.tickets.remove(&ticket));
        self.digest.hash_event(
            21,
            [self.now, index as u64, at],
            &(payload, &outcome, &changes),
        );
        if let Some(node) = starting_retirement {
            self.check_retirement_begun(&node);
        }
        let Some(call) = call else { return };
        self.answer_outcome(index, call, outcome);
    }
}

/// The store whose retirement an operation may start.
fn starting_retirement(state: &ControlState, operation: &Operation) -> Option<String> {
    match operation {
        Operation::RetireStart { node, .. } if state.retirement(node).is_none() => {
            Some(node.clone())
        }
        _ => None,
    }
}
