//! The digest of a world: of all outputs of its members and their times, and of the random draws of the world itself.
//!
//! It is taken over encoded messages and records, not over names or texts, so it stays while the code is renamed and
//! rearranged. Another digest means another behaviour: other bytes, times, decisions or draws.

use super::World;
use dunespur_chain_replication::{Millis, Output};
use serde::Serialize;
use xxhash_rust::xxh3::Xxh3;

/// The outputs of members so far.
#[derive(Default)]
pub struct Record {
    hash: Xxh3,
}

impl Record {
    /// A member has handled an input, with these outputs, and wants its next tick then.
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
        let bytes = postcard::to_stdvec(value).expect("a value in memory can be written");
        self.hash.update(&[tag]);
        self.hash.update(&(bytes.len() as u64).to_le_bytes());
        self.hash.update(&bytes);
    }
}

impl World {
    /// From now on all outputs of members go into the digest.
    pub fn begin_record(&mut self) {
        self.record = Some(Record::default());
    }

    /// The digest of what was recorded, of the commits, and of how far the world's own draws have come.
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
