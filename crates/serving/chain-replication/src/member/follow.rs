//! Members out of the chain follow the commits, so that they are soon up to date when they are taken in.

use super::chain::Stage;
use super::{Member, Output};
use crate::identity::{MemberId, View};
use crate::log::Position;
use crate::message::{Append, Attach, Message};
use crate::timing::{Millis, APPEND_BYTES, FOLLOW_AGAIN, FOLLOW_EVERY};

/// How a member out of the chain gets on.
#[derive(Clone, Debug, Default)]
pub(super) struct Following {
    next: Millis,
    /// The tail has told that all up to here is committed.
    committed: u64,
}

impl Member {
    fn is_following(&self) -> bool {
        self.stage == Stage::Outside
            && !self.is_leaving()
            && self.view().is_some_and(|view| view.has_member(&self.me.id))
    }

    /// Asks the tail for what is committed after the end of the log here.
    fn ask_tail(&mut self, now: Millis, out: &mut Vec<Output>) {
        let Some(tail) = self.view().and_then(|view| view.chain.last()).cloned() else {
            return;
        };
        self.following.next = now + FOLLOW_AGAIN;
        let attach = Attach {
            view: self.number(),
            last: self.log.last(),
            committed: self.committed,
        };
        self.send(&tail, Message::Follow(attach), now, out);
    }

    /// At the tail: a member out of the chain asks.
    pub(super) fn followed(
        &mut self,
        from: MemberId,
        attach: Attach,
        now: Millis,
        out: &mut Vec<Output>,
    ) {
        if attach.view != self.number() || !self.is_followed_by(&from) {
            return;
        }
        let Some(previous) = self.common_position(&attach, self.committed) else {
            return self.want_snapshot_for(from, now, out);
        };
        self.snapshots.is_not_wanted_by(&from);
        self.send_followed(&from, previous, now, out);
    }

    /// Whether this member is the tail, which a member out of the chain follows.
    fn is_followed_by(&self, from: &MemberId) -> bool {
        let outside = self
            .view()
            .is_some_and(|view| view.has_member(from) && !view.in_chain(from));
        outside && self.is_tail() && self.is_synced()
    }

    /// Sends what is committed after a position to a member out of the chain.
    pub(super) fn send_followed(
        &mut self,
        to: &MemberId,
        previous: Position,
        now: Millis,
        out: &mut Vec<Output>,
    ) {
        if !self.is_followed_by(to) {
            return;
        }
        let entries = self.log.copy(previous.index, self.committed, APPEND_BYTES);
        let append = Append {
            view: self.number(),
            previous,
            entries,
            last: self.committed,
        };
        self.send(to, Message::Followed(append), now, out);
    }

    /// The tail's answer: committed entries, which take the place of any others here.
    pub(super) fn follow(
        &mut self,
        from: MemberId,
        append: Append,
        now: Millis,
        out: &mut Vec<Output>,
    ) {
        let from_tail = self
            .view()
            .is_some_and(|view| view.is_tail(&from) && view.number == append.view);
        let fits = append.previous.index <= self.committed || self.log.holds(append.previous);
        if !from_tail || !fits || !self.is_following() {
            return;
        }
        let end = append.previous.index + append.entries.len() as u64;
        for entry in append.entries {
            self.take_entry(entry);
        }
        self.following.committed = end;
        self.commit_followed(now, out);
        self.following.next = now + FOLLOW_EVERY;
        if end < append.last && !self.is_stalled(now) {
            self.ask_tail(now, out);
        }
    }

    /// Gives out what is known to be committed and on disk here.
    pub(super) fn commit_followed(&mut self, now: Millis, out: &mut Vec<Output>) {
        self.commit(self.following.committed.min(self.persisted), now, out);
    }

    /// Something is waited for that was committed: it is asked for at once.
    pub(super) fn hurry_following(&mut self, now: Millis, out: &mut Vec<Output>) {
        if self.is_following() {
            self.ask_tail(now, out);
        }
    }

    pub(super) fn tick_following(&mut self, now: Millis, out: &mut Vec<Output>) {
        if self.next_follow_tick().is_none_or(|at| now < at) {
            return;
        }
        if self.is_stalled(now) {
            // Nothing is kept in memory for a disk that doesn't answer.
            self.following.next = now + FOLLOW_AGAIN;
        } else {
            self.ask_tail(now, out);
        }
    }

    pub(super) fn next_follow_tick(&self) -> Option<Millis> {
        self.is_following().then_some(self.following.next)
    }

    /// From whom a snapshot is taken: the predecessor in the chain, the tail out of it.
    pub(super) fn snapshot_source(view: &View, me: &MemberId) -> Option<MemberId> {
        match view.in_chain(me) {
            true => view.predecessor(me).cloned(),
            false => view.chain.last().cloned(),
        }
    }
}
