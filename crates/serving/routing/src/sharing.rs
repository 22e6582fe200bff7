//! Which parts of prompts belong to many programs, and how large a share of the requests has each.
//!
//! A prompt begins with parts that it shares with other programs' prompts; its program's own follow. The last
//! shared part is its subject. Where a part has not been seen often enough to tell, the length of the shortest
//! prompts does: they are programs' first turns and have one part of their own.

use crate::rendezvous::IdMap;
use crate::types::Part;

/// Requests after which all counts are halved and unused parts forgotten.
const HALVING_REQUESTS: u32 = 1024;
/// Parts that are watched at once. Bounds memory against callers that name ever new parts.
const MOST_PARTS: usize = 2048;
/// Lengths of prompts, in parts, that are told apart.
const MOST_LENGTHS: usize = 16;
/// Prompts up to the length below which this share of them lies count as first turns.
const FIRST_TURNS: f64 = 0.1;

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
    lengths: [u32; MOST_LENGTHS],
    requests: u32,
    since_halving: u32,
}

impl Sharing {
    /// Takes a prompt of a program in and names its subject, if it has one.
    pub(crate) fn observe(&mut self, prefix: &[Part], program: u64) -> Option<Subject> {
        self.count_request(prefix.len());
        let known = self.observe_parts(prefix, program);
        let usual = self.first_turn_length().min(prefix.len()).checked_sub(2);
        let index = known.max(usual)?;
        let tokens = prefix[..=index]
            .iter()
            .map(|part| u64::from(part.tokens))
            .sum();
        let id = prefix[index].id;
        Some(Subject {
            id,
            tokens,
            popularity: self.popularity(id),
        })
    }

    /// Whether prompts of several programs have this part.
    pub(crate) fn is_shared(&self, id: u64) -> bool {
        self.parts.get(&id).is_some_and(|seen| seen.shared)
    }

    /// Counts the parts; the last one that several programs have.
    fn observe_parts(&mut self, prefix: &[Part], program: u64) -> Option<usize> {
        let mut last_shared = None;
        for (index, part) in prefix.iter().enumerate() {
            if self.observe_part(part.id, program) {
                last_shared = Some(index);
            }
        }
        last_shared
    }

    fn observe_part(&mut self, id: u64, program: u64) -> bool {
        if let Some(seen) = self.parts.get_mut(&id) {
            seen.hits += 1;
            seen.shared |= seen.program != program;
            return seen.shared;
        }
        if self.parts.len() < MOST_PARTS {
            self.parts.insert(
                id,
                Seen {
                    program,
                    hits: 1,
                    shared: false,
                },
            );
        }
        false
    }

    fn popularity(&self, id: u64) -> f64 {
        let hits = self.parts.get(&id).map_or(0, |seen| seen.hits);
        (f64::from(hits) / f64::from(self.requests)).min(1.0)
    }

    /// The parts of a prompt that has only one of its own.
    fn first_turn_length(&self) -> usize {
        let enough = FIRST_TURNS * f64::from(self.requests);
        let mut count = 0.0;
        for (length, requests) in self.lengths.iter().enumerate() {
            count += f64::from(*requests);
            if count >= enough {
                return length;
            }
        }
        MOST_LENGTHS
    }

    fn count_request(&mut self, parts: usize) {
        self.requests += 1;
        self.lengths[parts.min(MOST_LENGTHS - 1)] += 1;
        self.since_halving += 1;
        if self.since_halving >= HALVING_REQUESTS {
            self.halve();
        }
    }

    fn halve(&mut self) {
        self.since_halving = 0;
        self.requests = (self.requests / 2).max(1);
        for requests in &mut self.lengths {
            *requests /= 2;
        }
        self.parts.retain(|_, seen| {
            seen.hits /= 2;
            seen.hits > 0
        });
    }
}

#[cfg(test)]
mod tests;
