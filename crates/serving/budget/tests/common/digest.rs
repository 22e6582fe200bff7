//! A digest of all that happens in a world: messages, decisions, times and final counters, as bytes and numbers. Two
//! texts whose worlds have one digest behave alike.

use dunespur_budget::{Admission, Rejection, TurnOutcome};
use serde::Serialize;
use xxhash_rust::xxh3::Xxh3;

/// Hashes what happens, in its order.
#[derive(Default)]
pub struct Digest(Xxh3);

impl Digest {
    pub fn number(&mut self, number: u64) {
        self.0.update(&number.to_le_bytes());
    }

    /// Hashes a message or a state.
    pub fn encoded(&mut self, value: &impl Serialize) {
        let bytes = postcard::to_stdvec(value).expect("a value is written");
        self.number(bytes.len() as u64);
        self.0.update(&bytes);
    }

    /// Hashes a decision on a turn.
    pub fn decision(&mut self, now: u64, limiter: usize, outcome: &TurnOutcome) {
        self.number(now);
        self.number(limiter as u64);
        self.number(outcome.turn);
        match &outcome.admission {
            Admission::Admitted => self.number(1),
            Admission::Request(request) => self.encoded(&(2, request)),
            Admission::Waiting => self.number(3),
            Admission::Rejected(Rejection::Spent) => self.number(4),
            Admission::Rejected(Rejection::LeasedElsewhere { retry_after_ms }) => {
                self.number(5);
                self.number(*retry_after_ms);
            }
            Admission::Rejected(Rejection::CounterTimeout) => self.number(6),
            Admission::Rejected(Rejection::AtCapacity) => self.number(7),
        }
    }

    pub fn finish(&self) -> u64 {
        self.0.digest()
    }
}
