//! Programs that take turns through gateways, and the check of what they are told.

use std::collections::{BTreeMap, VecDeque};

use bytes::Bytes;
use dunespur_turn_replication::message::{StoreReply, StoreRequest};
use dunespur_turn_replication::read::{Outcome, Reading};
use dunespur_turn_replication::turn::Turn;
use dunespur_turn_replication::write::{Verdict, Writing};

use super::machine::{wall, Machine};
use super::{Asker, Event, World, CATCH_UP_MS, RETENTION_MS};

/// A store that started or came back so long ago is known to all, those far behind the core included.
const SETTLED_MS: u64 = CATCH_UP_MS;

/// One program: the line of its turns.
#[derive(Debug)]
pub struct Program {
    name: String,
    /// The newest turn that was answered whole.
    last: Option<String>,
    turns_left: u32,
}

/// Something under way at a gateway.
pub enum Operation {
    Read {
        reading: Reading,
        id: String,
        for_program: Option<usize>,
        gateway: usize,
        began_at_ms: u64,
    },
    Write {
        writing: Writing,
        turn: Turn,
        for_program: usize,
        began_at_ms: u64,
    },
}

/// All turns that were ever written, and when they were answered whole.
#[derive(Debug, Default)]
pub struct Truth {
    pub turns: BTreeMap<String, Turn>,
    pub answered_at_ms: BTreeMap<String, u64>,
    /// Those answered whole, the oldest first, as far as they may be owed.
    recent: VecDeque<String>,
    last_id: u64,
}

impl Truth {
    /// The turn was answered whole less than its retention ago.
    pub(super) fn is_owed(&self, id: &str, now_ms: u64) -> bool {
        self.answered_at_ms
            .get(id)
            .is_some_and(|at_ms| now_ms < at_ms + RETENTION_MS)
    }

    fn answered(&mut self, id: &str, now_ms: u64) {
        self.answered_at_ms.insert(id.to_owned(), now_ms);
        self.recent.push_back(id.to_owned());
    }

    /// All turns that are owed.
    pub(super) fn owed(&mut self, now_ms: u64) -> &VecDeque<String> {
        while self
            .recent
            .front()
            .is_some_and(|id| !self.is_owed(id, now_ms))
        {
            self.recent.pop_front();
        }
        &self.recent
    }

    /// The chain that ends in `id`, oldest first.
    pub(super) fn chain(&self, id: &str) -> Vec<&Turn> {
        let mut chain = Vec::new();
        let mut next = Some(id);
        while let Some(id) = next {
            let turn = &self.turns[id];
            chain.push(turn);
            next = turn.previous.as_deref();
        }
        chain.reverse();
        chain
    }
}

impl World {
    pub(super) fn set_up_programs(&mut self) {
        for program in 0..self.plan.programs {
            let name = format!("program-{program}-0");
            self.programs.push(Program {
                name,
                last: None,
                turns_left: 4,
            });
            let at_ms = 4_000 + self.rng.u64(0..1_000);
            self.at(at_ms, Event::ProgramStep { program });
        }
        self.at(5_000, Event::Probe);
    }

    /// The program takes its next turn; one that is over is followed by another.
    pub(super) fn program_step(&mut self, program: usize) {
        if self.programs[program].turns_left == 0 {
            self.begin_program(program);
        }
        match self.programs[program].last.clone() {
            Some(previous) => self.read(previous, Some(program)),
            None => self.write(program, 0),
        }
    }

    /// A new program, at times one that goes on from a turn of an earlier one.
    fn begin_program(&mut self, program: usize) {
        let drawn = self.rng.u64(..);
        let owed = self.truth.owed(self.now_ms);
        let goes_on = !owed.is_empty() && self.rng.u8(0..4) == 0;
        let last = goes_on.then(|| owed[self.rng.usize(0..owed.len())].clone());
        let turns_left = self.rng.u32(1..8);
        self.programs[program] = Program {
            name: format!("program-{program}-{drawn:x}"),
            last,
            turns_left,
        };
    }

    /// Asks for some owed turn, and at times for one that never was.
    pub(super) fn probe(&mut self) {
        self.after(120, Event::Probe);
        let owed = self.truth.owed(self.now_ms);
        if owed.is_empty() || self.rng.u8(0..8) == 0 {
            let never = format!("never-{:x}", self.rng.u64(..));
            return self.read(never, None);
        }
        let id = owed[self.rng.usize(0..owed.len())].clone();
        self.read(id, None);
    }

