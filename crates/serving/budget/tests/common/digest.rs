//! A digest of a simulation's messages, decisions, times and final counters. If two versions of the code give the same
//! digests, they behaved alike in these simulations.

use dunespur_budget::{Admission, Rejection, TurnOutcome};
use serde::Serialize;
use xxhash_rust::xxh3::Xxh3;

/// Hashes the events of a simulation in order.
#[derive(Default)]
pub struct Digest(Xxh3);

impl Digest {
    pub fn hash_number(&mut self, number: u64) {
        self.0.update(&number.to_le_bytes());
    }

    /// Hashes the encoding of a message or state.
    pub fn hash_encoded(&mut self, value: &impl Serialize) {
        let bytes = postcard::to_stdvec(value).expect("the value is encodable");
        self.hash_number(bytes.len() as u64);
        self.0.update(&bytes);
    }

    /// Hashes a decision on a turn.
    pub fn hash_decision(&mut self, now: u64, limiter: usize, outcome: &TurnOutcome) {
        self.hash_number(now);
        self.hash_number(limiter as u64);
        self.hash_number(outcome.turn);
        match &outcome.admission {
            Admission::Admitted => self.hash_number(1),
            Admission::Request(request) => self.hash_encoded(&(2, request)),
            Admission::Waiting => self.hash_number(3),
            Admission::Rejected(Rejection::Spent) => self.hash_number(4),
            Admission::Rejected(Rejection::LeasedElsewhere { retry_after_ms }) => {
                self.hash_number(5);
                self.hash_number(*retry_after_ms);
            }
            Admission::Rejected(Rejection::CounterTimeout) => self.hash_number(6),
            Admission::Rejected(Rejection::AtCapacity) => self.hash_number(7),
        }
    }

    pub fn finish(&self) -> u64 {
        self.0.digest()
    }
}
