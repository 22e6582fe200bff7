//! In-memory index of the turns that one store holds: headers, chains and expiry, but no bodies.
//!
//! Expiry follows the steady clock: the retention of a turn begins when the turn arrives, so that a step of the wall
//! clock deletes nothing. Only at the start is the wall clock compared with the dates on disk, because no steady time
//! is known for these turns; the remaining retention then has a minimum. A turn never expires before a turn that
//! continues it.

use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::ops::Bound;
use std::sync::Arc;

use crate::membership::Candidate;
use crate::message::{ListedTurn, PAGE_IDS, PAGE_ID_BYTES};
use crate::placement;
use crate::turn::{TurnHeader, RETENTION_MARGIN_MS};

/// Minimum remaining retention of a turn that was read, in milliseconds: the reader is about to continue the turn,
/// and its chain must still be stored when the new turn ends.
pub const READ_EXTENSION_MS: u64 = 30_000;
/// Forward step of the wall clock, in milliseconds, up to which no turn is deleted too early after a start.
pub const MAX_CLOCK_STEP_MS: u64 = 120_000;
/// Minimum remaining retention after a start, in milliseconds, whatever the wall clock says.
pub const MIN_RETENTION_AFTER_START_MS: u64 = RETENTION_MARGIN_MS;

/// Maximum number of records examined for one page of a listing; this bounds the time that a page takes.
const MAX_SCANNED_RECORDS: usize = 4_000;

#[derive(Debug)]
struct Record {
    previous: Option<Arc<str>>,
    program: Arc<str>,
    size: u64,
    /// By the steady clock.
    expires_at_ms: u64,
}

/// The part of a chain that this store holds, or the newest part of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredChain {
    /// Ids of the turns, newest first.
    pub ids: Vec<Arc<str>>,
    /// The next older turn; `None` if the chain is complete.
    pub missing: Option<Arc<str>>,
    /// The store holds the next older turn too, but it exceeded the limit.
    pub has_more: bool,
}

/// A page of a listing, see [`Index::page_for_replica`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// The turns, by increasing id.
    pub turns: Vec<ListedTurn>,
    /// The following page begins after this id; `None` on the last page.
    pub next: Option<String>,
}

/// Index of the turns on one disk.
#[derive(Debug, Default)]
pub struct Index {
    records: BTreeMap<Arc<str>, Record>,
    /// Ids of turns that are not stored though a stored turn continues them, with the latest expiry of the turns that
    /// continue them.
    dangling: BTreeMap<Arc<str>, u64>,
    /// Interned program names: all turns of a program share one string.
    programs: HashSet<Arc<str>>,
    bytes: u64,
}

impl Index {
    /// Rebuilds the index at a start, from the headers on disk. `wall_ms` is the time by the wall clock, `now_ms` by
    /// the steady clock.
    #[must_use]
    pub fn load(headers: Vec<TurnHeader>, wall_ms: u64, now_ms: u64) -> Self {
        let mut index = Self::default();
        for header in headers {
            let remaining_ms = retention_after_start_ms(&header, wall_ms);
            index.insert(&header, now_ms.saturating_add(remaining_ms));
        }
        index
    }

    /// Adds a turn. If the turn is stored already, only its expiry is extended.
    pub fn insert(&mut self, header: &TurnHeader, expires_at_ms: u64) {
        let id: Arc<str> = Arc::from(header.id.as_str());
        let needed_until_ms = self.dangling.remove(&id).unwrap_or(0);
        let expires_at_ms = expires_at_ms.max(needed_until_ms);
        if self.records.contains_key(&id) {
            return self.extend_retention(&id, expires_at_ms);
        }
        let previous = header.previous.as_deref();
        let previous = previous.map(|previous| self.intern_id(previous));
        let program = self.intern_program(&header.program);
        self.bytes += header.size;
        let record = Record {
            previous: previous.clone(),
            program,
            size: header.size,
            expires_at_ms,
        };
        self.records.insert(id, record);
        if let Some(previous) = previous {
            self.extend_retention(&previous, expires_at_ms);
        }
    }

    /// Retains a turn and its ancestors until `expires_at_ms` at least.
    pub fn extend_retention(&mut self, id: &str, expires_at_ms: u64) {
        let mut next: Option<Arc<str>> = Some(Arc::from(id));
        while let Some(id) = next {
            let Some(record) = self.records.get_mut(&id) else {
                self.record_dangling(id, expires_at_ms);
                return;
            };
            // Ancestors expire no earlier than this turn, so the rest of the chain needs no update.
            if record.expires_at_ms >= expires_at_ms {
                return;
            }
            record.expires_at_ms = expires_at_ms;
            next = record.previous.clone();
        }
    }

