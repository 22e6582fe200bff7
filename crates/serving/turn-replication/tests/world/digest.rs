//! A digest of a simulation: the messages, their times and the outcomes. It is taken over encoded messages and numbers,
//! so that renaming things in the code does not change it.

use std::fmt;

use dunespur_turn_replication::ids::{JobId, PeerRequestId};
use dunespur_turn_replication::node::{Declaration, DiskWork};
use dunespur_turn_replication::read_coordinator::ReadOutcome;
use dunespur_turn_replication::write_coordinator::WriteOutcome;
use serde::Serialize;
use xxhash_rust::xxh3::Xxh3;

use super::{Event, FaultKind, Requester, Statistics};

/// A hash of all events and outcomes so far.
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

    /// Adds an event that is about to be handled.
    pub fn event(&mut self, now_ms: u64, event: &Event) {
        self.number(now_ms);
        match event {
            Event::Request {
                to,
                request,
                requester,
            } => {
                self.numbers(&[0, *to as u64]);
                self.encoded(request);
                self.requester(requester);
            }
            Event::Reply { requester, reply } => {
                self.number(1);
                self.requester(requester);
                self.encoded(reply);
            }
            Event::MembershipToMachine {
                machine,
                incarnation,
                version,
                stores,
            } => {
                self.numbers(&[5, *machine as u64, *incarnation, *version]);
                self.encoded(stores);
            }
            Event::MembershipToGateway {
                gateway,
                version,
                stores,
            } => {
                self.numbers(&[6, *gateway as u64, *version]);
                self.encoded(stores);
            }
            Event::DrainedReceived { machine, operation } => {
                self.numbers(&[17, *machine as u64]);
                self.encoded(operation);
            }
            other => self.event_without_message(other),
        }
    }

    fn event_without_message(&mut self, event: &Event) {
        match event {
            Event::DiskDone {
                machine,
                incarnation,
                job: JobId(job),
            } => self.numbers(&[2, *machine as u64, *incarnation, *job]),
            Event::Tick {
                machine,
                incarnation,
            } => self.numbers(&[3, *machine as u64, *incarnation]),
            Event::Heartbeats => self.number(4),
            Event::OperationDue { operation } => self.numbers(&[7, *operation]),
            Event::ProgramStep { program } => self.numbers(&[8, *program as u64]),
            Event::ProbeRead => self.number(9),
            Event::NextFault { slot } => self.numbers(&[10, *slot as u64]),
            Event::Start { machine } => self.numbers(&[11, *machine as u64]),
            Event::Resume { machine } => self.numbers(&[12, *machine as u64]),
            Event::Join { machine } => self.numbers(&[13, *machine as u64]),
            Event::CatchUpEnd { slot } => self.numbers(&[14, *slot as u64]),
            Event::FinalFault => self.number(15),
            Event::CheckReplicas => self.number(16),
            Event::CountSpares => self.number(18),
            Event::Request { .. }
            | Event::Reply { .. }
            | Event::MembershipToMachine { .. }
            | Event::MembershipToGateway { .. }
            | Event::DrainedReceived { .. } => {
                unreachable!("events with messages are handled by the caller")
            }
        }
    }

    fn requester(&mut self, requester: &Requester) {
        match requester {
            Requester::Machine {
                machine,
                incarnation,
                request: PeerRequestId(request),
            } => self.numbers(&[0, *machine as u64, *incarnation, *request]),
            Requester::Gateway {
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

    /// Adds a disk job that a store begins.
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
            DiskWork::MarkComplete => self.number(3),
        }
    }

    /// Adds a declaration of a store to the core.
    pub fn declaration(&mut self, declaration: Declaration) {
        match declaration {
            Declaration::Complete => self.number(0),
            Declaration::Drained { epoch } => self.numbers(&[1, epoch]),
        }
    }

    /// Adds the outcome of a read.
    pub fn read(&mut self, outcome: &ReadOutcome) {
        match outcome {
            ReadOutcome::Chain(turns) => {
                self.number(0);
                self.encoded(turns);
            }
            ReadOutcome::Unknown => self.number(1),
            ReadOutcome::Uncertain => self.number(2),
            ReadOutcome::TooLong => self.number(3),
        }
    }

    /// Adds the outcome of a write.
    pub fn written(&mut self, outcome: WriteOutcome) {
        self.number(match outcome {
            WriteOutcome::Stored => 0,
            WriteOutcome::Uncertain => 1,
        });
    }

    /// Adds the statistics at the end.
    pub fn statistics(&mut self, counts: &Statistics) {
        self.numbers(&[
            counts.stored_turns,
            counts.uncertain_writes,
            counts.avoidable_uncertain_writes,
            counts.chains,
            counts.uncertain_reads,
            counts.unknown_reads,
            counts.faults,
            counts.retired_stores,
            counts.rejected_retirements,
            counts.slowest_completion_ms,
            counts.slowest_drain_ms,
            counts.largest_message_bytes,
            counts.max_stored_turns as u64,
        ]);
        for window in &counts.exposure_windows {
            self.numbers(&[fault_number(window.fault), window.duration_ms]);
        }
    }
}

fn fault_number(kind: FaultKind) -> u64 {
    match kind {
        FaultKind::Kill => 0,
        FaultKind::Wipe => 1,
        FaultKind::Freeze => 2,
        FaultKind::Partition => 3,
        FaultKind::PeerPartition => 4,
        FaultKind::KillAll => 5,
        FaultKind::Replace => 6,
        FaultKind::Add => 7,
        FaultKind::Retire => 8,
    }
}
