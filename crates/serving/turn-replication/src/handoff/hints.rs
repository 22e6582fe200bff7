//! Hints: the turns that this store accepted as a substitute for a replica.
//!
//! Hints are kept in memory only, and their number is limited. A replica that returns also pulls its missing turns, so
//! a lost hint costs time but no turn.

use std::collections::{BTreeMap, BTreeSet};

use thiserror::Error;

use crate::index::Index;
use crate::message::{PAGE_IDS, PAGE_ID_BYTES};

/// Delay before a hinted turn is handed over, in milliseconds: by then a replica that was only slow holds the turn.
pub const HINT_DELAY_MS: u64 = 1_000;
/// Maximum number of hints for all replicas together.
const MAX_HINTS: usize = 20_000;

/// A hint was not recorded because the hint table is full.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("there are {MAX_HINTS} hints already")]
pub struct HintTableFull;

/// Ids of the turns to be handed to one replica, and the earliest time of the handoff.
#[derive(Debug, Default)]
struct ReplicaHints {
    ids: BTreeSet<String>,
    not_before_ms: u64,
}

/// Hints by replica.
#[derive(Debug, Default)]
pub(super) struct HintTable {
    replicas: BTreeMap<String, ReplicaHints>,
}

impl HintTable {
    /// Records that this turn has to be handed to `replica`.
    pub(super) fn add(
        &mut self,
        replica: &str,
        id: &str,
        now_ms: u64,
    ) -> Result<(), HintTableFull> {
        let count: usize = self.replicas.values().map(|hints| hints.ids.len()).sum();
        if count >= MAX_HINTS {
            return Err(HintTableFull);
        }
        let hints = self.replicas.entry(replica.to_owned()).or_default();
        if hints.ids.is_empty() {
            hints.not_before_ms = now_ms.saturating_add(HINT_DELAY_MS);
        }
        hints.ids.insert(id.to_owned());
        Ok(())
    }

    /// Removes the hints of a replica for the given turns.
    pub(super) fn remove(&mut self, replica: &str, ids: &[String]) {
        let Some(hints) = self.replicas.get_mut(replica) else {
            return;
        };
        for id in ids {
            hints.ids.remove(id);
        }
        if hints.ids.is_empty() {
            self.replicas.remove(replica);
        }
    }

    /// Removes the hints for turns that are no longer in the index.
    pub(super) fn remove_expired(&mut self, index: &Index) {
        for hints in self.replicas.values_mut() {
            hints.ids.retain(|id| index.contains(id));
        }
        self.replicas.retain(|_, hints| !hints.ids.is_empty());
    }

    /// Postpones the next handoff to the replica until the given time.
    pub(super) fn postpone(&mut self, replica: &str, not_before_ms: u64) {
        if let Some(hints) = self.replicas.get_mut(replica) {
            hints.not_before_ms = not_before_ms;
        }
    }

    /// Whether the replica has any hint.
    pub(super) fn contains(&self, replica: &str) -> bool {
        self.replicas.contains_key(replica)
    }

    /// When the first hint for a present replica is due, in milliseconds.
    pub(super) fn next_due(&self, is_present: impl Fn(&str) -> bool) -> Option<u64> {
        let present = self.replicas.iter().filter(|(name, _)| is_present(name));
        present.map(|(_, hints)| hints.not_before_ms).min()
    }

    /// A present replica whose hints are due, and as many of the hinted ids as one offer may carry.
    pub(super) fn next_page(
        &self,
        is_present: impl Fn(&str) -> bool,
        now_ms: u64,
    ) -> Option<(&str, Vec<String>)> {
        let (replica, hints) = self
            .replicas
            .iter()
            .find(|(name, hints)| is_present(name) && hints.not_before_ms <= now_ms)?;
        Some((replica, hints.first_page()))
    }
}

impl ReplicaHints {
    /// As many of the hinted ids as one offer may carry.
    fn first_page(&self) -> Vec<String> {
        let mut bytes = 0;
        let fits = |id: &&String| {
            let fits = bytes < PAGE_ID_BYTES;
            bytes += id.len();
            fits
        };
        let ids = self.ids.iter().take(PAGE_IDS);
        ids.take_while(fits).cloned().collect()
    }
}
