//! Which segments of prompts belong to several programs, and how large a fraction of the requests has each.
//!
//! A prompt begins with segments that it shares with other programs' prompts; its program's own follow. Where a
//! segment has not been seen often enough to tell, the length of the shortest prompts does: they are programs' first
//! turns and have one segment of their own.

use crate::rendezvous::IdMap;
use crate::types::PromptSegment;

/// Requests after which all counts are halved and unused segments removed.
const HALVING_REQUESTS: u32 = 1024;
/// Segments that are watched at once. Bounds memory against callers that name ever new segments.
const MAX_SEGMENTS: usize = 2048;
/// Lengths of prompts, in segments, that are distinguished.
const MAX_LENGTHS: usize = 16;
/// Prompts up to the length of this quantile count as first turns.
const FIRST_TURN_QUANTILE: f64 = 0.1;

#[derive(Debug, Clone, Copy)]
struct SegmentStatistics {
    /// Hash of the first program that had the segment.
    program: u64,
    hits: u32,
    shared: bool,
}

/// The beginning of a prompt that other programs' prompts have too.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct SharedPrefix {
    /// Id of its last segment.
    pub(crate) id: u64,
    /// Tokens up to that segment's end.
    pub(crate) tokens: u64,
    /// Fraction of the requests that have it, from 0 to 1.
    pub(crate) popularity: f64,
}

/// Counts the programs and requests of each segment.
#[derive(Debug, Default)]
pub(crate) struct PrefixStatistics {
    segments: IdMap<SegmentStatistics>,
    /// Requests by the length of their prompt.
    lengths: [u32; MAX_LENGTHS],
    requests: u32,
    since_halving: u32,
}

impl PrefixStatistics {
    /// Counts a prompt of a program and finds its shared prefix, if it has one.
    pub(crate) fn observe(
        &mut self,
        prefix: &[PromptSegment],
        program: u64,
    ) -> Option<SharedPrefix> {
        self.count_request(prefix.len());
        let known = self.observe_segments(prefix, program);
        let presumed = self.first_turn_length().min(prefix.len()).checked_sub(2);
        let index = known.max(presumed)?;
        let tokens = prefix[..=index]
            .iter()
            .map(|segment| u64::from(segment.tokens))
            .sum();
        let id = prefix[index].id;
        Some(SharedPrefix {
            id,
            tokens,
            popularity: self.popularity(id),
        })
    }

    /// Whether prompts of several programs have this segment.
    pub(crate) fn is_shared(&self, id: u64) -> bool {
        self.segments
            .get(&id)
            .is_some_and(|statistics| statistics.shared)
    }

    /// Counts the segments; the index of the last one that several programs have.
    fn observe_segments(&mut self, prefix: &[PromptSegment], program: u64) -> Option<usize> {
        let mut last_shared = None;
        for (index, segment) in prefix.iter().enumerate() {
            if self.observe_segment(segment.id, program) {
                last_shared = Some(index);
            }
        }
        last_shared
    }

    fn observe_segment(&mut self, id: u64, program: u64) -> bool {
        if let Some(statistics) = self.segments.get_mut(&id) {
            statistics.hits += 1;
            statistics.shared |= statistics.program != program;
            return statistics.shared;
        }
        if self.segments.len() < MAX_SEGMENTS {
            let statistics = SegmentStatistics {
                program,
                hits: 1,
                shared: false,
            };
            self.segments.insert(id, statistics);
        }
        false
    }

    fn popularity(&self, id: u64) -> f64 {
        let hits = self
            .segments
            .get(&id)
            .map_or(0, |statistics| statistics.hits);
        (f64::from(hits) / f64::from(self.requests)).min(1.0)
    }

    /// Segments of a prompt that has only one of its own.
    fn first_turn_length(&self) -> usize {
        let enough = FIRST_TURN_QUANTILE * f64::from(self.requests);
        let mut count = 0.0;
        for (length, requests) in self.lengths.iter().enumerate() {
            count += f64::from(*requests);
            if count >= enough {
                return length;
            }
        }
        MAX_LENGTHS
    }

    fn count_request(&mut self, segments: usize) {
        self.requests += 1;
        self.lengths[segments.min(MAX_LENGTHS - 1)] += 1;
        self.since_halving += 1;
        if self.since_halving >= HALVING_REQUESTS {
            self.halve();
        }
    }

    /// Halves all counts, so that the statistics follow what is requested now.
    fn halve(&mut self) {
        self.since_halving = 0;
        self.requests = (self.requests / 2).max(1);
        for requests in &mut self.lengths {
            *requests /= 2;
        }
        self.segments.retain(|_, statistics| {
            statistics.hits /= 2;
            statistics.hits > 0
        });
    }
}

#[cfg(test)]
mod tests;
