//! A digest of a simulation: messages between members, commits with their outcomes, answers, times and final states.
//! Two versions of the code whose simulations have the same digests behave alike.

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
    fn number(&mut self, number: u64) {
        self.0.update(&number.to_le_bytes());
    }

    fn numbers<const N: usize>(&mut self, numbers: [u64; N]) {
        numbers.into_iter().for_each(|number| self.number(number));
    }

    fn bytes(&mut self, bytes: &[u8]) {
        self.number(bytes.len() as u64);
        self.0.update(bytes);
    }

    /// Hashes an event: its kind, its numbers and its encoded content.
    pub fn event<const N: usize>(&mut self, kind: u8, numbers: [u64; N], content: &impl Serialize) {
        self.bytes(&[kind]);
        self.numbers(numbers);
        self.bytes(&postcard::to_stdvec(content).expect("the content is encodable"));
    }

    /// Hashes the answer to a call.
    pub fn answer(&mut self, now: u64, machine: usize, call: CallId, answer: &CallAnswer) {
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
        self.event(kind, numbers, &text);
    }

    fn tally(&mut self, tally: &Tally) {
        self.numbers([
            tally.calls,
            tally.accepted,
            tally.rejected,
            tally.reads,
            tally.indefinite,
        ]);
        self.numbers([
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
        self.digest.number(u64::from(result.is_ok()));
        if let Ok(tally) = &result {
            self.digest.tally(tally);
        }
        for machine in &self.machines {
            let Some(process) = &machine.process else {
                continue;
            };
            self.digest.bytes(&process.state.snapshot());
        }
        self.digest.0.digest()
    }
}
