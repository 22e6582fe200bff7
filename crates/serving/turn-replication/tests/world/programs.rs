//! Programs that write and read turns through gateways, and the checks of the outcomes.

use bytes::Bytes;
use dunespur_turn_replication::message::{StoreReply, StoreRequest};
use dunespur_turn_replication::read_coordinator::{ReadCoordinator, ReadOutcome};
use dunespur_turn_replication::turn::Turn;
use dunespur_turn_replication::write_coordinator::{WriteCoordinator, WriteOutcome};

use super::machine::{wall_ms, Machine};
use super::{Event, Requester, World, CATCH_UP_MS, RETENTION_MS};

/// Time after which every gateway knows that a store has started or returned, in milliseconds, including gateways that
/// lag far behind the core.
const KNOWN_TO_ALL_AFTER_MS: u64 = CATCH_UP_MS;

/// A program that writes one turn after the other.
#[derive(Debug)]
pub struct Program {
    name: String,
    /// Id of the newest acknowledged turn.
    last: Option<String>,
    turns_left: u32,
}

/// The purpose of a read.
#[derive(Clone, Copy, Debug)]
pub enum ReadPurpose {
    /// Only check the outcome.
    Probe,
    /// Check the outcome, then let the program continue the turn.
    NextTurn { program: usize },
}

/// One read of a chain at a gateway.
pub struct Read {
    coordinator: ReadCoordinator,
    id: String,
    purpose: ReadPurpose,
    gateway: usize,
    began_at_ms: u64,
}

/// One write of a turn at a gateway.
pub struct Write {
    coordinator: WriteCoordinator,
    turn: Turn,
    program: usize,
    began_at_ms: u64,
}

/// A read or write in progress at a gateway.
pub enum Operation {
    Read(Read),
    Write(Write),
}

/// A request of an operation to a store.
struct Outgoing {
    store: String,
    /// Id of the turn that is read or written.
    id: String,
    request: StoreRequest,
}

impl Operation {
    fn next_due(&self) -> Option<u64> {
        match self {
            Operation::Read(read) => read.coordinator.next_due(),
            Operation::Write(write) => write.coordinator.next_due(),
        }
    }

    fn tick(&mut self, now_ms: u64) {
        match self {
            Operation::Read(read) => read.coordinator.tick(now_ms),
            Operation::Write(write) => write.coordinator.tick(now_ms),
        }
    }

    fn poll(&mut self) -> Option<Outgoing> {
        match self {
            Operation::Read(read) => {
                let query = read.coordinator.poll()?;
                Some(Outgoing {
                    store: query.store,
                    id: query.id.clone(),
                    request: StoreRequest::Chain { id: query.id },
                })
            }
            Operation::Write(write) => {
                let put = write.coordinator.poll()?;
                Some(Outgoing {
                    store: put.store,
                    id: write.turn.id.clone(),
                    request: StoreRequest::Put {
                        turn: write.turn.clone(),
                        hint: put.hint,
                    },
                })
            }
        }
    }

    fn replied(&mut self, store: &str, id: &str, reply: Option<StoreReply>, now_ms: u64) {
        match (self, reply) {
            (Operation::Read(read), Some(reply)) => {
                read.coordinator.replied(store, id, reply, now_ms);
            }
            (Operation::Read(read), None) => read.coordinator.failed(store, id, now_ms),
            (Operation::Write(write), Some(StoreReply::Stored)) => {
                write.coordinator.acknowledged(store, now_ms);
            }
            (Operation::Write(write), _) => write.coordinator.failed(store, now_ms),
        }
    }
}

impl World {
    pub(super) fn set_up_programs(&mut self) {
        for program in 0..self.plan.programs {
            self.programs.push(Program {
                name: format!("program-{program}-0"),
                last: None,
                turns_left: 4,
            });
            let at_ms = 4_000 + self.rng.u64(0..1_000);
            self.schedule_at(at_ms, Event::ProgramStep { program });
        }
        self.schedule_at(5_000, Event::ProbeRead);
    }

    /// Starts the next turn of a program; a program without turns left is replaced by a new program.
    pub(super) fn program_step(&mut self, program: usize) {
        if self.programs[program].turns_left == 0 {
            self.begin_program(program);
        }
        match self.programs[program].last.clone() {
            Some(previous) => self.read(previous, ReadPurpose::NextTurn { program }),
            None => self.write(program, 0),
        }
    }

    /// Begins a new program, which sometimes continues a turn of an earlier program.
    fn begin_program(&mut self, program: usize) {
        let drawn = self.rng.u64(..);
        let guaranteed = self.history.guaranteed(self.now_ms);
        let continues_earlier = !guaranteed.is_empty() && self.rng.u8(0..4) == 0;
        let last =
            continues_earlier.then(|| guaranteed[self.rng.usize(0..guaranteed.len())].clone());
        self.programs[program] = Program {
            name: format!("program-{program}-{drawn:x}"),
            last,
            turns_left: self.rng.u32(1..8),
        };
    }