    fn read(&mut self, id: String, for_program: Option<usize>) {
        let gateway = self.rng.usize(0..self.gateways.len());
        let name = match for_program {
            Some(program) => self.programs[program].name.clone(),
            None => self
                .truth
                .turns
                .get(&id)
                .map_or("nobody".to_owned(), |turn| turn.program.clone()),
        };
        let copies = self.plan.tolerated + 1;
        let reading = Reading::new(
            &id,
            &name,
            &self.gateways[gateway].list,
            copies,
            self.now_ms,
        );
        let began_at_ms = self.now_ms;
        self.begin(Operation::Read {
            reading,
            id,
            for_program,
            gateway,
            began_at_ms,
        });
    }

    fn write(&mut self, program: usize, gateway: usize) {
        self.truth.last_id += 1;
        let id = format!(
            "{:016x}",
            self.truth.last_id.wrapping_mul(0x9e37_79b9_7f4a_7c15)
        );
        let wall_ms = wall(self.now_ms, self.gateways[gateway].wall_offset_ms);
        let turn = Turn {
            input: Bytes::from(vec![
                self.rng.u8(..);
                self.rng.usize(0..self.plan.most_input_bytes)
            ]),
            output: Bytes::from(format!("answer to {id}\n")),
            id,
            previous: self.programs[program].last.clone(),
            program: self.programs[program].name.clone(),
            ended_at_ms: wall_ms,
            retention_ms: RETENTION_MS,
        };
        self.truth.turns.insert(turn.id.clone(), turn.clone());
        let copies = self.plan.tolerated + 1;
        let writing = Writing::new(
            &turn.header(),
            &self.gateways[gateway].list,
            copies,
            self.now_ms,
        );
        self.begin(Operation::Write {
            writing,
            turn,
            for_program: program,
            began_at_ms: self.now_ms,
        });
    }

    fn begin(&mut self, operation: Operation) {
        self.last_operation += 1;
        self.operations.insert(self.last_operation, operation);
        self.go_on(self.last_operation);
    }

    /// Sends what an operation wants sent, ends it or waits on.
    fn go_on(&mut self, number: u64) {
        let Some(mut operation) = self.operations.remove(&number) else {
            return;
        };
        let mut sends = Vec::new();
        let due_ms = match &mut operation {
            Operation::Read { reading, .. } => {
                while let Some(ask) = reading.poll() {
                    sends.push((
                        ask.store,
                        ask.id.clone(),
                        StoreRequest::Chain { id: ask.id },
                    ));
                }
                reading.next_due()
            }
            Operation::Write { writing, turn, .. } => {
                while let Some(put) = writing.poll() {
                    let request = StoreRequest::Put {
                        turn: turn.clone(),
                        hint: put.hint,
                    };
                    sends.push((put.store, turn.id.clone(), request));
                }
                writing.next_due()
            }
        };
        for (store, id, request) in sends {
            let asker = Asker::Gateway {
                operation: number,
                store: store.clone(),
                id,
            };
            self.send(&store, request, asker);
        }
        let ended = match operation {
            Operation::Read {
                mut reading,
                id,
                for_program,
                gateway,
                began_at_ms,
            } => match reading.take_outcome() {
                Some(outcome) => {
                    return self.read_ended(outcome, &id, for_program, gateway, began_at_ms)
                }
                None => Operation::Read {
                    reading,
                    id,
                    for_program,
                    gateway,
                    began_at_ms,
                },
            },
            Operation::Write {
                writing,
                turn,
                for_program,
                began_at_ms,
            } => match writing.verdict() {
                Some(verdict) => return self.write_ended(verdict, &turn, for_program, began_at_ms),
                None => Operation::Write {
                    writing,
                    turn,
                    for_program,
                    began_at_ms,
                },
            },
        };
        self.operations.insert(number, ended);
        if let Some(due_ms) = due_ms {
            // An answer may come in the very moment that something is due; that call is still to come then.
            if due_ms < self.now_ms {
                self.fail("an operation was not called when it was due");
            }
            self.at(due_ms, Event::OperationDue { operation: number });
        }
    }

    pub(super) fn operation_due(&mut self, number: u64) {
        let now_ms = self.now_ms;
        let next_due_ms = match self.operations.get_mut(&number) {
            Some(Operation::Read { reading, .. }) => {
                reading.due(now_ms);
                reading.next_due()
            }
            Some(Operation::Write { writing, .. }) => {
                writing.due(now_ms);
                writing.next_due()
            }
            None => return,
        };
        if next_due_ms.is_some_and(|due_ms| due_ms <= now_ms) {
            self.fail("an operation wants to be called at once again");
        }
        self.go_on(number);
    }

