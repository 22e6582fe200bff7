//! A digest of a simulation's messages, decisions, times and final counters. Two versions of the code whose simulations
//! have the same digests behave alike.

use dunespur_budget::{Admission, Rejection, TurnOutcome};
use serde::Serialize;
use xxhash_rust::xxh3::Xxh3;

/// Hashes the events of a simulation in order.
#[derive(Default)]
pub struct Digest(Xxh3);

impl Digest {
    pub fn number(&mut self, number: u64) {
        self.0.update(&number.to_le_bytes());
    }

    /// Hashes the encoding of a message or state.
    pub fn encoded(&mut self, value: &impl Serialize) {
        let bytes = postcard::to_stdvec(value).expect("the value is encodable");
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
