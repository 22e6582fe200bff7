//! A digest of a played world: what is sent, when, and what it comes to. It is taken over encoded messages and
//! numbers, so that it does not change with the names in the code.

use std::fmt;

use dunespur_turn_replication::node::{Declaration, DiskWork};
use dunespur_turn_replication::read::Outcome;
use dunespur_turn_replication::write::Verdict;
use serde::Serialize;
use xxhash_rust::xxh3::Xxh3;

use super::{Asker, Event, FaultKind, Seen};

/// Takes in what happens.
#[derive(Default)]
pub struct Digest {
    hash: Xxh3,
}

impl fmt::Debug for Digest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_tuple("Digest")
            .field(&self.finish())
            .finish()
    }
}

impl Digest {
    pub fn finish(&self) -> u64 {
        self.hash.digest()
    }

    fn number(&mut self, number: u64) {
        self.hash.update(&number.to_le_bytes());
    }

    fn numbers(&mut self, numbers: &[u64]) {
        numbers.iter().for_each(|number| self.number(*number));
    }

    fn encoded(&mut self, value: &impl Serialize) {
        let bytes = postcard::to_stdvec(value).expect("messages can be encoded");
        self.number(bytes.len() as u64);
        self.hash.update(&bytes);
    }

    /// An event is about to be handled.
    pub fn event(&mut self, now_ms: u64, event: &Event) {
        self.number(now_ms);
        match event {
            Event::Request { to, request, asker } => {
                self.numbers(&[0, *to as u64]);
                self.encoded(request);
                self.asker(asker);
            }
            Event::Answer { asker, reply } => {
                self.number(1);
                self.asker(asker);
                self.encoded(reply);
            }
            Event::DiskDone {
                machine, life, job, ..
            } => self.numbers(&[2, *machine as u64, *life, *job]),
            Event::Tick { machine, life } => self.numbers(&[3, *machine as u64, *life]),
            Event::Heartbeats => self.number(4),
            Event::ListToMachine {
                machine,
                life,
                version,
                list,
            } => {
                self.numbers(&[5, *machine as u64, *life, *version]);
                self.encoded(list);
            }
            Event::ListToGateway {
                gateway,
                version,
                list,
            } => {
                self.numbers(&[6, *gateway as u64, *version]);
                self.encoded(list);
            }
            Event::OperationDue { operation } => self.numbers(&[7, *operation]),
            Event::ProgramStep { program } => self.numbers(&[8, *program as u64]),
            Event::Probe => self.number(9),
            Event::NextFault { slot } => self.numbers(&[10, *slot as u64]),
            Event::Start { machine } => self.numbers(&[11, *machine as u64]),
            Event::Thaw { machine } => self.numbers(&[12, *machine as u64]),
            Event::Join { machine } => self.numbers(&[13, *machine as u64]),
            Event::CaughtUp { slot } => self.numbers(&[14, *slot as u64]),
            Event::FinalFault => self.number(15),
            Event::CheckCopies => self.number(16),
            Event::EmptiedHeard { machine, operation } => {
                self.numbers(&[17, *machine as u64]);
                self.encoded(operation);
            }
            Event::LookForSpares => self.number(18),
        }
    }

    fn asker(&mut self, asker: &Asker) {
        match asker {
            Asker::Machine { machine, life, ask } => {
                self.numbers(&[0, *machine as u64, *life, *ask])
            }
            Asker::Gateway {
                operation,
                store,
                id,
            } => {
                self.numbers(&[1, *operation]);
                self.encoded(store);
                self.encoded(id);
            }
        }
    }

    /// A store hands work to its disk.
    pub fn disk_work(&mut self, work: &DiskWork) {
        match work {
            DiskWork::Put(turns) => {
                self.number(0);
                self.encoded(turns);
            }
            DiskWork::Get(ids) => {
                self.number(1);
                self.encoded(ids);
            }
            DiskWork::Remove(ids) => {
                self.number(2);
                self.encoded(ids);
            }
            DiskWork::MarkWhole => self.number(3),
        }
    }

    /// A store declares something to the core.
    pub fn declaration(&mut self, declaration: Declaration) {
        match declaration {
            Declaration::Whole => self.number(0),
            Declaration::Emptied { round } => self.numbers(&[1, round]),
        }
    }

    /// A gateway has looked a chain up.
    pub fn read(&mut self, outcome: &Outcome) {
        match outcome {
            Outcome::Chain(turns) => {
                self.number(0);
                self.encoded(turns);
            }
            Outcome::Unknown => self.number(1),
            Outcome::Unsure => self.number(2),
            Outcome::TooLong => self.number(3),
        }
    }

    /// A gateway has written a turn.
    pub fn written(&mut self, verdict: Verdict) {
        self.number(match verdict {
            Verdict::Kept => 0,
            Verdict::Unsure => 1,
        });
    }

    /// The counts at the end.
    pub fn counts(&mut self, seen: &Seen) {
        self.numbers(&[
            seen.kept,
            seen.unsure_writes,
            seen.needless_unsure_writes,
            seen.chains,
        ]);
        self.numbers(&[
            seen.unsure_reads,
            seen.unknown,
            seen.faults,
            seen.retired,
            seen.too_few,
        ]);
        self.numbers(&[seen.slowest_whole_ms, seen.slowest_retire_ms]);
        self.numbers(&[seen.largest_message, seen.most_held as u64]);
        for window in &seen.windows {
            self.numbers(&[fault(window.after), window.lasted_ms]);
        }
    }
}

fn fault(kind: FaultKind) -> u64 {
    match kind {
        FaultKind::Kill => 0,
        FaultKind::Wipe => 1,
        FaultKind::Freeze => 2,
        FaultKind::CutOff => 3,
        FaultKind::CutFromStores => 4,
        FaultKind::KillAll => 5,
        FaultKind::Replace => 6,
        FaultKind::Add => 7,
        FaultKind::Retire => 8,
    }
}
