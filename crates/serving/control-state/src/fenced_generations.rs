//! The fencing tokens of future generations on which a configuration request was rejected.
//!
//! Such a request could be accepted once its base generation is current, and duplicates of it may be in flight. On
//! such a generation only calls are considered that carry the token of the newest rejection.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// How many future generations are recorded. Bounds memory against callers that invent generations: a request on
/// another one gets no definite answer.
const MAX_GENERATIONS: usize = 1_024;

/// Rejections of requests on generations that were not reached yet.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct FencedGenerations {
    rejections: u64,
    /// The fencing token of each generation on which a request was rejected.
    tokens: BTreeMap<u64, u64>,
}

/// Whether a rejection was recorded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Recording {
    /// It was: duplicates of the request are fenced.
    Recorded,
    /// There is no capacity: the request must not be rejected definitely.
    AtCapacity,
}

impl FencedGenerations {
    /// Records a rejection on a generation.
    pub(crate) fn record_rejection(&mut self, base: u64) -> Recording {
        if self.tokens.len() >= MAX_GENERATIONS && !self.tokens.contains_key(&base) {
            return Recording::AtCapacity;
        }
        self.rejections += 1;
        self.tokens.insert(base, self.rejections);
        Recording::Recorded
    }

    /// The token that a call on this generation has to carry, if there is one.
    pub(crate) fn token(&self, base: u64) -> Option<u64> {
        self.tokens.get(&base).copied()
    }

    /// A generation has become current: no request on an earlier one can be accepted any more.
    pub(crate) fn discard_below(&mut self, generation: u64) {
        self.tokens = self.tokens.split_off(&generation);
    }
}
