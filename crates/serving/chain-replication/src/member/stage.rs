//! The role of a member in the chain of its view, and which messages of the chain it accepts.

use super::state::freshness::Freshness;
use super::state::learner::Learner;
use super::state::replication::{Downstream, Stage, Upstream};
use super::Member;
use crate::durable::Write;
use crate::identity::MemberId;
use crate::safeguards::Safeguard;
use crate::view::{View, ViewNumber};
use crate::write_queue::Completion;

/// The neighbour in the chain from which a message has to come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Neighbour {
    Predecessor,
    Successor,
}

impl Neighbour {
    fn of<'a>(self, member: &MemberId, view: &'a View) -> Option<&'a MemberId> {
        match self {
            Neighbour::Predecessor => view.predecessor(member),
            Neighbour::Successor => view.successor(member),
        }
    }
}

impl Member {
    /// Changes the stage; every change goes through this function.
    fn enter_stage(&mut self, stage: Stage) {
        self.stage = stage;
    }

    pub(super) fn is_synced(&self) -> bool {
        self.stage == Stage::Synced
    }

    /// Whether the log is complete as of the present view. This remains true after a promise has sealed the view.
    pub(super) fn has_caught_up(&self) -> bool {
        self.synced_view == self.view_number()
    }

    pub(super) fn initial_stage(&self) -> Stage {
        let Some(view) = self.view() else {
            return Stage::OutOfChain;
        };
        if !view.in_chain(&self.me.id) {
            Stage::OutOfChain
        } else if self.is_sealed() {
            Stage::Sealed
        } else if self.has_caught_up() {
            Stage::Synced
        } else {
            Stage::CatchingUp
        }
    }

    /// After a promise this member no longer participates in the chain of the present view.
    pub(super) fn seal(&mut self) {
        if self.stage != Stage::OutOfChain && self.safeguards.has(Safeguard::CheckViews) {
            self.enter_stage(Stage::Sealed);
        }
    }

    /// Starts the work that belongs to the present stage.
    pub(super) fn resume_stage(&mut self) {
        match self.stage {
            Stage::Synced => self.begin_forwarding(),
            Stage::CatchingUp if self.is_head() || !self.must_catch_up() => self.caught_up(),
            Stage::CatchingUp => self.request_resume(),
            Stage::OutOfChain => self.fetch_committed_now(),
            Stage::Sealed | Stage::Syncing => {}
        }
    }

    /// Enters the chain of a newly installed view, or becomes a learner outside it.
    pub(super) fn enter_chain(&mut self) {
        self.upstream = Upstream::default();
        self.downstream = Downstream::default();
        self.learner = Learner::default();
        self.snapshots.forget_requests();
        let in_chain = self.view().is_some_and(|view| view.in_chain(&self.me.id));
        self.enter_stage(if in_chain {
            Stage::CatchingUp
        } else {
            Stage::OutOfChain
        });
        self.resume_stage();
    }

    pub(super) fn is_head(&self) -> bool {
        self.view().is_some_and(|view| view.is_head(&self.me.id))
    }

    pub(super) fn is_tail(&self) -> bool {
        self.view().is_some_and(|view| view.is_tail(&self.me.id))
    }

    pub(super) fn predecessor(&self) -> Option<MemberId> {
        self.view()?.predecessor(&self.me.id).cloned()
    }

    pub(super) fn successor(&self) -> Option<MemberId> {
        self.view()?.successor(&self.me.id).cloned()
    }

    /// Whether to accept a message of the chain: it has to be of the view in force and from the given neighbour, and this
    /// member has to participate in the chain.
    pub(super) fn accepts_chain_message(
        &mut self,
        from: &MemberId,
        view: ViewNumber,
        neighbour: Neighbour,
    ) -> bool {
        if view > self.view_number() {
            self.request_view_from(from);
        }
        let participates = !matches!(self.stage, Stage::OutOfChain | Stage::Sealed);
        if !self.safeguards.has(Safeguard::CheckViews) {
            return participates;
        }
        let expected = self.view().and_then(|view| neighbour.of(&self.me.id, view));
        participates && view == self.view_number() && expected == Some(from)
    }

    pub(super) fn must_catch_up(&self) -> bool {
        self.safeguards.has(Safeguard::CatchUpBeforeSync)
    }

    /// Records that the log is complete as of the present view.
    pub(super) fn caught_up(&mut self) {
        let view = self.view_number();
        self.synced_view = view;
        self.freshness = Freshness::starting(self.log.last().index, self.now);
        self.write_queue.write(Write::Synced { view });
        self.write_queue
            .when_persisted(Completion::SyncedViewPersisted { view });
        self.enter_stage(Stage::Syncing);
    }

    /// The synced view is on disk: starts to forward entries and handles the deferred requests.
    pub(super) fn on_synced_view_persisted(&mut self, view: ViewNumber) {
        if view != self.view_number() || self.stage != Stage::Syncing {
            return;
        }
        self.enter_stage(Stage::Synced);
        self.begin_forwarding();
        let deferred = std::mem::take(&mut self.deferred);
        self.append_deferred(deferred.submissions);
        self.forward_deferred_reads(deferred.reads);
    }
}
