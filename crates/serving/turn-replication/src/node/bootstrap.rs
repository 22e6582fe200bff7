//! Filling a new disk: when the store begins to accept turns, and when the disk becomes complete.

use super::interface::{Declaration, DiskOutcome, DiskWork, Effect};
use super::membership::present_peers;
use super::phases::BootstrapPhase;
use super::purposes::JobPurpose;
use super::state::{StoreNode, BOOTSTRAP_GRACE_MS};

impl StoreNode {
    /// Records whether the core has registered this incarnation. A registered incarnation stays registered, because the
    /// core's incarnation numbers only increase.
    pub(super) fn record_registration(&mut self) {
        let incarnation = self.settings.incarnation;
        let disk = self.disk;
        let is_registered = self
            .own_entry()
            .is_some_and(|own| own.incarnation == incarnation && own.disk == disk);
        self.is_registered |= is_registered;
    }

    /// Handles the end of the disk job that records the disk as complete.
    pub(super) fn completeness_marked(&mut self, outcome: &DiskOutcome, now_ms: u64) {
        if *outcome == DiskOutcome::Failed {
            // Waits before the next attempt, so that a failing disk is not retried in a busy loop.
            self.grace_ends_at_ms = now_ms.saturating_add(BOOTSTRAP_GRACE_MS);
            self.bootstrap = BootstrapPhase::Backfilling;
            return;
        }
        self.bootstrap = BootstrapPhase::Complete;
        self.effects
            .push_back(Effect::Declare(Declaration::Complete));
    }

    /// Moves a new disk to the next phase once the conditions for that phase are met.
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
        // With no other store present, the pass has ended already.
        if self.anti_entropy.began_at_ms() >= self.grace_ends_at_ms && self.has_caught_up() {
            self.bootstrap = BootstrapPhase::Marking;
            self.submit_job(JobPurpose::MarkComplete, DiskWork::MarkComplete);
        }
    }

    /// Whether the current pass has ended and no search for missing ancestors is in progress.
    pub(super) fn has_caught_up(&self) -> bool {
        self.anti_entropy.is_done() && self.completions.is_idle()
    }

    /// Whether the core and every present store know this store. Otherwise a reader with a stale membership could
    /// conclude "unknown" for a turn that is only on stores missing from that membership.
    fn is_known_to_all(&self) -> bool {
        let mut peers = present_peers(&self.stores, &self.settings.name);
        self.own_entry().is_some()
            && self.is_registered
            && peers.all(|peer| self.known_to.contains(&peer.name))
    }
}