    pub(super) fn operation_answered(
        &mut self,
        number: u64,
        store: &str,
        id: &str,
        reply: Option<StoreReply>,
    ) {
        let now_ms = self.now_ms;
        match self.operations.get_mut(&number) {
            Some(Operation::Read { reading, .. }) => match reply {
                Some(reply) => reading.answered(store, id, reply, now_ms),
                None => reading.failed(store, id, now_ms),
            },
            Some(Operation::Write { writing, .. }) => match reply {
                Some(StoreReply::Kept) => writing.acknowledged(store, now_ms),
                _ => writing.failed(store, now_ms),
            },
            None => return,
        }
        self.go_on(number);
    }

    fn read_ended(
        &mut self,
        outcome: Outcome,
        id: &str,
        for_program: Option<usize>,
        gateway: usize,
        began_at_ms: u64,
    ) {
        self.digest.read(&outcome);
        self.check_read(&outcome, id, began_at_ms);
        let Some(program) = for_program else {
            return;
        };
        match outcome {
            Outcome::Chain(_) => self.write(program, gateway),
            Outcome::Unsure => self.again_later(program),
            Outcome::Unknown | Outcome::TooLong => {
                self.programs[program].turns_left = 0;
                self.again_later(program);
            }
        }
    }

    fn check_read(&mut self, outcome: &Outcome, id: &str, began_at_ms: u64) {
        let owed = self.truth.is_owed(id, began_at_ms);
        match outcome {
            Outcome::Chain(turns) => {
                self.seen.chains += 1;
                if !self.truth.turns.contains_key(id) {
                    self.fail(&format!("a chain came for {id}, which never was"));
                }
                if !turns.iter().eq(self.truth.chain(id)) {
                    self.fail(&format!("the chain of {id} is not what was written"));
                }
            }
            Outcome::Unknown if owed => {
                self.describe(id);
                self.fail(&format!("unknown: {id}, which was answered whole"));
            }
            Outcome::Unknown => self.seen.unknown += 1,
            Outcome::TooLong => self.fail(&format!("the chain of {id} is too long")),
            Outcome::Unsure => {
                self.seen.unsure_reads += 1;
                if owed && self.is_calm(began_at_ms) {
                    self.describe(id);
                    self.fail(&format!(
                        "unsure in a calm time: {id}, which was answered whole"
                    ));
                }
            }
        }
    }

    fn write_ended(&mut self, verdict: Verdict, turn: &Turn, program: usize, began_at_ms: u64) {
        self.digest.written(verdict);
        match verdict {
            Verdict::Kept => {
                self.seen.kept += 1;
                self.truth.answered(&turn.id, self.now_ms);
                let line = &mut self.programs[program];
                line.last = Some(turn.id.clone());
                line.turns_left -= 1;
            }
            Verdict::Unsure => {
                self.seen.unsure_writes += 1;
                self.seen.needless_unsure_writes += u64::from(self.could_be_kept(began_at_ms));
                if self.is_calm(began_at_ms) {
                    self.describe(&turn.id);
                    self.fail(&format!(
                        "in a calm time it is unsure whether {} is kept",
                        turn.id
                    ));
                }
            }
        }
        self.again_later(program);
    }

    fn again_later(&mut self, program: usize) {
        let delay_ms = self.rng.u64(50..600);
        self.after(delay_ms, Event::ProgramStep { program });
    }

    /// As many stores as have to keep a turn were there, and known to be, all the time since `began_at_ms`.
    fn could_be_kept(&self, began_at_ms: u64) -> bool {
        let there = |machine: &&Machine| {
            machine.is_reachable() && machine.well_since_ms + SETTLED_MS <= began_at_ms
        };
        self.machines.iter().filter(there).count() > self.plan.tolerated
    }

    /// No trouble since long enough for every store to have caught up.
    fn is_calm(&self, began_at_ms: u64) -> bool {
        self.calm_since_ms
            .is_some_and(|since_ms| began_at_ms >= since_ms + CATCH_UP_MS)
    }

    /// Prints where a chain lies.
    pub(super) fn describe(&self, id: &str) {
        for turn in self.truth.chain(id) {
            let holders: Vec<String> = self
                .machines
                .iter()
                .filter(|machine| machine.disk.turns.contains_key(&turn.id))
                .map(|machine| format!("{} ({:?})", machine.name, machine.trouble))
                .collect();
            let answered = self.truth.answered_at_ms.get(&turn.id);
            eprintln!(
                "{} of {} answered {answered:?}: {holders:?}",
                turn.id, turn.program
            );
        }
        for entry in self.core.list() {
            eprintln!("{entry:?}");
        }
    }
}
