//! What one store holds, in memory: headers, chains and expiry; no bodies.
//!
//! Expiry runs on the steady clock: a turn gets its term when it arrives, so that a step of the wall clock
//! deletes nothing. Only at the start, when no better is known, is the wall clock compared with the dates on
//! disk, and then bounded from below. A turn never expires before one that goes on from it.

use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, HashSet};
use std::ops::Bound;
use std::sync::Arc;

use crate::message::{ListedTurn, PAGE_IDS, PAGE_ID_BYTES};
use crate::placement;
use crate::roster::Candidate;
use crate::turn::{TurnHeader, RETENTION_MARGIN_MS};

/// A header as it is read from the disk at the start.
pub type IndexEntry = TurnHeader;

/// What a turn that was read is kept for at least, in milliseconds: whoever asked for it is about to go on
/// from it, and its chain must still be there when that turn has ended.
pub const READ_HOLD_MS: u64 = 30_000;
/// By how much the wall clock may have stepped ahead without a turn being deleted too early after a start.
pub const CLOCK_STEP_BOUND_MS: u64 = 120_000;
/// The least term after a start, whatever the wall clock says.
pub const LEAST_TERM_AFTER_START_MS: u64 = RETENTION_MARGIN_MS;

#[derive(Debug)]
struct Record {
    previous: Option<Arc<str>>,
    program: Arc<str>,
    size: u64,
    /// Steady clock.
    expires_at_ms: u64,
}

/// A chain or its newest part, as far as this store holds it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeldChain {
    /// Newest first.
    pub ids: Vec<Arc<str>>,
    /// The next older turn.
    pub missing: Option<Arc<str>>,
    /// The store holds it, but there was no room for it.
    pub more: bool,
}

/// A page of a listing, see [`Index::missing_at`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    pub turns: Vec<ListedTurn>,
    /// Where the following page goes on; none after the last.
    pub next: Option<String>,
}

/// Most records looked at for one page of a listing, so that no page takes long.
const SCAN_BOUND: usize = 4_000;

/// Index of the turns on one disk.
#[derive(Debug, Default)]
pub struct Index {
    records: BTreeMap<Arc<str>, Record>,
    /// Turns that a held one goes on from, but which are not held; with the latest expiry of the former.
    dangling: BTreeMap<Arc<str>, u64>,
    /// One string for all turns of a program.
    programs: HashSet<Arc<str>>,
    bytes: u64,
}

impl Index {
    /// Rebuilds the index at a start, `wall_ms` by the wall clock and `now_ms` by the steady one.
    pub fn load(entries: Vec<IndexEntry>, wall_ms: u64, now_ms: u64) -> Self {
        let mut index = Self::default();
        for entry in entries {
            let term = term_after_start(&entry, wall_ms);
            index.insert(&entry, now_ms.saturating_add(term));
        }
        index
    }

    /// Adds a turn; known ones only have their expiry extended.
    pub fn insert(&mut self, header: &TurnHeader, expires_at_ms: u64) {
        let id: Arc<str> = Arc::from(header.id.as_str());
        let awaited = self.dangling.remove(&id).unwrap_or(0);
        let expires_at_ms = expires_at_ms.max(awaited);
        if self.records.contains_key(&id) {
            return self.extend(&id, expires_at_ms);
        }
        let previous = header
            .previous
            .as_deref()
            .map(|previous| self.shared_id(previous));
        let program = self.shared_program(&header.program);
        self.bytes += header.size;
        let record = Record {
            previous: previous.clone(),
            program,
            size: header.size,
            expires_at_ms,
        };
        self.records.insert(id, record);
        if let Some(previous) = previous {
            self.extend(&previous, expires_at_ms);
        }
    }

    /// Keeps a turn and its ancestors until `expires_at_ms` at least.
    pub fn extend(&mut self, id: &str, expires_at_ms: u64) {
        let mut next: Option<Arc<str>> = Some(Arc::from(id));
        while let Some(id) = next {
            let Some(record) = self.records.get_mut(&id) else {
                self.await_ancestor(id, expires_at_ms);
                return;
            };
            // Ancestors expire no earlier than this one: nothing to do further up.
            if record.expires_at_ms >= expires_at_ms {
                return;
            }
            record.expires_at_ms = expires_at_ms;
            next = record.previous.clone();
        }
    }

    fn await_ancestor(&mut self, id: Arc<str>, expires_at_ms: u64) {
        match self.dangling.entry(id) {
            Entry::Occupied(mut entry) => {
                let latest = expires_at_ms.max(*entry.get());
                entry.insert(latest);
            }
            Entry::Vacant(entry) => {
                entry.insert(expires_at_ms);
            }
        }
    }

    pub fn contains(&self, id: &str) -> bool {
        self.records.contains_key(id)
    }

