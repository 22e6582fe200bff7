//! The prompt segments that an engine is likely to have in its KV cache: a least-recently-used cache that mirrors the
//! engine's, from the prompts that this gateway dispatched to it.

use crate::rendezvous::IdMap;
use crate::types::PromptSegment;

/// Maximum number of segments stored for one engine. Bounds memory against callers that name ever new segments.
const MAX_SEGMENTS: usize = 512;
/// The index that marks the end of the linked list.
const NIL: u32 = u32::MAX;

/// A node of the doubly linked list of segments, ordered by last use.
#[derive(Debug, Clone, Copy)]
struct SegmentNode {
    id: u64,
    tokens: u32,
    newer: u32,
    older: u32,
}

/// The presumed cache content of one engine. The least recently used segments are evicted when the tokens exceed the
/// capacity.
#[derive(Debug)]
pub(crate) struct PrefixCache {
    /// Index into `nodes` by segment id.
    index_of: IdMap<u32>,
    nodes: Vec<SegmentNode>,
    /// Indexes of unused nodes.
    free_nodes: Vec<u32>,
    newest: u32,
    oldest: u32,
    tokens: u64,
}

impl PrefixCache {
    pub(crate) fn new() -> Self {
        Self {
            index_of: IdMap::default(),
            nodes: Vec::new(),
            free_nodes: Vec::new(),
            newest: NIL,
            oldest: NIL,
            tokens: 0,
        }
    }

    /// Number of a prompt's tokens that are cached. A segment counts only if every earlier one is cached completely. A
    /// segment that has grown under its id counts up to the length that was dispatched.
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

    /// Whether any part of a segment is cached.
    pub(crate) fn contains(&self, id: u64) -> bool {
        self.index_of.contains_key(&id)
    }

    /// Records a dispatched prompt. Its first segments become the most recently used, because later ones are
    /// useless without them.
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

    /// Removes a segment that was dispatched but not prefilled.
    pub(crate) fn remove(&mut self, id: u64) {
        if let Some(index) = self.index_of.remove(&id) {
            self.release(index);
        }
    }

    /// Number of tokens of all segments.
    #[cfg(test)]
    pub(crate) fn tokens(&self) -> u64 {
        self.tokens
    }

    fn tokens_of(&self, id: u64) -> u32 {
        match self.index_of.get(&id) {
            Some(index) => self.nodes[*index as usize].tokens,
            None => 0,
        }
    }

    /// Inserts a segment or updates its length, and makes it the most recently used.
    fn touch(&mut self, segment: PromptSegment) {
        let index = match self.index_of.get(&segment.id) {
            Some(index) => {
                let index = *index;
                self.unlink(index);
                index
            }
            None => self.insert(segment.id),
        };
        let node = &mut self.nodes[index as usize];
        self.tokens += u64::from(segment.tokens);
        self.tokens -= u64::from(node.tokens);
        node.tokens = segment.tokens;
        self.link_newest(index);
    }

    fn insert(&mut self, id: u64) -> u32 {
        let node = SegmentNode {
            id,
            tokens: 0,
            newer: NIL,
            older: NIL,
        };
        let index = match self.free_nodes.pop() {
            Some(index) => {
                self.nodes[index as usize] = node;
                index
            }
            None => {
                self.nodes.push(node);
                (self.nodes.len() - 1) as u32
            }
        };
        self.index_of.insert(id, index);
        index
    }

    /// Removes the least recently used segment; false if there is none.
    fn evict_oldest(&mut self) -> bool {
        if self.oldest == NIL {
            return false;
        }
        let id = self.nodes[self.oldest as usize].id;
        self.remove(id);
        true
    }

    fn release(&mut self, index: u32) {
        self.unlink(index);
        self.tokens -= u64::from(self.nodes[index as usize].tokens);
        self.free_nodes.push(index);
    }

    fn unlink(&mut self, index: u32) {
        let SegmentNode { newer, older, .. } = self.nodes[index as usize];
        match newer {
            NIL => self.newest = older,
            newer => self.nodes[newer as usize].older = older,
        }
        match older {
            NIL => self.oldest = newer,
            older => self.nodes[older as usize].newer = newer,
        }
    }

    fn link_newest(&mut self, index: u32) {
        let previous_newest = self.newest;
        let node = &mut self.nodes[index as usize];
        node.newer = NIL;
        node.older = previous_newest;
        match previous_newest {
            NIL => self.oldest = index,
            previous_newest => self.nodes[previous_newest as usize].newer = index,
        }
        self.newest = index;
    }
}

#[cfg(test)]
mod tests;
