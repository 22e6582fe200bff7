//! Which parts of prompts belong to many programs, and how large a share of the requests has each.

use crate::rendezvous::IdMap;
use crate::types::Part;

/// Requests after which all counts are halved and unused parts forgotten.
const HALVING_REQUESTS: u32 = 1024;
/// Parts that are watched at once. Bounds memory against callers that name ever new parts.
const MOST_PARTS: usize = 2048;

#[derive(Debug, Clone, Copy)]
struct Seen {
    program: u64,
    hits: u32,
    shared: bool,
}

/// The part that groups programs: the last one that other programs' prompts have too.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Subject {
    /// Id of that part.
    pub(crate) id: u64,
    /// Tokens up to its end.
    pub(crate) tokens: u64,
    /// Its share of the requests, from 0 to 1.
    pub(crate) popularity: f64,
}

/// Counts the programs and requests of each part.
#[derive(Debug, Default)]
pub(crate) struct Sharing {
    parts: IdMap<Seen>,
    requests: u32,
    since_halving: u32,
}

impl Sharing {
    /// Takes a prompt of a program in and names its subject, if one is known.
    pub(crate) fn observe(&mut self, prefix: &[Part], program: u64) -> Option<Subject> {
        self.count_request();
        let mut subject = None;
        let mut tokens = 0;
        for part in prefix {
            tokens += u64::from(part.tokens);
            if let Some(hits) = self.observe_part(part.id, program) {
                subject = Some(Subject { id: part.id, tokens, popularity: self.popularity(hits) });
            }
        }
        subject
    }

    /// Whether prompts of several programs have this part.
    pub(crate) fn is_shared(&self, id: u64) -> bool {
        self.parts.get(&id).is_some_and(|seen| seen.shared)
    }

    /// Counts a part; its requests if several programs have it.
    fn observe_part(&mut self, id: u64, program: u64) -> Option<u32> {
        if let Some(seen) = self.parts.get_mut(&id) {
            seen.hits += 1;
            seen.shared |= seen.program != program;
            return seen.shared.then_some(seen.hits);
        }
        if self.parts.len() < MOST_PARTS {
            self.parts.insert(id, Seen { program, hits: 1, shared: false });
        }
        None
    }

    fn popularity(&self, hits: u32) -> f64 {
        (f64::from(hits) / f64::from(self.requests)).min(1.0)
    }

    fn count_request(&mut self) {
        self.requests += 1;
        self.since_halving += 1;
        if self.since_halving < HALVING_REQUESTS {
            return;
        }
        self.since_halving = 0;
        self.requests = (self.requests / 2).max(1);
        self.parts.retain(|_, seen| {
            seen.hits /= 2;
            seen.hits > 0
        });
    }
}

#[cfg(test)]
mod tests;
