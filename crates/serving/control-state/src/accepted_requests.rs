//! Records accepted configuration requests, so that a repeated request is acknowledged again.

use crate::{ConfigurationRequest, ConfigurationRequestKind};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use xxhash_rust::xxh3::Xxh3;

/// Maximum number of recorded requests: twelve days at 5,200 changes a day.
const MAX_ACCEPTED: usize = 65_536;

/// The accepted requests, by the generation that each builds on. Generations only increase, so at most one request was
/// accepted on each generation.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct AcceptedRequests {
    /// In the order of acceptance, which is also the order of base generations.
    requests: VecDeque<AcceptedRequest>,
    /// The newest base generation whose request was evicted.
    newest_evicted: Option<u64>,
}

#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
struct AcceptedRequest {
    base: u64,
    content: ContentHash,
}

/// The recorded decision on a request.
pub(crate) enum PriorDecision {
    /// This exact request was accepted.
    Accepted,
    /// No request with this content was accepted on the base generation.
    NotAccepted,
    /// The record for the base generation was evicted.
    Unknown,
}

impl AcceptedRequests {
    /// Returns the recorded decision on a request.
    pub(crate) fn prior_decision(&self, request: &ConfigurationRequest) -> PriorDecision {
        let found = self
            .requests
            .binary_search_by_key(&request.base, |accepted| accepted.base);
        match found {
            Ok(index) if self.requests[index].content == ContentHash::of(request) => {
                PriorDecision::Accepted
            }
            Ok(_) => PriorDecision::NotAccepted,
            Err(_) if self.was_evicted(request.base) => PriorDecision::Unknown,
            Err(_) => PriorDecision::NotAccepted,
        }
    }

    /// Records an accepted request and evicts the oldest record if there are too many.
    pub(crate) fn record(&mut self, request: &ConfigurationRequest) {
        self.requests.push_back(AcceptedRequest {
            base: request.base,
            content: ContentHash::of(request),
        });
        if self.requests.len() > MAX_ACCEPTED {
            self.newest_evicted = self.requests.pop_front().map(|oldest| oldest.base);
        }
    }

    fn was_evicted(&self, base: u64) -> bool {
        self.newest_evicted.is_some_and(|newest| base <= newest)
    }
}

/// A hash of a request's kind and body. Not cryptographic, because operators gain nothing from a collision.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct ContentHash(u64);

impl ContentHash {
    fn of(request: &ConfigurationRequest) -> ContentHash {
        let mut hash = Xxh3::new();
        hash.update(&[match request.kind {
            ConfigurationRequestKind::Replace => 0,
            ConfigurationRequestKind::Patch => 1,
        }]);
        hash.update(&request.body);
        ContentHash(hash.digest())
    }
}
