//! Fencing tokens of future generations on which configuration requests were rejected.
//!
//! A duplicate of such a rejected request may still be in flight, and could be accepted once its base generation is
//! current. Requests on such a generation are therefore considered only with the token of the newest rejection.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Maximum number of future generations with a recorded rejection. Requests on any other future generation then get no
/// definite answer. This bounds the memory that callers can use up with arbitrary generations.
const MAX_GENERATIONS: usize = 1_024;

/// Recorded rejections of requests on future generations.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct FencedGenerations {
    /// The newest fencing token, which is also the number of recorded rejections.
    #[serde(rename = "rejections")]
    last_token: u64,
    /// The fencing token of each generation on which a request was rejected.
    tokens: BTreeMap<u64, u64>,
}

/// Whether a rejection could be recorded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RejectionRecord {
    /// The rejection was recorded; duplicates of the request are fenced.
    Recorded,
    /// No capacity is left. The request must not get a definite rejection, because a duplicate could still be accepted.
    AtCapacity,
}

impl FencedGenerations {
    /// Records the rejection of a request on a future generation.
    pub(crate) fn record_rejection(&mut self, base: u64) -> RejectionRecord {
        if self.tokens.len() >= MAX_GENERATIONS && !self.tokens.contains_key(&base) {
            return RejectionRecord::AtCapacity;
        }
        self.last_token += 1;
        self.tokens.insert(base, self.last_token);
        RejectionRecord::Recorded
    }

    /// The token that requests on this generation must contain, if any.
    pub(crate) fn token(&self, base: u64) -> Option<u64> {
        self.tokens.get(&base).copied()
    }

    /// Discards tokens of generations below the new current one, because no request on them can be accepted.
    pub(crate) fn discard_below(&mut self, generation: u64) {
        self.tokens = self.tokens.split_off(&generation);
    }
}
