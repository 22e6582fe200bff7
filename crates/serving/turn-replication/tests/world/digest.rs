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

    fn hash_number(&mut self, number: u64) {
        self.hash.update(&number.to_le_bytes());
    }

    fn hash_numbers(&mut self, numbers: &[u64]) {
        numbers.iter().for_each(|number| self.hash_number(*number));
    }

    fn hash_encoded(&mut self, value: &impl Serialize) {
        let bytes = postcard::to_stdvec(value).expect("messages can be encoded");
        self.hash_number(bytes.len() as u64);
        self.hash.update(&bytes);
    }

    /// Adds an event that is about to be handled.
    pub fn hash_event(&mut self, now_ms: u64, event: &Event) {
        self.hash_number(now_ms);
        match event {
            Event::Request {
                to,
                request,
                requester,
            } => {
                self.hash_numbers(&[0, *to as u64]);
                self.hash_encoded(request);
                self.hash_requester(requester);
            }
            Event::Reply { requester, reply } => {
                self.hash_number(1);
                self.hash_requester(requester);
                self.hash_encoded(reply);
            }
            Event::MembershipToMachine {
                machine,
                incarnation,
                version,
                stores,
            } => {
                self.hash_numbers(&[5, *machine as u64, *incarnation, *version]);
                self.hash_encoded(stores);
            }
            Event::MembershipToGateway {
                gateway,
                version,
                stores,
            } => {
                self.hash_numbers(&[6, *gateway as u64, *version]);
                self.hash_encoded(stores);
            }
            Event::DrainedReceived { machine, operation } => {
                self.hash_numbers(&[17, *machine as u64]);
                self.hash_encoded(operation);
            }
            other => self.hash_event_without_message(other),
        }
    }

    fn hash_event_without_message(&mut self, event: &Event) {
        match event {
            Event::DiskDone {
                machine,
                incarnation,
                job: JobId(job),
            } => self.hash_numbers(&[2, *machine as u64, *incarnation, *job]),
            Event::Tick {
                machine,
                incarnation,
            } => self.hash_numbers(&[3, *machine as u64, *incarnation]),
            Event::Heartbeats => self.hash_number(4),
            Event::OperationDue { operation } => self.hash_numbers(&[7, *operation]),
            Event::ProgramStep { program } => self.hash_numbers(&[8, *program as u64]),
            Event::ProbeRead => self.hash_number(9),
            Event::NextFault { slot } => self.hash_numbers(&[10, *slot as u64]),
            Event::Start { machine } => self.hash_numbers(&[11, *machine as u64]),
            Event::Resume { machine } => self.hash_numbers(&[12, *machine as u64]),
            Event::Join { machine } => self.hash_numbers(&[13, *machine as u64]),
            Event::CatchUpEnd { slot } => self.hash_numbers(&[14, *slot as u64]),
            Event::FinalFault => self.hash_number(15),
            Event::CheckReplicas => self.hash_number(16),
            Event::CountSpares => self.hash_number(18),
            Event::Request { .. }
            | Event::Reply { .. }
            | Event::MembershipToMachine { .. }
            | Event::MembershipToGateway { .. }
            | Event::DrainedReceived { .. } => {
                unreachable!("events with messages are handled by the caller")
            }
        }
    }

    fn hash_requester(&mut self, requester: &Requester) {
        match requester {
            Requester::Machine {
                machine,
                incarnation,
                request: PeerRequestId(request),
            } => self.hash_numbers(&[0, *machine as u64, *incarnation, *request]),
            Requester::Gateway {
                operation,
                store,
                id,
            } => {
                self.hash_numbers(&[1, *operation]);
                self.hash_encoded(store);
                self.hash_encoded(id);
            }
        }
    }

    /// Adds a disk job that a store begins.
    pub fn hash_disk_work(&mut self, work: &DiskWork) {
        match work {
            DiskWork::Put(turns) => {
                self.hash_number(0);
                self.hash_encoded(turns);
            }
            DiskWork::Get(ids) => {
                self.hash_number(1);
                self.hash_encoded(ids);
            }
            DiskWork::Remove(ids) => {
                self.hash_number(2);
                self.hash_encoded(ids);
            }
            DiskWork::MarkComplete => self.hash_number(3),
        }
    }

    /// Adds a declaration of a store to the core.
    pub fn hash_declaration(&mut self, declaration: Declaration) {
        match declaration {
            Declaration::Complete => self.hash_number(0),
            Declaration::Drained { epoch } => self.hash_numbers(&[1, epoch]),
        }
    }

    /// Adds the outcome of a read.
    pub fn hash_read(&mut self, outcome: &ReadOutcome) {
        match outcome {
            ReadOutcome::Chain(turns) => {
                self.hash_number(0);
                self.hash_encoded(turns);
            }
            ReadOutcome::Unknown => self.hash_number(1),
            ReadOutcome::Uncertain => self.hash_number(2),
            ReadOutcome::TooLong => self.hash_number(3),
        }
    }

    /// Adds the outcome of a write.
    pub fn hash_write(&mut self, outcome: WriteOutcome) {
        self.hash_number(match outcome {
            WriteOutcome::Stored => 0,
            WriteOutcome::Uncertain => 1,
        });
    }

    /// Adds the statistics at the end.
    pub fn hash_statistics(&mut self, counts: &Statistics) {
        self.hash_numbers(&[
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
            self.hash_numbers(&[fault_number(window.fault), window.duration_ms]);
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
