//! The chain: entries go down it, each member syncs before it passes on, commits come back up.

use super::follow::Following;
use super::freshness::Freshness;
use super::{Member, Output};
use crate::disk::Write;
use crate::identity::{MemberId, View};
use crate::journal::Consequence;
use crate::log::{Entry, Origin, Payload, Position};
use crate::message::{Append, Attach, Message};
use crate::timing::{
    Millis, APPEND_BYTES, ATTACH_AGAIN, ATTACH_GAP, MOST_UNCOMMITTED, MOST_UNCOMMITTED_BYTES,
    PROBE_AFTER,
};

/// What part a member takes in the chain of its view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// It is not in the chain. Follows the commits, if it is a member.
    Outside,
    /// It has promised the next view.
    Sealed,
    /// Its log hasn't come up to its predecessor's yet.
    Unsynced,
    /// Its log has, and that is on its way to the disk.
    Syncing,
    Synced,
}

/// What this member knows of its stream from the predecessor.
#[derive(Clone, Debug, Default)]
pub(super) struct Upstream {
    /// When it last asked the predecessor to send from its position.
    attached_at: Option<Millis>,
}

/// The stream to the successor.
#[derive(Clone, Debug, Default)]
pub(super) struct Downstream {
    /// Entries were sent up to here.
    sent: u64,
    /// The successor has answered in this view.
    confirmed: bool,
    /// When something was last sent or acknowledged.
    moved_at: Millis,
}

impl Upstream {
    /// A snapshot is on its way: no need to ask for it again.
    pub(super) fn heard_snapshot(&mut self, now: Millis) {
        self.attached_at = Some(now);
    }
}

impl Downstream {
    /// The successor was sent a snapshot that ends at `index`.
    pub(super) fn goes_on_from(&mut self, index: u64, now: Millis) {
        self.sent = index;
        self.moved_at = now;
    }
}

impl Member {
    /// The one place where the part in the chain changes.
    fn enter(&mut self, stage: Stage) {
        self.stage = stage;
    }

    pub(super) fn is_synced(&self) -> bool {
        self.stage == Stage::Synced
    }

    /// Whether the log holds all that it must in the present view. This stays so when a promise seals the view.
    pub(super) fn has_come_up(&self) -> bool {
        self.synced_view == self.number()
    }

    pub(super) fn stage_at_start(&self) -> Stage {
        let Some(view) = self.view() else {
            return Stage::Outside;
        };
        if !view.in_chain(&self.me.id) {
            Stage::Outside
        } else if self.is_sealed() {
            Stage::Sealed
        } else if self.has_come_up() {
            Stage::Synced
        } else {
            Stage::Unsynced
        }
    }

    /// After a promise this member takes no further part in the chain of the present view.
    pub(super) fn seal(&mut self) {
        if self.stage != Stage::Outside && self.guards.views_checked {
            self.enter(Stage::Sealed);
        }
    }

    /// Goes on in the chain of the view that was found on disk.
    pub(super) fn resume_chain(&mut self, now: Millis, out: &mut Vec<Output>) {
        match self.stage {
            Stage::Synced => self.begin_passing_on(now, out),
            Stage::Unsynced if self.is_head() || !self.guards.whole_before_synced => {
                self.come_up(now)
            }
            Stage::Unsynced => self.attach(now, out),
            Stage::Outside => self.hurry_following(now, out),
            Stage::Sealed | Stage::Syncing => {}
        }
    }

    /// Takes its place in the chain of a view that was just installed.
    pub(super) fn enter_chain(&mut self, now: Millis, out: &mut Vec<Output>) {
        self.upstream = Upstream::default();
        self.downstream = Downstream::default();
        self.following = Following::default();
        self.snapshots.forget_demands();
        let in_chain = self.view().is_some_and(|view| view.in_chain(&self.me.id));
        self.enter(if in_chain {
            Stage::Unsynced
        } else {
            Stage::Outside
        });
        self.resume_chain(now, out);
    }

