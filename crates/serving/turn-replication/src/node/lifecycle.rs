//! Whether the store is in use or draining, and the conditions under which it declares that it is drained.

use super::interface::{Declaration, Effect};
use super::phases::Lifecycle;
use super::state::StoreNode;
use crate::membership::Candidate;
use crate::safeguards::Safeguard;

impl StoreNode {
    /// Enters the state that the membership requires, unless a valid declaration that the store is drained keeps it
    /// drained.
    pub(super) fn update_lifecycle(&mut self, now_ms: u64) {
        match (self.lifecycle, Lifecycle::required_by(self.own_entry())) {
            // The declaration of this epoch is still valid.
            (Lifecycle::Drained { epoch: declared }, Lifecycle::Draining { epoch })
                if declared == epoch => {}
            (Lifecycle::Drained { .. }, Lifecycle::Draining { .. })
                if !self.safeguards.has(Safeguard::EpochsChecked) => {}
            (before, required) if before == required => {}
            (_, required) => self.enter_lifecycle(required, now_ms),
        }
    }

    fn enter_lifecycle(&mut self, lifecycle: Lifecycle, now_ms: u64) {
        self.lifecycle = lifecycle;
        match lifecycle {
            Lifecycle::Active | Lifecycle::Retired => self.handoffs.cancel_drain(),
            Lifecycle::Draining { .. } => self.restart_drain(now_ms),
            Lifecycle::Drained { epoch } => {
                let declaration = Declaration::Drained { epoch };
                self.effects.push_back(Effect::Declare(declaration));
            }
        }
    }

    pub(super) fn is_draining(&self) -> bool {
        matches!(self.lifecycle, Lifecycle::Draining { .. })
    }

    /// If this store is draining, starts over with offering all turns to the new replicas.
    pub(super) fn restart_drain(&mut self, now_ms: u64) {
        if !self.is_draining() {
            return;
        }
        // With too few candidates the store cannot be drained until another store has joined.
        let has_enough = self.candidates.len() >= self.settings.replication_factor;
        let replicas = if has_enough {
            &self.candidates[..]
        } else {
            &[]
        };
        let names: Vec<String> = replicas
            .iter()
            .map(|replica| replica.name.clone())
            .collect();
        self.handoffs.begin_drain(names, now_ms);
    }

    /// Whether the store accepts turns. A draining store does, as a last resort, until it declares that it is drained.
    pub(super) fn accepts_turns(&self) -> bool {
        match self.lifecycle {
            Lifecycle::Active => true,
            Lifecycle::Draining { .. } => self.safeguards.has(Safeguard::DrainingStoreAcceptsTurns),
            Lifecycle::Drained { .. } | Lifecycle::Retired => false,
        }
    }

    /// Declares that the store is drained, once the conditions for this are met.
    pub(super) fn advance_drain(&mut self, now_ms: u64) {
        let Lifecycle::Draining { epoch } = self.lifecycle else {
            return;
        };
        let is_idle = self.commits.is_idle() && self.completions.is_idle();
        if is_idle && self.handoffs.is_drained() && self.replicas_are_reliable() {
            self.enter_lifecycle(Lifecycle::Drained { epoch }, now_ms);
        }
    }

    /// Whether all stores that turns may be placed on are present and complete.
    fn replicas_are_reliable(&self) -> bool {
        let is_reliable = |candidate: &Candidate| {
            let mut stores = self.stores.iter();
            stores.any(|store| store.name == candidate.name && store.is_reliable())
        };
        self.candidates.iter().all(is_reliable)
            || !self.safeguards.has(Safeguard::ReplicasPresentAndComplete)
    }
}