    /// Reads a random guaranteed turn, or sometimes a turn that was never written.
    pub(super) fn probe_read(&mut self) {
        self.schedule_after(120, Event::ProbeRead);
        let guaranteed = self.history.guaranteed(self.now_ms);
        if guaranteed.is_empty() || self.rng.u8(0..8) == 0 {
            let never = format!("never-{:x}", self.rng.u64(..));
            return self.read(never, ReadPurpose::Probe);
        }
        let id = guaranteed[self.rng.usize(0..guaranteed.len())].clone();
        self.read(id, ReadPurpose::Probe);
    }

    fn read(&mut self, id: String, purpose: ReadPurpose) {
        let gateway = self.rng.usize(0..self.gateways.len());
        let program_of_turn = |id: &str| {
            let turn = self.history.turns.get(id);
            turn.map_or("nobody".to_owned(), |turn| turn.program.clone())
        };
        let program = match purpose {
            ReadPurpose::NextTurn { program } => self.programs[program].name.clone(),
            ReadPurpose::Probe => program_of_turn(&id),
        };
        let stores = &self.gateways[gateway].stores;
        let replicas = self.plan.tolerated_losses + 1;
        let coordinator = ReadCoordinator::new(&id, &program, stores, replicas, self.now_ms);
        self.begin(Operation::Read(Read {
            coordinator,
            id,
            purpose,
            gateway,
            began_at_ms: self.now_ms,
        }));
    }

    fn write(&mut self, program: usize, gateway: usize) {
        self.history.last_id += 1;
        let number = self.history.last_id.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let id = format!("{number:016x}");
        let ended_at_ms = wall_ms(self.now_ms, self.gateways[gateway].wall_offset_ms);
        let byte = self.rng.u8(..);
        let input = vec![byte; self.rng.usize(0..self.plan.max_input_bytes)];
        let turn = Turn {
            input: Bytes::from(input),
            output: Bytes::from(format!("answer to {id}\n")),
            id,
            previous: self.programs[program].last.clone(),
            program: self.programs[program].name.clone(),
            ended_at_ms,
            retention_ms: RETENTION_MS,
        };
        self.history.turns.insert(turn.id.clone(), turn.clone());
        let stores = &self.gateways[gateway].stores;
        let replicas = self.plan.tolerated_losses + 1;
        let coordinator = WriteCoordinator::new(&turn.header(), stores, replicas, self.now_ms);
        self.begin(Operation::Write(Write {
            coordinator,
            turn,
            program,
            began_at_ms: self.now_ms,
        }));
    }

    fn begin(&mut self, operation: Operation) {
        self.last_operation += 1;
        self.operations.insert(self.last_operation, operation);
        self.advance(self.last_operation);
    }

    /// Sends the pending requests of an operation, then ends the operation or schedules its next tick.
    fn advance(&mut self, operation_id: u64) {
        let Some(mut operation) = self.operations.remove(&operation_id) else {
            return;
        };
        let outgoing: Vec<Outgoing> = std::iter::from_fn(|| operation.poll()).collect();
        let due_ms = operation.next_due();
        for Outgoing { store, id, request } in outgoing {
            let requester = Requester::Gateway {
                operation: operation_id,
                store: store.clone(),
                id,
            };
            self.send(&store, request, requester);
        }
        let Some(operation) = self.end_if_finished(operation) else {
            return;
        };
        self.operations.insert(operation_id, operation);
        if let Some(due_ms) = due_ms {
            // A due time equal to the current time is allowed: the tick for it may still be in the queue.
            if due_ms < self.now_ms {
                self.fail("an operation was not ticked when it was due");
            }
            self.schedule_at(
                due_ms,
                Event::OperationDue {
                    operation: operation_id,
                },
            );
        }
    }

    /// Handles the outcome of a finished operation; returns an unfinished operation.
    fn end_if_finished(&mut self, operation: Operation) -> Option<Operation> {
        match operation {
            Operation::Read(mut read) => match read.coordinator.take_outcome() {
                Some(outcome) => self.read_ended(&outcome, &read),
                None => return Some(Operation::Read(read)),
            },
            Operation::Write(write) => match write.coordinator.outcome() {
                Some(outcome) => self.write_ended(outcome, &write),
                None => return Some(Operation::Write(write)),
            },
        }
        None
    }

    pub(super) fn operation_due(&mut self, operation_id: u64) {
        let now_ms = self.now_ms;
        let Some(operation) = self.operations.get_mut(&operation_id) else {
            return;
        };
        operation.tick(now_ms);
        let next_due_ms = operation.next_due();
        if next_due_ms.is_some_and(|due_ms| due_ms <= now_ms) {
            self.fail("the next tick of an operation is due immediately again");
        }
        self.advance(operation_id);
    }