    pub(super) fn is_head(&self) -> bool {
        self.view().is_some_and(|view| view.is_head(&self.me.id))
    }

    pub(super) fn is_tail(&self) -> bool {
        self.view().is_some_and(|view| view.is_tail(&self.me.id))
    }

    fn predecessor(&self) -> Option<MemberId> {
        self.view()?.predecessor(&self.me.id).cloned()
    }

    pub(super) fn successor(&self) -> Option<MemberId> {
        self.view()?.successor(&self.me.id).cloned()
    }

    /// Whether a message of the chain counts here: it is of the view in force, from the neighbour it must come from.
    pub(super) fn counts(
        &mut self,
        from: &MemberId,
        view: u64,
        neighbour: fn(&View, &MemberId) -> Option<MemberId>,
        now: Millis,
        out: &mut Vec<Output>,
    ) -> bool {
        if view > self.number() {
            self.ask_for_view_of(from, now, out);
        }
        let takes_part = !matches!(self.stage, Stage::Outside | Stage::Sealed);
        if !self.guards.views_checked {
            return takes_part;
        }
        let neighbour = self.view().and_then(|view| neighbour(view, &self.me.id));
        takes_part && view == self.number() && neighbour.as_ref() == Some(from)
    }

    // --- from the predecessor ---

    fn attach(&mut self, now: Millis, out: &mut Vec<Output>) {
        let Some(predecessor) = self.predecessor() else {
            return;
        };
        self.upstream.attached_at = Some(now);
        let attach = Attach {
            view: self.number(),
            last: self.log.last(),
            committed: self.committed,
        };
        self.send(&predecessor, Message::Attach(attach), now, out);
    }

    pub(super) fn appended(
        &mut self,
        from: MemberId,
        append: Append,
        now: Millis,
        out: &mut Vec<Output>,
    ) {
        let predecessor = |view: &View, me: &MemberId| view.predecessor(me).cloned();
        if !self.counts(&from, append.view, predecessor, now, out) {
            return;
        }
        if append.previous.index > self.committed && !self.log.holds(append.previous) {
            let asked_just_now = self
                .upstream
                .attached_at
                .is_some_and(|at| now < at + ATTACH_GAP);
            if !asked_just_now {
                self.attach(now, out);
            }
            return;
        }
        let question = append.entries.is_empty();
        let end = append.previous.index + append.entries.len() as u64;
        for entry in append.entries {
            self.take_entry(entry);
        }
        let whole = end == append.last || !self.guards.whole_before_synced;
        if self.stage == Stage::Unsynced && whole {
            self.truncate(end);
            self.come_up(now);
        }
        if question && self.stage == Stage::Synced {
            self.send_committed(now, out);
        }
    }

    /// Takes an entry into the log, in place of another one that can't have been committed.
    pub(super) fn take_entry(&mut self, entry: Entry) {
        let index = entry.index();
        if index <= self.committed || self.log.holds(entry.position) {
            return;
        }
        self.truncate(index - 1);
        self.append(entry);
    }

    fn append(&mut self, entry: Entry) {
        let index = entry.index();
        self.journal.write(Write::Entry {
            entry: entry.clone(),
        });
        self.journal.then(Consequence::Stored { index });
        self.log.append(entry);
    }

    fn truncate(&mut self, index: u64) {
        if self.log.last().index <= index {
            return;
        }
        self.log.truncate(index);
        self.persisted = self.persisted.min(index);
        self.journal.truncated(index);
        self.journal.write(Write::Truncate { index });
    }

    /// The log holds all that it must in this view.
    fn come_up(&mut self, now: Millis) {
        let view = self.number();
        self.synced_view = view;
        self.freshness = Freshness::begins(self.log.last().index, now);
        self.journal.write(Write::Synced { view });
        self.journal.then(Consequence::Synced { view });
        self.enter(Stage::Syncing);
    }