    /// Whether the id is held and names the same turn, as far as the index can tell.
    pub fn agrees_with(&self, header: &TurnHeader) -> bool {
        self.records.get(header.id.as_str()).is_some_and(|record| {
            record.previous.as_deref() == header.previous.as_deref()
                && *record.program == *header.program
                && record.size == header.size
        })
    }

    /// How long a turn is still kept.
    pub fn remaining_ms(&self, id: &str, now_ms: u64) -> Option<u64> {
        self.records
            .get(id)
            .map(|record| record.expires_at_ms.saturating_sub(now_ms))
    }

    /// What a turn takes.
    pub fn size(&self, id: &str) -> Option<u64> {
        self.records.get(id).map(|record| record.size)
    }

    /// Number of turns held.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// What all turns held take.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// The newest part of the chain that ends in `id`, within `most_bytes` but one turn at least; none if the
    /// turn is not held or past its time.
    pub fn chain(&self, id: &str, most_bytes: u64, now_ms: u64) -> Option<HeldChain> {
        let (first, record) = self.records.get_key_value(id)?;
        if record.expires_at_ms <= now_ms {
            return None;
        }
        let mut chain = HeldChain {
            ids: vec![first.clone()],
            missing: record.previous.clone(),
            more: false,
        };
        let mut bytes = record.size;
        while let Some(older) = chain.missing.clone() {
            let Some(record) = self.records.get(&older) else {
                break;
            };
            bytes += record.size;
            // The second bound is against a ring of ids, which no honest writer makes.
            if bytes > most_bytes || chain.ids.len() >= self.records.len() {
                chain.more = true;
                break;
            }
            chain.ids.push(older);
            chain.missing = record.previous.clone();
        }
        Some(chain)
    }

    /// The first turn on the way from `id` to the start of its chain that is not held.
    pub fn first_missing(&self, id: &str) -> Option<String> {
        let mut id = id;
        for _ in 0..=self.records.len() {
            let Some(record) = self.records.get(id) else {
                return Some(id.to_owned());
            };
            id = record.previous.as_deref()?;
        }
        None
    }

    /// Turns that are not held though others go on from them.
    pub fn dangling(&self) -> impl Iterator<Item = &str> {
        self.dangling.keys().map(|id| &**id)
    }

    pub fn has_dangling(&self) -> bool {
        !self.dangling.is_empty()
    }

    /// Forgets the turns past their time; they are to be deleted from the disk.
    pub fn expire(&mut self, now_ms: u64) -> Vec<String> {
        self.dangling
            .retain(|_, expires_at_ms| *expires_at_ms > now_ms);
        let gone: Vec<Arc<str>> = self
            .records
            .iter()
            .filter(|(_, record)| record.expires_at_ms <= now_ms)
            .map(|(id, _)| id.clone())
            .collect();
        for id in &gone {
            self.forget(id);
        }
        if !gone.is_empty() {
            self.programs
                .retain(|program| Arc::strong_count(program) > 1);
        }
        gone.iter().map(|id| id.to_string()).collect()
    }

    fn forget(&mut self, id: &str) {
        if let Some(record) = self.records.remove(id) {
            self.bytes -= record.size;
        }
    }

    /// The turns after id `after` that `store` should hold, were the candidates all the stores there are.
    pub fn missing_at(
        &self,
        store: &str,
        candidates: &[Candidate],
        copies: usize,
        after: Option<&str>,
        now_ms: u64,
    ) -> Page {
        let start = after.map_or(Bound::Unbounded, Bound::Excluded);
        let mut page = Page::default();
        let mut id_bytes = 0;
        for (scanned, (id, record)) in self
            .records
            .range::<str, _>((start, Bound::Unbounded))
            .enumerate()
        {
            if record.expires_at_ms > now_ms
                && placement::is_home(&record.program, store, candidates, copies)
            {
                page.turns.push(ListedTurn {
                    id: id.to_string(),
                    size: record.size,
                });
                id_bytes += id.len();
            }
            if page.turns.len() >= PAGE_IDS
                || id_bytes >= PAGE_ID_BYTES
                || scanned + 1 >= SCAN_BOUND
            {
                page.next = Some(id.to_string());
                break;
            }
        }
        page
    }

    fn shared_id(&self, id: &str) -> Arc<str> {
        match self.records.get_key_value(id) {
            Some((held, _)) => held.clone(),
            None => Arc::from(id),
        }
    }

    fn shared_program(&mut self, program: &str) -> Arc<str> {
        if let Some(known) = self.programs.get(program) {
            return known.clone();
        }
        let program: Arc<str> = Arc::from(program);
        self.programs.insert(program.clone());
        program
    }
}

fn term_after_start(entry: &IndexEntry, wall_ms: u64) -> u64 {
    let full = entry.full_term_ms();
    let ends_at = entry
        .ended_at_ms
        .saturating_add(full)
        .saturating_add(CLOCK_STEP_BOUND_MS);
    let least = LEAST_TERM_AFTER_START_MS.min(full);
    ends_at.saturating_sub(wall_ms).clamp(least, full)
}
