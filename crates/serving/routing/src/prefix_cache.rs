//! Which parts of prompts an engine is likely to hold, judged by what this gateway sent there.

use crate::rendezvous::IdMap;
use crate::types::Part;

/// Parts remembered for one engine. Bounds memory against callers that name ever new parts.
const MOST_PARTS: usize = 512;
/// The end of the list of parts by use.
const NONE: u32 = u32::MAX;

#[derive(Debug, Clone, Copy)]
struct Entry {
    id: u64,
    tokens: u32,
    newer: u32,
    older: u32,
}

/// Parts by last use; the ones unused longest give way once the tokens exceed the capacity.
#[derive(Debug)]
pub(crate) struct PrefixCache {
    places: IdMap<u32>,
    entries: Vec<Entry>,
    free: Vec<u32>,
    newest: u32,
    oldest: u32,
    tokens: u64,
}

impl PrefixCache {
    pub(crate) fn new() -> Self {
        Self {
            places: IdMap::default(),
            entries: Vec::new(),
            free: Vec::new(),
            newest: NONE,
            oldest: NONE,
            tokens: 0,
        }
    }

    /// Tokens held of a prompt: a part counts only if every part before it is held whole. A part that has
    /// grown under its id counts as far as it was sent.
    pub(crate) fn held(&self, prefix: &[Part]) -> u64 {
        let mut held = 0;
        for part in prefix {
            let kept = self.tokens_of(part.id).min(part.tokens);
            held += u64::from(kept);
            if kept < part.tokens {
                break;
            }
        }
        held
    }

    /// Whether a part is held, in whatever length.
    pub(crate) fn holds(&self, id: u64) -> bool {
        self.places.contains_key(&id)
    }

    /// Notes that a prompt was sent; the first parts count as used last, as later ones are of no use alone.
    pub(crate) fn sent(&mut self, prefix: &[Part], capacity: u64) {
        for part in prefix.iter().rev() {
            self.touch(*part);
        }
        while self.tokens > capacity || self.places.len() > MOST_PARTS {
            if !self.drop_oldest() {
                break;
            }
        }
    }

    /// Forgets a part that was not read after all.
    pub(crate) fn forget(&mut self, id: u64) {
        if let Some(place) = self.places.remove(&id) {
            self.release(place);
        }
    }

    /// Tokens of all parts that are thought to be held.
    #[cfg(test)]
    pub(crate) fn tokens(&self) -> u64 {
        self.tokens
    }

    fn tokens_of(&self, id: u64) -> u32 {
        match self.places.get(&id) {
            Some(place) => self.entries[*place as usize].tokens,
            None => 0,
        }
    }

    fn touch(&mut self, part: Part) {
        let place = match self.places.get(&part.id) {
            Some(place) => {
                let place = *place;
                self.unlink(place);
                place
            }
            None => self.insert(part.id),
        };
        let entry = &mut self.entries[place as usize];
        self.tokens += u64::from(part.tokens);
        self.tokens -= u64::from(entry.tokens);
        entry.tokens = part.tokens;
        self.link_newest(place);
    }

    fn insert(&mut self, id: u64) -> u32 {
        let entry = Entry {
            id,
            tokens: 0,
            newer: NONE,
            older: NONE,
        };
        let place = match self.free.pop() {
            Some(place) => {
                self.entries[place as usize] = entry;
                place
            }
            None => {
                self.entries.push(entry);
                (self.entries.len() - 1) as u32
            }
        };
        self.places.insert(id, place);
        place
    }

    fn drop_oldest(&mut self) -> bool {
        if self.oldest == NONE {
            return false;
        }
        let id = self.entries[self.oldest as usize].id;
        self.forget(id);
        true
    }

    fn release(&mut self, place: u32) {
        self.unlink(place);
        self.tokens -= u64::from(self.entries[place as usize].tokens);
        self.free.push(place);
    }

    fn unlink(&mut self, place: u32) {
        let Entry { newer, older, .. } = self.entries[place as usize];
        match newer {
            NONE => self.newest = older,
            newer => self.entries[newer as usize].older = older,
        }
        match older {
            NONE => self.oldest = newer,
            older => self.entries[older as usize].newer = newer,
        }
    }

    fn link_newest(&mut self, place: u32) {
        let before = self.newest;
        let entry = &mut self.entries[place as usize];
        entry.newer = NONE;
        entry.older = before;
        match before {
            NONE => self.oldest = place,
            before => self.entries[before as usize].newer = place,
        }
        self.newest = place;
    }
}

#[cfg(test)]
mod tests;
