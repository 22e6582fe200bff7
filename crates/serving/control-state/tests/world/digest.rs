//! A digest of all that happens in a world: messages between members, commits with what they come to, answers, times
//! and final states, as bytes and numbers. Two texts whose worlds have one digest behave alike.

use super::callers::{Answer, CallId};
use super::history::Tally;
use super::violation::Violation;
use super::World;
use serde::Serialize;
use xxhash_rust::xxh3::Xxh3;

/// Hashes what happens, in its order.
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

    /// Hashes an event: its kind, its numbers and what it carries.
    pub fn event<const N: usize>(&mut self, kind: u8, numbers: [u64; N], carried: &impl Serialize) {
        self.bytes(&[kind]);
        self.numbers(numbers);
        self.bytes(&postcard::to_stdvec(carried).expect("a value is written"));
    }

    /// Hashes the answer to a call.
    pub fn answer(&mut self, now: u64, machine: usize, call: CallId, answer: &Answer) {
        let (kind, number, text) = match answer {
            Answer::Accepted => (1, 0, ""),
            Answer::Current { generation } => (2, *generation, ""),
            Answer::Invalid => (3, 0, ""),
            Answer::Configuration(None) => (4, 0, ""),
            Answer::Configuration(Some((generation, json))) => (5, *generation, json.as_str()),
            Answer::Retired => (6, 0, ""),
            Answer::NotRetired => (7, 0, ""),
            Answer::Watched { generation } => (8, *generation, ""),
            Answer::Indefinite => (9, 0, ""),
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

impl World {
    /// The digest of the world up to now, with its verdict and the states of its members.
    pub fn finish_digest(mut self, verdict: Result<Tally, Violation>) -> u64 {
        self.digest.number(u64::from(verdict.is_ok()));
        if let Ok(tally) = &verdict {
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