    /// That is on disk.
    pub(super) fn synced(&mut self, view: u64, now: Millis, out: &mut Vec<Output>) {
        if view != self.number() || self.stage != Stage::Syncing {
            return;
        }
        self.enter(Stage::Synced);
        self.begin_passing_on(now, out);
        self.synced_for_requests(now, out);
    }

    /// Entries are on disk up to `index`.
    pub(super) fn stored(&mut self, index: u64, now: Millis, out: &mut Vec<Output>) {
        self.persisted = self.persisted.max(index.min(self.log.last().index));
        match self.stage {
            Stage::Synced => self.pass_on(now, out),
            Stage::Outside => self.commit_followed(now, out),
            Stage::Sealed | Stage::Unsynced | Stage::Syncing => {}
        }
    }

    // --- to the successor ---

    fn begin_passing_on(&mut self, now: Millis, out: &mut Vec<Output>) {
        self.downstream.sent = self.persisted;
        self.ask_successor(now, out);
        self.pass_on(now, out);
    }

    /// Passes on what is on disk; at the tail, it is committed.
    fn pass_on(&mut self, now: Millis, out: &mut Vec<Output>) {
        if self.is_tail() {
            if self.commit(self.persisted, now, out) {
                self.send_committed(now, out);
            }
            return;
        }
        let Some(successor) = self.successor() else {
            return;
        };
        while self.downstream.sent < self.persisted && !self.snapshots.is_wanted_by(&successor) {
            let Some(previous) = self.log.position(self.downstream.sent) else {
                return self.want_snapshot_for(successor, now, out);
            };
            let entries = self.log.copy(previous.index, self.persisted, APPEND_BYTES);
            self.downstream.sent += entries.len() as u64;
            self.downstream.moved_at = now;
            let append = Append {
                view: self.number(),
                previous,
                entries,
                last: self.persisted,
            };
            self.send(&successor, Message::Append(append), now, out);
        }
    }

    /// Asks the successor whether it holds what was sent to it.
    fn ask_successor(&mut self, now: Millis, out: &mut Vec<Output>) {
        let Some(successor) = self.successor() else {
            return;
        };
        let Some(previous) = self.log.position(self.downstream.sent) else {
            return;
        };
        self.downstream.moved_at = now;
        let append = Append {
            view: self.number(),
            previous,
            entries: Vec::new(),
            last: self.persisted,
        };
        self.send(&successor, Message::Append(append), now, out);
    }

    pub(super) fn attached(
        &mut self,
        from: MemberId,
        attach: Attach,
        now: Millis,
        out: &mut Vec<Output>,
    ) {
        let successor = |view: &View, me: &MemberId| view.successor(me).cloned();
        if !self.counts(&from, attach.view, successor, now, out) || !self.is_synced() {
            return;
        }
        self.downstream.confirmed = true;
        self.downstream.moved_at = now;
        let Some(common) = self.common_position(&attach, self.persisted) else {
            return self.want_snapshot_for(from, now, out);
        };
        self.snapshots.is_not_wanted_by(&from);
        self.downstream.sent = common.index;
        self.go_on_passing_on(now, out);
    }

    /// From where another member's log can go on: its end, if it is held here, or else what it has committed.
    pub(super) fn common_position(&self, other: &Attach, most: u64) -> Option<Position> {
        let candidates = [Some(other.last), self.log.position(other.committed)];
        candidates
            .into_iter()
            .flatten()
            .find(|at| self.log.holds(*at) && at.index <= most)
    }

    /// After the position was set from which to send.
    pub(super) fn go_on_passing_on(&mut self, now: Millis, out: &mut Vec<Output>) {
        if self.downstream.sent == self.persisted {
            self.ask_successor(now, out);
        }
        self.pass_on(now, out);
    }

