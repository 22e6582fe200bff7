//! The digest of a world covers all outputs of its members with their times, and the random draws of the world itself.
//!
//! It covers encoded messages and records, not names or texts, so it doesn't change when code is renamed or rearranged.
//! A changed digest means changed behaviour: other bytes, times, decisions or draws.

use super::World;
use dunespur_chain_replication::{Millis, Output};
use serde::Serialize;
use xxhash_rust::xxh3::Xxh3;

/// The hash of all outputs of members so far.
#[derive(Default)]
pub struct Record {
    hash: Xxh3,
}

impl Record {
    /// Records one step of a member: its time, its outputs and the time of its next tick.
    pub(super) fn stepped(
        &mut self,
        now: Millis,
        machine: usize,
        next_tick: Millis,
        outputs: &[Output],
    ) {
        self.add(0, &(now, machine, next_tick, outputs.len()));
        outputs.iter().for_each(|output| self.add_output(output));
    }

    fn add_output(&mut self, output: &Output) {
        match output {
            Output::Send { to, message } => self.add(1, &(to, message)),
            Output::SendToAddress { address, message } => self.add(2, &(address, message)),
            Output::Persist { batch, writes } => self.add(3, &(batch, writes)),
            Output::Apply {
                index,
                payload,
                ticket,
            } => self.add(4, &(index, payload, ticket)),
            Output::ReadReady { ticket } => self.add(5, ticket),
            Output::Dropped { ticket } => self.add(6, ticket),
            Output::TakeSnapshot => self.add(7, &()),
            Output::InstallSnapshot { index, bytes } => self.add(8, &(index, bytes)),
            Output::ViewChanged { view, has_quorum } => self.add(9, &(view, has_quorum)),
        }
    }

    fn add(&mut self, tag: u8, value: &impl Serialize) {
        let bytes = postcard::to_stdvec(value).expect("a value can be encoded");
        self.hash.update(&[tag]);
        self.hash.update(&(bytes.len() as u64).to_le_bytes());
        self.hash.update(&bytes);
    }
}

impl World {
    /// Starts to record the outputs of members.
    pub fn begin_record(&mut self) {
        self.record = Some(Record::default());
    }

    /// The digest of the record, of the commits, and of the state of the world's random generator.
    pub fn digest(&mut self) -> u64 {
        let mut record = self.record.take().expect("the record was begun");
        record.add(
            10,
            &(self.now, self.steps, self.acknowledged, self.reads_done),
        );
        record.add(11, &(&self.sequence, &self.commit_times));
        record.add(12, &self.rng.u64(..));
        record.hash.digest()
    }
}
