//! The replicated part of a core member: the state machine of the chain, and the control state after its commits.

use super::applied_state::AppliedState;
use crate::messages::{StateUpdate, WatchRequest};
use dunespur_chain_replication::view::ViewNumber;
use dunespur_chain_replication::{Input, Member, MemberId, Output, Peer, SnapshotRejections, View};
use dunespur_control_state::ControlState;
use std::net::SocketAddr;

/// What the update that answers a watch depends on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UpdateKey {
    /// The index after which the update has all changes; `None` for the complete state.
    after: Option<u64>,
    /// The newest applied index.
    newest: u64,
    /// Number of the view in the update, if it has one.
    view: Option<ViewNumber>,
}

/// The chain's state machine together with the applied control state.
pub struct Replica {
    member: Member,
    applied: AppliedState,
    /// Counts of rejected snapshots at the last log line, by reason.
    logged_rejections: SnapshotRejections,
}

impl Replica {
    /// Creates a replica with an empty control state, which the state machine's commits and snapshots fill.
    pub fn new(member: Member) -> Replica {
        Replica {
            member,
            applied: AppliedState::default(),
            logged_rejections: SnapshotRejections::default(),
        }
    }

    /// Feeds an input to the state machine and appends its outputs to `outputs`.
    pub fn step(&mut self, input: Input, now: u64, outputs: &mut Vec<Output>) {
        self.member.step(input, now, outputs);
        self.log_new_rejections();
    }

    /// Logs each rejection reason once per process; later rejections are only counted.
    fn log_new_rejections(&mut self) {
        let rejections = self.member.snapshot_rejections();
        if rejections == self.logged_rejections {
            return;
        }
        for reason in rejections.first_since(&self.logged_rejections) {
            log::warn!("rejected a snapshot from another core member: {reason}; further rejections for this reason are only counted");
        }
        self.logged_rejections = rejections;
    }

    /// Time of the state machine's next tick, in steady milliseconds.
    pub fn next_tick(&self) -> u64 {
        self.member.next_tick()
    }

    /// The newest view known to this member.
    pub fn view(&self) -> Option<&View> {
        self.member.view()
    }

    fn members(&self) -> &[Peer] {
        self.view()
            .map(|view| view.members.as_slice())
            .unwrap_or_default()
    }

    /// Addresses of all members of the view.
    pub fn member_addresses(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.members().iter().map(|peer| peer.address)
    }

    /// Addresses of the view's members except this one.
    pub fn other_members(&self, own_id: &MemberId) -> Vec<SocketAddr> {
        let others = self.members().iter().filter(|peer| peer.id != *own_id);
        others.map(|peer| peer.address).collect()
    }

    /// The member of the view at an address.
    pub fn member_at(&self, address: SocketAddr) -> Option<MemberId> {
        self.members()
            .iter()
            .find(|peer| peer.address == address)
            .map(|peer| peer.id.clone())
    }

    /// Whether this member is the head of the chain.
    pub fn is_head(&self, own_id: &MemberId) -> bool {
        self.view().is_some_and(|view| view.is_head(own_id))
    }

    /// Whether this member is connected to a majority of the view.
    pub fn is_current(&self, now: u64) -> bool {
        self.member.has_quorum(now)
    }

    /// Index of the last operation that this member knows to be committed.
    pub fn committed(&self) -> u64 {
        self.member.commit_index()
    }

    /// Number of rejected snapshots and snapshot chunks from other members.
    pub fn rejected_snapshots(&self) -> u64 {
        self.member.snapshot_rejections().total()
    }

    /// Whether operations may be proposed at this member. The outcome is known only once an operation is committed.
    pub fn accepts_operations(&self, now: u64) -> bool {
        self.member.can_commit(now) && self.applied.is_readable()
    }

    /// Whether this member may answer reads: it is up to date with the chain, and its control state is readable.
    pub fn serves_reads(&self, now: u64) -> bool {
        self.member.is_up_to_date(now) && self.applied.is_readable()
    }

    /// The applied control state.
    pub fn state(&self) -> &ControlState {
        self.applied.state()
    }

    /// The applied state with its recent changes.
    pub fn applied(&self) -> &AppliedState {
        &self.applied
    }

    /// The applied state, mutable for commits and snapshots.
    pub fn applied_mut(&mut self) -> &mut AppliedState {
        &mut self.applied
    }

    /// Takes a snapshot as input for the state machine. `None` if the applied state is unreadable: it must not be
    /// passed on as the state of the newest index.
    pub fn snapshot(&self) -> Option<Input> {
        if !self.applied.is_readable() {
            return None;
        }
        Some(Input::SnapshotTaken {
            index: self.applied.changes().newest_index(),
            bytes: self.state().snapshot(),
        })
    }

    /// Whether a watch has a newer view or changes to receive.
    pub fn has_updates_for(&self, request: &WatchRequest) -> bool {
        self.newer_view(request).is_some()
            || request
                .after
                .is_none_or(|after| self.applied.changes().has_changes_after(after))
    }

    /// Identifies the update that answers a watch: two watches with the same key get equal updates.
    pub fn update_key(&self, request: &WatchRequest) -> UpdateKey {
        let changes = self.applied.changes();
        UpdateKey {
            after: request.after.filter(|after| changes.retains_after(*after)),
            newest: changes.newest_index(),
            view: self.newer_view(request).map(|view| view.number),
        }
    }

    /// Answers a watch with the changes after its index, or with the complete state if those are no longer retained.
    pub fn updates_for(&self, request: &WatchRequest) -> StateUpdate {
        let newest = self.applied.changes().newest_index();
        let retained = request
            .after
            .and_then(|after| self.applied.changes().changes_after(after));
        let complete = retained.is_none();
        let changes = retained.unwrap_or_else(|| self.state().initial_changes());
        let index = if complete {
            newest
        } else {
            newest.max(request.after.unwrap_or(0))
        };
        StateUpdate {
            index,
            complete,
            changes,
            view: self.newer_view(request).cloned(),
        }
    }

    /// This member's view, if it is newer than the one that the watch knows.
    fn newer_view(&self, request: &WatchRequest) -> Option<&View> {
        self.view().filter(|view| view.number > request.view)
    }
}

#[cfg(test)]
#[path = "replica/tests.rs"]
mod tests;
