//! A digest of a simulation: messages between members, commits with their outcomes, answers, times and final states.
//! If two versions of the code give the same digests, they behaved alike in these simulations.

use super::callers::{CallAnswer, CallId};
use super::history::Tally;
use super::violation::Violation;
use super::Simulation;
use serde::Serialize;
use xxhash_rust::xxh3::Xxh3;

/// Hashes the events of a simulation in order.
#[derive(Default)]
pub struct Digest(Xxh3);

impl Digest {
    fn hash_number(&mut self, number: u64) {
        self.0.update(&number.to_le_bytes());
    }

    fn hash_numbers<const N: usize>(&mut self, numbers: [u64; N]) {
        numbers
            .into_iter()
            .for_each(|number| self.hash_number(number));
    }

    fn hash_bytes(&mut self, bytes: &[u8]) {
        self.hash_number(bytes.len() as u64);
        self.0.update(bytes);
    }

    /// Hashes an event: its kind, its numbers and its encoded content.
    pub fn hash_event<const N: usize>(
        &mut self,
        kind: u8,
        numbers: [u64; N],
        content: &impl Serialize,
    ) {
        self.hash_bytes(&[kind]);
        self.hash_numbers(numbers);
        self.hash_bytes(&postcard::to_stdvec(content).expect("the content is encodable"));
    }

    /// Hashes the answer to a call.
    pub fn hash_answer(&mut self, now: u64, machine: usize, call: CallId, answer: &CallAnswer) {
        let (kind, number, text) = match answer {
            CallAnswer::Accepted => (1, 0, ""),
            CallAnswer::Current { generation } => (2, *generation, ""),
            CallAnswer::Invalid => (3, 0, ""),
            CallAnswer::Configuration(None) => (4, 0, ""),
            CallAnswer::Configuration(Some((generation, json))) => (5, *generation, json.as_str()),
            CallAnswer::Retired => (6, 0, ""),
            CallAnswer::NotRetired => (7, 0, ""),
            CallAnswer::Watched { generation } => (8, *generation, ""),
            CallAnswer::Indefinite => (9, 0, ""),
        };
        let numbers = [now, machine as u64, call.caller as u64, call.number, number];
        self.hash_event(kind, numbers, &text);
    }

    fn hash_tally(&mut self, tally: &Tally) {
        self.hash_numbers([
            tally.calls,
            tally.accepted,
            tally.rejected,
            tally.reads,
            tally.indefinite,
        ]);
        self.hash_numbers([
            tally.snapshots,
            tally.emptied,
            tally.rejected_retirements,
            tally.max_staleness,
        ]);
    }
}

impl Simulation {
    /// The digest of the simulation, including its result and the final states of its members.
    pub fn finish_digest(mut self, result: Result<Tally, Violation>) -> u64 {
        self.digest.hash_number(u64::from(result.is_ok()));
        if let Ok(tally) = &result {
            self.digest.hash_tally(tally);
        }
        for machine in &self.machines {
            let Some(process) = &machine.process else {
                continue;
            };
            self.digest.hash_bytes(&process.state.snapshot());
        }
        self.digest.0.digest()
    }
}