    fn record_dangling(&mut self, id: Arc<str>, expires_at_ms: u64) {
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

    /// Whether the turn is stored.
    #[must_use]
    pub fn contains(&self, id: &str) -> bool {
        self.records.contains_key(id)
    }

    /// Whether a turn with this id is stored and has the same previous turn, program and size.
    #[must_use]
    pub fn contains_same_turn(&self, header: &TurnHeader) -> bool {
        self.records.get(header.id.as_str()).is_some_and(|record| {
            record.previous.as_deref() == header.previous.as_deref()
                && *record.program == *header.program
                && record.size == header.size
        })
    }

    /// Remaining retention of a turn, in milliseconds; `None` if the turn is not stored.
    #[must_use]
    pub fn remaining_ms(&self, id: &str, now_ms: u64) -> Option<u64> {
        let record = self.records.get(id)?;
        Some(record.expires_at_ms.saturating_sub(now_ms))
    }

    /// Bytes that a turn takes; `None` if the turn is not stored.
    #[must_use]
    pub fn size(&self, id: &str) -> Option<u64> {
        self.records.get(id).map(|record| record.size)
    }

    /// Number of stored turns.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no turn is stored.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Total bytes of all stored turns.
    #[must_use]
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// The newest part of the chain that ends in `id`: at most `max_bytes`, but at least one turn. `None` if the turn
    /// is not stored or has expired.
    #[must_use]
    pub fn chain(&self, id: &str, max_bytes: u64, now_ms: u64) -> Option<StoredChain> {
        let (first, record) = self.records.get_key_value(id)?;
        if record.expires_at_ms <= now_ms {
            return None;
        }
        let mut chain = StoredChain {
            ids: vec![first.clone()],
            missing: record.previous.clone(),
            has_more: false,
        };
        let mut bytes = record.size;
        while let Some(older) = chain.missing.clone() {
            let Some(record) = self.records.get(&older) else {
                break;
            };
            bytes += record.size;
            // The limit of the length guards against a cycle of ids, which no correct writer produces.
            if bytes > max_bytes || chain.ids.len() >= self.records.len() {
                chain.has_more = true;
                break;
            }
            chain.ids.push(older);
            chain.missing = record.previous.clone();
        }
        Some(chain)
    }

    /// The first turn that is not stored, going from `id` towards the start of its chain.
    #[must_use]
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

    /// Ids of turns that are not stored though a stored turn continues them.
    pub fn dangling(&self) -> impl Iterator<Item = &str> {
        self.dangling.keys().map(|id| &**id)
    }

    /// Whether a stored turn continues a turn that is not stored.
    #[must_use]
    pub fn has_dangling(&self) -> bool {
        !self.dangling.is_empty()
    }

    /// Removes the expired turns and returns their ids; the caller has to delete these turns from the disk.
    #[must_use]
    pub fn remove_expired(&mut self, now_ms: u64) -> Vec<String> {
        self.dangling
            .retain(|_, expires_at_ms| *expires_at_ms > now_ms);
        let expired: Vec<Arc<str>> = self
            .records
            .iter()
            .filter(|(_, record)| record.expires_at_ms <= now_ms)
            .map(|(id, _)| id.clone())
            .collect();
        for id in &expired {
            self.remove(id);
        }
        if !expired.is_empty() {
            self.programs
                .retain(|program| Arc::strong_count(program) > 1);
        }
        expired.iter().map(|id| id.to_string()).collect()
    }

    fn remove(&mut self, id: &str) {
        if let Some(record) = self.records.remove(id) {
            self.bytes -= record.size;
        }
    }

    /// A page of the turns that `store` should hold if turns are placed on the given candidates. The page begins after
    /// the id `after`.
    #[must_use]
    pub fn page_for_replica<'a>(
        &'a self,
        store: &str,
        candidates: &[Candidate],
        replication_factor: usize,
        after: Option<&str>,
        now_ms: u64,
    ) -> Page {
        let start = after.map_or(Bound::Unbounded, Bound::Excluded);
        let records = self.records.range::<str, _>((start, Bound::Unbounded));
        // Many turns belong to one program: the placement of each program is computed once.
        let mut placed: HashMap<&str, bool> = HashMap::new();
        let mut is_wanted = |record: &'a Record| {
            record.expires_at_ms > now_ms
                && *placed.entry(&record.program).or_insert_with(|| {
                    placement::is_replica(&record.program, store, candidates, replication_factor)
                })
        };
        let mut page = Page::default();
        let mut id_bytes = 0;
        for (scanned, (id, record)) in records.enumerate() {
            if is_wanted(record) {
                page.turns.push(ListedTurn {
                    id: id.to_string(),
                    size: record.size,
                });
                id_bytes += id.len();
            }
            let is_full = page.turns.len() >= PAGE_IDS || id_bytes >= PAGE_ID_BYTES;
            if is_full || scanned + 1 >= MAX_SCANNED_RECORDS {
                page.next = Some(id.to_string());
                break;
            }
        }
        page
    }

    fn intern_id(&self, id: &str) -> Arc<str> {
        match self.records.get_key_value(id) {
            Some((stored, _)) => stored.clone(),
            None => Arc::from(id),
        }
    }

    fn intern_program(&mut self, program: &str) -> Arc<str> {
        if let Some(known) = self.programs.get(program) {
            return known.clone();
        }
        let program: Arc<str> = Arc::from(program);
        self.programs.insert(program.clone());
        program
    }
}

/// Remaining retention of a turn that was found on disk at a start, in milliseconds.
fn retention_after_start_ms(header: &TurnHeader, wall_ms: u64) -> u64 {
    let full_ms = header.retention_with_margin_ms();
    let ends_at_ms = header
        .ended_at_ms
        .saturating_add(full_ms)
        .saturating_add(MAX_CLOCK_STEP_MS);
    let min_ms = MIN_RETENTION_AFTER_START_MS.min(full_ms);
    ends_at_ms.saturating_sub(wall_ms).clamp(min_ms, full_ms)
}
