//! Chooses the preferred limiter for each slot by rendezvous hashing (Thaler and Ravishankar, 1998) over the
//! names of live limiters: a restarted limiter keeps its slots, a join moves only the new limiter's share, and
//! the slots of a dead limiter are spread over the others.

use crate::table::Session;
use crate::{Settings, Slot};
use std::collections::{BTreeMap, BTreeSet};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A session that may hold slots.
#[derive(Debug)]
struct Candidate {
    name_hash: u64,
    zone: String,
}

/// How well a session is placed for a slot; ordered by score, ties by session.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Preference {
    score: u64,
    session: u64,
}

/// The preferred session of each slot, updated as sessions join and leave.
#[derive(Debug, Default)]
pub struct Placement {
    preferred: Vec<Option<Preference>>,
    candidates: BTreeMap<u64, Candidate>,
    /// The zone that each slot is bound to, if any.
    zones: Vec<Option<String>>,
}

fn score(name_hash: u64, slot: Slot) -> u64 {
    xxh3_64_with_seed(&slot.to_le_bytes(), name_hash)
}

impl Placement {
    /// Creates a placement without sessions.
    #[must_use]
    pub fn new(settings: &Settings) -> Self {
        let zone = |slot| settings.slot_info(slot).zone.map(str::to_owned);
        let zones: Vec<_> = (0..settings.slots()).map(zone).collect();
        Placement {
            preferred: vec![None; zones.len()],
            candidates: BTreeMap::new(),
            zones,
        }
    }

    /// Sets the sessions that may hold slots. The cost is one score per slot for each session that joined, and
    /// one score per session for each slot of a session that left.
    pub fn update(&mut self, sessions: &BTreeMap<u64, Session>, live: &BTreeSet<u64>) {
        let known = self.candidates.keys();
        let left: Vec<u64> = known.filter(|id| !live.contains(id)).copied().collect();
        let joined = live.iter().filter(|id| !self.candidates.contains_key(id));
        let joined: Vec<u64> = joined.copied().collect();
        if left.is_empty() && joined.is_empty() {
            return;
        }
        for id in &left {
            self.candidates.remove(id);
        }
        for id in &joined {
            if let Some(session) = sessions.get(id) {
                let candidate = Candidate {
                    name_hash: xxh3_64_with_seed(session.name.as_bytes(), 0),
                    zone: session.zone.clone(),
                };
                self.candidates.insert(*id, candidate);
            }
        }
        for slot in 0..self.preferred.len() {
            self.update_slot(slot as Slot, &left, &joined);
        }
    }

    fn update_slot(&mut self, slot: Slot, left: &[u64], joined: &[u64]) {
        let current = self.preferred[slot as usize];
        let preferred_left = current.is_some_and(|preference| left.contains(&preference.session));
        let best = if preferred_left {
            let candidates = self.candidates.keys().copied();
            candidates.filter_map(|id| self.preference(slot, id)).max()
        } else {
            let new = joined.iter().filter_map(|id| self.preference(slot, *id));
            current.max(new.max())
        };
        self.preferred[slot as usize] = best;
    }

    /// The session's preference for a slot; None if the slot is bound to another zone.
    fn preference(&self, slot: Slot, session: u64) -> Option<Preference> {
        let candidate = self.candidates.get(&session)?;
        let zone = self.zones[slot as usize].as_deref();
        let zone_matches = zone.is_none_or(|zone| zone == candidate.zone);
        zone_matches.then(|| Preference {
            score: score(candidate.name_hash, slot),
            session,
        })
    }

    /// The preferred session of a slot.
    #[must_use]
    pub fn preferred(&self, slot: Slot) -> Option<u64> {
        self.preferred[slot as usize].map(|preference| preference.session)
    }

    /// The best placed session for a slot that is not excluded.
    pub fn preferred_except(&self, slot: Slot, excluded: impl Fn(u64) -> bool) -> Option<u64> {
        let preferred = self.preferred(slot);
        if preferred.is_none_or(|session| !excluded(session)) {
            return preferred;
        }
        let others = self.candidates.keys().filter(|id| !excluded(**id));
        let best = others.filter_map(|id| self.preference(slot, *id)).max();
        best.map(|preference| preference.session)
    }
}