    pub(super) fn operation_replied(
        &mut self,
        operation_id: u64,
        store: &str,
        id: &str,
        reply: Option<StoreReply>,
    ) {
        let now_ms = self.now_ms;
        let Some(operation) = self.operations.get_mut(&operation_id) else {
            return;
        };
        operation.replied(store, id, reply, now_ms);
        self.advance(operation_id);
    }

    fn read_ended(&mut self, outcome: &ReadOutcome, read: &Read) {
        self.digest.hash_read(outcome);
        self.check_read(outcome, read);
        let ReadPurpose::NextTurn { program } = read.purpose else {
            return;
        };
        match outcome {
            ReadOutcome::Chain(_) => self.write(program, read.gateway),
            ReadOutcome::Uncertain => self.step_later(program),
            ReadOutcome::Unknown | ReadOutcome::TooLong => {
                self.programs[program].turns_left = 0;
                self.step_later(program);
            }
        }
    }

    fn check_read(&mut self, outcome: &ReadOutcome, read: &Read) {
        let id = &read.id;
        let is_guaranteed = self.history.is_guaranteed(id, read.began_at_ms);
        match outcome {
            ReadOutcome::Chain(turns) => {
                self.statistics.chains += 1;
                if !self.history.turns.contains_key(id) {
                    self.fail(&format!(
                        "a chain was read for {id}, which was never written"
                    ));
                }
                if !turns.iter().eq(self.history.chain(id)) {
                    self.fail(&format!("the chain of {id} differs from the written chain"));
                }
            }
            ReadOutcome::Unknown if is_guaranteed => {
                self.describe(id);
                self.fail(&format!("unknown: {id}, which was acknowledged"));
            }
            ReadOutcome::Unknown => self.statistics.unknown_reads += 1,
            ReadOutcome::TooLong => self.fail(&format!("the chain of {id} is too long")),
            ReadOutcome::Uncertain => {
                self.statistics.uncertain_reads += 1;
                if is_guaranteed && self.is_fault_free(read.began_at_ms) {
                    self.describe(id);
                    self.fail(&format!(
                        "uncertain without faults: {id}, which was acknowledged"
                    ));
                }
            }
        }
    }

    fn write_ended(&mut self, outcome: WriteOutcome, write: &Write) {
        self.digest.hash_write(outcome);
        match outcome {
            WriteOutcome::Stored => {
                self.statistics.stored_turns += 1;
                self.history.acknowledged(&write.turn.id, self.now_ms);
                let program = &mut self.programs[write.program];
                program.last = Some(write.turn.id.clone());
                program.turns_left -= 1;
            }
            WriteOutcome::Uncertain => {
                self.statistics.uncertain_writes += 1;
                let was_avoidable = self.could_be_stored(write.began_at_ms);
                self.statistics.avoidable_uncertain_writes += u64::from(was_avoidable);
                if self.is_fault_free(write.began_at_ms) {
                    let id = &write.turn.id;
                    self.describe(id);
                    self.fail(&format!(
                        "uncertain without faults whether the turn {id} is stored"
                    ));
                }
            }
        }
        self.step_later(write.program);
    }

    fn step_later(&mut self, program: usize) {
        let delay_ms = self.rng.u64(50..600);
        self.schedule_after(delay_ms, Event::ProgramStep { program });
    }

    /// Whether at least as many stores as have to hold a turn have been running, and were known to be running, since
    /// `began_at_ms`.
    fn could_be_stored(&self, began_at_ms: u64) -> bool {
        let is_known_to_run = |machine: &&Machine| {
            let known_at_ms = machine.running_since_ms + KNOWN_TO_ALL_AFTER_MS;
            machine.is_reachable() && known_at_ms <= began_at_ms
        };
        self.machines.iter().filter(is_known_to_run).count() > self.plan.tolerated_losses
    }

    /// Whether at `began_at_ms` there had been no fault for so long that every store had caught up.
    fn is_fault_free(&self, began_at_ms: u64) -> bool {
        let fault_free_since_ms = self.fault_free_since_ms;
        fault_free_since_ms.is_some_and(|since_ms| began_at_ms >= since_ms + CATCH_UP_MS)
    }

    /// Prints on which machines the turns of a chain are stored, and the membership.
    pub(super) fn describe(&self, id: &str) {
        for turn in self.history.chain(id) {
            let disks: Vec<String> = self
                .machines
                .iter()
                .filter(|machine| machine.disk.turns.contains_key(&turn.id))
                .map(|machine| format!("{} ({:?})", machine.name, machine.state))
                .collect();
            let acknowledged_at_ms = self.history.acknowledged_at_ms.get(&turn.id);
            let (id, program) = (&turn.id, &turn.program);
            eprintln!("{id} of {program}, acknowledged {acknowledged_at_ms:?}: {disks:?}");
        }
        for entry in self.core.stores() {
            eprintln!("{entry:?}");
        }
    }
}
