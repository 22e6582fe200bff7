//! Which segments of prompts an engine is likely to have in its KV cache, judged by what this gateway dispatched there:
//! a least-recently-used cache that mirrors the engine's.

use crate::rendezvous::IdMap;
use crate::types::PromptSegment;

/// Segments remembered for one engine. Bounds memory against callers that name ever new segments.
const MAX_SEGMENTS: usize = 512;
/// The end of the linked list of segments.
const NIL: u32 = u32::MAX;

/// A node of the doubly linked list of segments, ordered by use.
#[derive(Debug, Clone, Copy)]
struct Entry {
    id: u64,
    tokens: u32,
    newer: u32,
    older: u32,
}

/// Segments by last use; the least recently used ones are evicted once the tokens exceed the capacity.
#[derive(Debug)]
pub(crate) struct PrefixCache {
    /// Indexes into `entries`, by the segment's id.
    index_of: IdMap<u32>,
    entries: Vec<Entry>,
    /// Indexes of unused entries.
    free: Vec<u32>,
    newest: u32,
    oldest: u32,
    tokens: u64,
}

impl PrefixCache {
    pub(crate) fn new() -> Self {
        Self {
            index_of: IdMap::default(),
            entries: Vec::new(),
            free: Vec::new(),
            newest: NIL,
            oldest: NIL,
            tokens: 0,
        }
    }

    /// Tokens of a prompt that are cached: a segment counts only if every segment before it is cached completely. A
    /// segment that has grown under its id counts as far as it was dispatched.
    pub(crate) fn cached_tokens(&self, prefix: &[PromptSegment]) -> u64 {
        let mut total = 0;
        for segment in prefix {
            let cached = self.tokens_of(segment.id).min(segment.tokens);
            total += u64::from(cached);
            if cached < segment.tokens {
                break;
            }
        }
        total
    }

    /// Whether a segment is cached, in whatever length.
    pub(crate) fn contains(&self, id: u64) -> bool {
        self.index_of.contains_key(&id)
    }

    /// A prompt was dispatched; its first segments count as used last, as later ones are of no use alone.
    pub(crate) fn record_dispatch(&mut self, prefix: &[PromptSegment], capacity: u64) {
        for segment in prefix.iter().rev() {
            self.touch(*segment);
        }
        while self.tokens > capacity || self.index_of.len() > MAX_SEGMENTS {
            if !self.evict_oldest() {
                break;
            }
        }
    }

    /// Removes a segment that was not prefilled after all.
    pub(crate) fn remove(&mut self, id: u64) {
        if let Some(index) = self.index_of.remove(&id) {
            self.release(index);
        }
    }

    /// Tokens of all segments that are presumed to be cached.
    #[cfg(test)]
    pub(crate) fn tokens(&self) -> u64 {
        self.tokens
    }

    fn tokens_of(&self, id: u64) -> u32 {
        match self.index_of.get(&id) {
            Some(index) => self.entries[*index as usize].tokens,
            None => 0,
        }
    }

    fn touch(&mut self, segment: PromptSegment) {
        let index = match self.index_of.get(&segment.id) {
            Some(index) => {
                let index = *index;
                self.unlink(index);
                index
            }
            None => self.insert(segment.id),
        };
        let entry = &mut self.entries[index as usize];
        self.tokens += u64::from(segment.tokens);
        self.tokens -= u64::from(entry.tokens);
        entry.tokens = segment.tokens;
        self.link_newest(index);
    }

    fn insert(&mut self, id: u64) -> u32 {
        let entry = Entry {
            id,
            tokens: 0,
            newer: NIL,
            older: NIL,
        };
        let index = match self.free.pop() {
            Some(index) => {
                self.entries[index as usize] = entry;
                index
            }
            None => {
                self.entries.push(entry);
                (self.entries.len() - 1) as u32
            }
        };
        self.index_of.insert(id, index);
        index
    }

    fn evict_oldest(&mut self) -> bool {
        if self.oldest == NIL {
            return false;
        }
        let id = self.entries[self.oldest as usize].id;
        self.remove(id);
        true
    }

    fn release(&mut self, index: u32) {
        self.unlink(index);
        self.tokens -= u64::from(self.entries[index as usize].tokens);
        self.free.push(index);
    }

    fn unlink(&mut self, index: u32) {
        let Entry { newer, older, .. } = self.entries[index as usize];
        match newer {
            NIL => self.newest = older,
            newer => self.entries[newer as usize].older = older,
        }
        match older {
            NIL => self.oldest = newer,
            older => self.entries[older as usize].newer = newer,
        }
    }

    fn link_newest(&mut self, index: u32) {
        let before = self.newest;
        let entry = &mut self.entries[index as usize];
        entry.newer = NIL;
        entry.older = before;
        match before {
            NIL => self.oldest = index,
            before => self.entries[before as usize].newer = index,
        }
        self.newest = index;
    }
}

#[cfg(test)]
mod tests;
