//! Hints: which turns this store accepted as a substitute for which replica.
//!
//! They are kept in memory only, within a limit: a replica that returns also pulls, so a lost hint costs time but
//! no turn.

use std::collections::{BTreeMap, BTreeSet};

use thiserror::Error;

use crate::index::Index;
use crate::message::{PAGE_IDS, PAGE_ID_BYTES};

/// A hinted turn is handed over after this long, in milliseconds: by then a replica that was only slow has it.
pub const HINT_DELAY_MS: u64 = 1_000;
/// Maximum number of hints for all replicas together.
const MAX_HINTS: usize = 20_000;

/// A hint could not be recorded: there are too many.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("there are {MAX_HINTS} hints already")]
pub struct HintTableFull;

/// Hints for one replica.
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
    /// Records that `replica` is to be handed this turn.
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

    /// Removes the hints for these turns.
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

    /// Removes the hints for turns that the index does not hold any more.
    pub(super) fn remove_expired(&mut self, index: &Index) {
        for hints in self.replicas.values_mut() {
            hints.ids.retain(|id| index.contains(id));
        }
        self.replicas.retain(|_, hints| !hints.ids.is_empty());
    }

    /// Hands nothing to the replica before the given time.
    pub(super) fn postpone(&mut self, replica: &str, not_before_ms: u64) {
        if let Some(hints) = self.replicas.get_mut(replica) {
            hints.not_before_ms = not_before_ms;
        }
    }

    /// Whether there is a hint for the replica.
    pub(super) fn contains(&self, replica: &str) -> bool {
        self.replicas.contains_key(replica)
    }

    /// When the first hint for a present replica is due.
    pub(super) fn next_due(&self, is_present: impl Fn(&str) -> bool) -> Option<u64> {
        let present = self.replicas.iter().filter(|(name, _)| is_present(name));
        present.map(|(_, hints)| hints.not_before_ms).min()
    }

    /// A present replica whose hints are due, and as many of their ids as one offer may carry.
    pub(super) fn next_page(
        &self,
        is_present: impl Fn(&str) -> bool,
        now_ms: u64,
    ) -> Option<(&str, Vec<String>)> {
        let (replica, hints) = self
            .replicas
            .iter()
            .find(|(name, hints)| is_present(name) && hints.not_before_ms <= now_ms)?;
        Some((replica, hints.page()))
    }
}

impl ReplicaHints {
    fn page(&self) -> Vec<String> {
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
