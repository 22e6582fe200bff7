//! Statistics of prompt segments: which are shared by several programs, and in what fraction of the requests.
//!
//! A prompt begins with segments that it shares with other programs' prompts, followed by segments of its own program.
//! If a prompt's segments are too new to have been seen in several programs, its shared prefix is estimated from its
//! length. The shortest prompts are first turns of programs, in which all segments but the last are shared.

use crate::rendezvous::IdMap;
use crate::types::PromptSegment;

/// Number of requests after which all counts are halved. Segments whose count becomes 0 are removed.
const HALVING_REQUESTS: u32 = 1024;
/// Maximum number of segments with statistics. Bounds memory against callers that name ever new segments.
const MAX_SEGMENTS: usize = 2048;
/// Number of counts by prompt length in segments. Prompts of `MAX_LENGTHS - 1` or more segments share the last count.
const MAX_LENGTHS: usize = 16;
/// Prompts up to this quantile of prompt lengths are taken to be first turns.
const FIRST_TURN_QUANTILE: f64 = 0.1;

/// The programs and requests that use one segment.
#[derive(Debug, Clone, Copy)]
struct SegmentStatistics {
    /// Hash of the first program that used the segment.
    program: u64,
    /// Requests whose prompt has the segment.
    requests: u32,
    /// Whether several programs have used the segment.
    shared: bool,
}

/// The first segments of a prompt, which other programs' prompts share.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct SharedPrefix {
    /// Id of the last shared segment.
    pub(crate) id: u64,
    /// Tokens up to the end of the last shared segment.
    pub(crate) tokens: u64,
    /// Fraction of the requests whose prompt has the last shared segment, from 0 to 1.
    pub(crate) popularity: f64,
}

/// Counts the programs and requests of each segment.
#[derive(Debug, Default)]
pub(crate) struct PrefixStatistics {
    segments: IdMap<SegmentStatistics>,
    /// Number of requests by prompt length in segments.
    requests_by_length: [u32; MAX_LENGTHS],
    requests: u32,
    since_halving: u32,
}

impl PrefixStatistics {
    /// Counts a prompt of a program and returns its shared prefix, if it has one.
    pub(crate) fn observe(
        &mut self,
        prefix: &[PromptSegment],
        program: u64,
    ) -> Option<SharedPrefix> {
        self.count_request(prefix.len());
        let known = self.observe_segments(prefix, program);
        // Index of the last but one segment of a first turn, as its last one is not shared; none for a single segment.
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

    /// Whether several programs use this segment.
    pub(crate) fn is_shared(&self, id: u64) -> bool {
        self.segments
            .get(&id)
            .is_some_and(|statistics| statistics.shared)
    }

    /// Counts the segments of a prompt, and returns the index of the last one that several programs use.
    fn observe_segments(&mut self, prefix: &[PromptSegment], program: u64) -> Option<usize> {
        let mut last_shared = None;
        for (index, segment) in prefix.iter().enumerate() {
            if self.observe_segment(segment.id, program) {
                last_shared = Some(index);
            }
        }
        last_shared
    }

    /// Counts a segment, and returns whether several programs use it.
    fn observe_segment(&mut self, id: u64, program: u64) -> bool {
        if let Some(statistics) = self.segments.get_mut(&id) {
            statistics.requests += 1;
            statistics.shared |= statistics.program != program;
            return statistics.shared;
        }
        if self.segments.len() < MAX_SEGMENTS {
            let statistics = SegmentStatistics {
                program,
                requests: 1,
                shared: false,
            };
            self.segments.insert(id, statistics);
        }
        false
    }

    /// Fraction of the requests whose prompt has this segment, from 0 to 1.
    fn popularity(&self, id: u64) -> f64 {
        let requests = self
            .segments
            .get(&id)
            .map_or(0, |statistics| statistics.requests);
        (f64::from(requests) / f64::from(self.requests)).min(1.0)
    }

    /// Number of segments of a first turn's prompt, of which only the last is not shared.
    fn first_turn_length(&self) -> usize {
        let quantile_requests = FIRST_TURN_QUANTILE * f64::from(self.requests);
        let mut count = 0.0;
        for (length, requests) in self.requests_by_length.iter().enumerate() {
            count += f64::from(*requests);
            if count >= quantile_requests {
                return length;
            }
        }
        MAX_LENGTHS
    }

    fn count_request(&mut self, segments: usize) {
        self.requests += 1;
        self.requests_by_length[segments.min(MAX_LENGTHS - 1)] += 1;
        self.since_halving += 1;
        if self.since_halving >= HALVING_REQUESTS {
            self.halve();
        }
    }

    /// Halves all counts, so that the statistics follow the recent requests.
    fn halve(&mut self) {
        self.since_halving = 0;
        self.requests = (self.requests / 2).max(1);
        for requests in &mut self.requests_by_length {
            *requests /= 2;
        }
        self.segments.retain(|_, statistics| {
            statistics.requests /= 2;
            statistics.requests > 0
        });
    }
}

#[cfg(test)]
mod tests;
