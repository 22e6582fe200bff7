//! The replicated part of a core member: the state machine of the chain, and the control state that it has committed.

use super::applied_state::AppliedState;
use crate::messages::{StateUpdate, WatchRequest};
use dunespur_chain_replication::{Input, Member, MemberId, Output, Peer, SnapshotRejections, View};
use dunespur_control_state::ControlState;
use std::net::SocketAddr;

/// The state machine of the chain with the state that is applied.
pub struct Replica {
    member: Member,
    applied: AppliedState,
    /// Rejected snapshots that have been logged.
    logged_rejections: SnapshotRejections,
}

impl Replica {
    /// A replica whose control state is empty until the state machine commits or installs one.
    pub fn new(member: Member) -> Replica {
        Replica {
            member,
            applied: AppliedState::default(),
            logged_rejections: SnapshotRejections::default(),
        }
    }

    /// Gives the state machine an input; what it asks for is added to `outputs`.
    pub fn step(&mut self, input: Input, now: u64, outputs: &mut Vec<Output>) {
        self.member.step(input, now, outputs);
        self.log_new_rejections();
    }

    /// Each reason is logged once in a process; all are counted.
    fn log_new_rejections(&mut self) {
        let rejections = self.member.snapshot_rejections();
        if rejections == self.logged_rejections {
            return;
        }
        for reason in rejections.first_since(&self.logged_rejections) {
            log::warn!("a member's snapshot is rejected: {reason}; later ones are only counted");
        }
        self.logged_rejections = rejections;
    }

    /// When the state machine wants the next tick, in steady milliseconds.
    pub fn next_tick(&self) -> u64 {
        self.member.next_tick()
    }

    /// The newest view that this member knows.
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

    /// Addresses of the members of the view but this one.
    pub fn other_members(&self, own: &MemberId) -> Vec<SocketAddr> {
        let others = self.members().iter().filter(|peer| peer.id != *own);
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
    pub fn is_head(&self, own: &MemberId) -> bool {
        self.view().is_some_and(|view| view.is_head(own))
    }

    /// Whether it is connected with a majority of the view.
    pub fn is_current(&self, now: u64) -> bool {
        self.member.has_quorum(now)
    }

    /// Index up to which operations are committed here.
    pub fn committed(&self) -> u64 {
        self.member.commit_index()
    }

    /// How many snapshots of others, and parts of them, were rejected.
    pub fn rejected_snapshots(&self) -> u64 {
        self.member.snapshot_rejections().total()
    }

    /// Whether an operation may be proposed here. What it comes to, its commit tells.
    pub fn accepts_operations(&self, now: u64) -> bool {
        self.member.can_commit(now) && self.applied.is_readable()
    }

    /// Whether this member may show its state: it follows the chain, and its state is that of what it has followed.
    pub fn serves_reads(&self, now: u64) -> bool {
        self.member.is_up_to_date(now) && self.applied.is_readable()
    }

    /// The control state that is applied.
    pub fn state(&self) -> &ControlState {
        self.applied.state()
    }

    /// The applied state with its recent changes.
    pub fn applied(&self) -> &AppliedState {
        &self.applied
    }

    /// The applied state, to commit to it.
    pub fn applied_mut(&mut self) -> &mut AppliedState {
        &mut self.applied
    }

    /// The input that hands the state machine a snapshot. `None` for a state that has fallen behind: it must not be
    /// handed on as that of the newest index.
    pub fn snapshot(&self) -> Option<Input> {
        if !self.applied.is_readable() {
            return None;
        }
        Some(Input::SnapshotTaken {
            index: self.applied.changes().newest(),
            bytes: self.state().snapshot(),
        })
    }

    /// Whether there is any update for a watch.
    pub fn has_updates_for(&self, request: &WatchRequest) -> bool {
        let newer_view = self.view().is_some_and(|view| view.number > request.view);
        newer_view
            || request
                .after
                .is_none_or(|after| self.applied.changes().has_after(after))
    }

    /// The answer to a watch: the changes after its index, or the complete state where they are no longer retained.
    pub fn updates_for(&self, request: &WatchRequest) -> StateUpdate {
        let view = self
            .view()
            .filter(|view| view.number > request.view)
            .cloned();
        let newest = self.applied.changes().newest();
        let retained = request
            .after
            .and_then(|after| self.applied.changes().after(after));
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
            view,
        }
    }
}
