//! How far a new disk is: when the store accepts turns, and when it holds everything that it should.

use super::interface::{Declaration, DiskOutcome, DiskWork, Effect};
use super::membership::present_peers;
use super::phases::BootstrapPhase;
use super::purposes::JobPurpose;
use super::state::{StoreNode, BOOTSTRAP_GRACE_MS};

impl StoreNode {
    /// Once registered, an incarnation stays so: the core's incarnation numbers only increase.
    pub(super) fn record_registration(&mut self) {
        let incarnation = self.settings.incarnation;
        let disk = self.disk;
        let is_registered = self
            .own_entry()
            .is_some_and(|own| own.incarnation == incarnation && own.disk == disk);
        self.is_registered |= is_registered;
    }

    pub(super) fn completeness_marked(&mut self, outcome: &DiskOutcome, now_ms: u64) {
        if *outcome == DiskOutcome::Failed {
            // Not again at once: a disk that fails would be retried without end.
            self.grace_ends_at_ms = now_ms.saturating_add(BOOTSTRAP_GRACE_MS);
            self.bootstrap = BootstrapPhase::Backfilling;
            return;
        }
        self.bootstrap = BootstrapPhase::Complete;
        self.effects
            .push_back(Effect::Declare(Declaration::Complete));
    }

    pub(super) fn advance_bootstrap(&mut self, now_ms: u64) {
        if self.bootstrap == BootstrapPhase::Joining && self.is_known_to_all() {
            self.bootstrap = BootstrapPhase::Backfilling;
        }
        if self.bootstrap != BootstrapPhase::Backfilling || !self.has_caught_up() {
            return;
        }
        let grace_has_ended = now_ms >= self.grace_ends_at_ms;
        if grace_has_ended && self.anti_entropy.began_at_ms() < self.grace_ends_at_ms {
            self.pull_from_all(now_ms);
            self.continue_pull(now_ms);
        }
        // With no other store present the pass has ended as it began.
        if self.anti_entropy.began_at_ms() >= self.grace_ends_at_ms && self.has_caught_up() {
            self.bootstrap = BootstrapPhase::Marking;
            self.submit(JobPurpose::MarkComplete, DiskWork::MarkComplete);
        }
    }

    /// Everything that the others had for this store is here.
    pub(super) fn has_caught_up(&self) -> bool {
        self.anti_entropy.is_done() && self.completions.is_idle()
    }

    /// Whether every present store knows of this one. Otherwise readers with a stale membership could call a turn
    /// unknown that is only on stores which they have never heard of.
    fn is_known_to_all(&self) -> bool {
        let mut peers = present_peers(&self.stores, &self.settings.name);
        self.own_entry().is_some()
            && self.is_registered
            && peers.all(|peer| self.known_to.contains(&peer.name))
    }
}