    /// The tail has synced up to `index`.
    pub(super) fn committed_below(
        &mut self,
        from: MemberId,
        view: u64,
        index: u64,
        now: Millis,
        out: &mut Vec<Output>,
    ) {
        let successor = |view: &View, me: &MemberId| view.successor(me).cloned();
        if !self.counts(&from, view, successor, now, out) || !self.is_synced() {
            return;
        }
        self.downstream.confirmed = true;
        self.downstream.moved_at = now;
        if self.commit(index.min(self.persisted), now, out) {
            self.send_committed(now, out);
        }
    }

    fn send_committed(&mut self, now: Millis, out: &mut Vec<Output>) {
        let Some(predecessor) = self.predecessor() else {
            return;
        };
        let message = Message::Committed {
            view: self.number(),
            index: self.committed,
        };
        self.send(&predecessor, message, now, out);
    }

    /// Gives out the commits up to `index`; says whether there were any.
    pub(super) fn commit(&mut self, index: u64, now: Millis, out: &mut Vec<Output>) -> bool {
        if index <= self.committed {
            return false;
        }
        while self.committed < index {
            let Some(entry) = self.log.get(self.committed + 1) else {
                break;
            };
            self.snapshots.note_committed(entry.size());
            let Entry {
                position,
                origin,
                payload,
            } = entry.clone();
            self.committed = position.index;
            let ticket = self.submission_committed(origin);
            out.push(Output::Commit {
                index: position.index,
                payload: payload.to_vec(),
                ticket,
            });
        }
        self.commits_given_out(out);
        self.compact_if_long(now, out);
        true
    }

    // --- at the head ---

    /// Appends at the head; says whether there was room.
    pub(super) fn append_at_head(&mut self, origin: Origin, payload: Payload) -> bool {
        let last = self.log.last().index;
        // Against a second entry for a submission that was sent again while the first is on its way.
        if self.log.has_origin_after(self.committed, origin) {
            return true;
        }
        let many = last - self.committed >= MOST_UNCOMMITTED;
        let large = self.log.bytes() > MOST_UNCOMMITTED_BYTES
            && self.log.bytes_after(self.committed) > MOST_UNCOMMITTED_BYTES;
        if many || large {
            return false;
        }
        let position = Position {
            index: last + 1,
            view: self.number(),
        };
        self.append(Entry {
            position,
            origin,
            payload,
        });
        true
    }

    // --- time and connections ---

    pub(super) fn chain_reconnected(
        &mut self,
        peer: &MemberId,
        now: Millis,
        out: &mut Vec<Output>,
    ) {
        if self.stage == Stage::Synced && self.successor().as_ref() == Some(peer) {
            self.ask_successor(now, out);
        }
        if self.stage == Stage::Unsynced && self.predecessor().as_ref() == Some(peer) {
            self.attach(now, out);
        }
    }

    pub(super) fn tick_chain(&mut self, now: Millis, out: &mut Vec<Output>) {
        if self.next_question().is_some_and(|at| now >= at) {
            self.ask_successor(now, out);
        }
        if self.next_attach().is_some_and(|at| now >= at) {
            self.attach(now, out);
        }
    }

    /// When to ask the successor, from which nothing has come.
    fn next_question(&self) -> Option<Millis> {
        let open = !self.downstream.confirmed || self.committed < self.downstream.sent;
        let waits = self
            .successor()
            .is_none_or(|successor| self.snapshots.is_wanted_by(&successor));
        let asks = self.stage == Stage::Synced && open && !waits;
        asks.then_some(self.downstream.moved_at + PROBE_AFTER)
    }

    fn next_attach(&self) -> Option<Millis> {
        let asks = self.stage == Stage::Unsynced && !self.is_head();
        asks.then(|| self.upstream.attached_at.map_or(0, |at| at + ATTACH_AGAIN))
    }

    pub(super) fn next_chain_tick(&self) -> Option<Millis> {
        [self.next_question(), self.next_attach()]
            .into_iter()
            .flatten()
            .min()
    }
}
