//! How far a new disk is: when it takes turns, and when it holds all that it should.

use super::{peers, Declaration, DiskWork, Effect, JobPurpose, StoreNode, SETTLE_MS};

/// How far the store is with its disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Wholeness {
    /// A new disk; some present store has not heard of this one yet, so no turns are taken.
    Joining,
    /// A new disk, being filled; turns are taken.
    Filling,
    /// All is there; the disk is being told.
    Marking,
    Whole,
}

impl StoreNode {
    /// Once noted, a life stays so: the core's numbers of lives only rise.
    pub(super) fn note_registration(&mut self) {
        let (incarnation, disk) = (self.settings.incarnation, self.disk);
        self.registered |= self
            .entry()
            .is_some_and(|own| own.incarnation == incarnation && own.disk == disk);
    }

    pub(super) fn marked(&mut self, written: bool, now_ms: u64) {
        if !written {
            // Not at once again: a disk that fails would be asked without end.
            self.settled_at_ms = now_ms.saturating_add(SETTLE_MS);
            return self.enter_wholeness(Wholeness::Filling);
        }
        self.enter_wholeness(Wholeness::Whole);
        self.effects.push_back(Effect::Declare(Declaration::Whole));
    }

    pub(super) fn enter_wholeness(&mut self, wholeness: Wholeness) {
        self.wholeness = wholeness;
    }

    pub(super) fn judge_wholeness(&mut self, now_ms: u64) {
        if self.wholeness == Wholeness::Joining && self.is_introduced() {
            self.enter_wholeness(Wholeness::Filling);
        }
        if self.wholeness != Wholeness::Filling || !self.is_filled() {
            return;
        }
        if now_ms >= self.settled_at_ms && self.repair.began_at_ms() < self.settled_at_ms {
            self.pull_from_all(now_ms);
            self.pull(now_ms);
        }
        // With no other store present the pass has ended as it began.
        if self.repair.began_at_ms() >= self.settled_at_ms && self.is_filled() {
            self.enter_wholeness(Wholeness::Marking);
            self.work(JobPurpose::MarkWhole, DiskWork::MarkWhole);
        }
    }

    /// Everything that the others had for this store is here.
    pub(super) fn is_filled(&self) -> bool {
        self.repair.is_done() && self.completions.is_idle()
    }

    /// Every present store has heard of this one. Against readers with an old list: without it they could call
    /// a turn unknown that only stores lie on that they have never heard of.
    pub(super) fn is_introduced(&self) -> bool {
        let listed = self.entry().is_some();
        listed
            && self.registered
            && peers(&self.stores, &self.settings.name)
                .all(|peer| self.introduced_to.contains(&peer.name))
    }
}
