//! The chain: entries go down it, each member syncs before it passes on, commits come back up.

use super::{Member, Output};
use crate::disk::{SavedSnapshot, Write};
use crate::identity::{MemberId, View};
use crate::journal::Consequence;
use crate::log::{Entry, Origin, Payload, Position};
use crate::message::{Append, Attach, Message};
use crate::timing::{
    Millis, APPEND_BYTES, ATTACH_AGAIN, ATTACH_GAP, COMPACT_BYTES, COMPACT_ENTRIES, KEPT_ENTRIES,
    MOST_UNCOMMITTED, MOST_UNCOMMITTED_BYTES, PROBE_AFTER, SNAPSHOT_AGAIN,
};

/// What part a member takes in the chain of its view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// It is not in the chain.
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
    /// The successor needs the caller's state.
    snapshot_wanted: bool,
}

/// When the log is cut at a snapshot.
#[derive(Clone, Debug, Default)]
pub(super) struct Compaction {
    /// The newest snapshot on disk ends here.
    snapshot: u64,
    wanted: bool,
    asked_at: Option<Millis>,
}

impl From<u64> for Compaction {
    fn from(snapshot: u64) -> Compaction {
        Compaction { snapshot, wanted: false, asked_at: None }
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
        let Some(view) = self.view() else { return Stage::Outside };
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
            Stage::Unsynced if self.is_head() => self.come_up(),
            Stage::Unsynced => self.attach(now, out),
            Stage::Outside | Stage::Sealed | Stage::Syncing => {}
        }
    }

    /// Takes its place in the chain of a view that was just installed.
    pub(super) fn enter_chain(&mut self, now: Millis, out: &mut Vec<Output>) {
        self.upstream = Upstream::default();
        self.downstream = Downstream::default();
        let in_chain = self.view().is_some_and(|view| view.in_chain(&self.me.id));
        self.enter(if in_chain { Stage::Unsynced } else { Stage::Outside });
        self.resume_chain(now, out);
    }

    pub(super) fn is_head(&self) -> bool {
        self.view().is_some_and(|view| view.is_head(&self.me.id))
    }

    fn is_tail(&self) -> bool {
        self.view().is_some_and(|view| view.is_tail(&self.me.id))
    }

    fn predecessor(&self) -> Option<MemberId> {
        self.view()?.predecessor(&self.me.id).cloned()
    }

    fn successor(&self) -> Option<MemberId> {
        self.view()?.successor(&self.me.id).cloned()
    }

    /// Whether a message of the chain counts here: it is of the view in force, from the neighbour it must come from.
    fn counts(
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
        let Some(predecessor) = self.predecessor() else { return };
        self.upstream.attached_at = Some(now);
        let attach = Attach { view: self.number(), last: self.log.last(), committed: self.committed };
        self.send(&predecessor, Message::Attach(attach), now, out);
    }

    pub(super) fn appended(&mut self, from: MemberId, append: Append, now: Millis, out: &mut Vec<Output>) {
        let predecessor = |view: &View, me: &MemberId| view.predecessor(me).cloned();
        if !self.counts(&from, append.view, predecessor, now, out) {
            return;
        }
        if append.previous.index > self.committed && !self.log.holds(append.previous) {
            let asked_just_now = self.upstream.attached_at.is_some_and(|at| now < at + ATTACH_GAP);
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
        if self.stage == Stage::Unsynced && end == append.last {
            self.truncate(end);
            self.come_up();
        }
        if question && self.stage == Stage::Synced {
            self.send_committed(now, out);
        }
    }

    /// Takes an entry into the log, in place of another one that can't have been committed.
    fn take_entry(&mut self, entry: Entry) {
        let index = entry.index();
        if index <= self.committed || self.log.holds(entry.position) {
            return;
        }
        self.truncate(index - 1);
        self.append(entry);
    }

    fn append(&mut self, entry: Entry) {
        let index = entry.index();
        self.journal.write(Write::Entry { entry: entry.clone() });
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
    fn come_up(&mut self) {
        let view = self.number();
        self.synced_view = view;
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
        if self.stage == Stage::Synced {
            self.pass_on(now, out);
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
        let Some(successor) = self.successor() else { return };
        while self.downstream.sent < self.persisted && !self.downstream.snapshot_wanted {
            let Some(previous) = self.log.position(self.downstream.sent) else {
                return self.want_snapshot_for_successor(now, out);
            };
            let entries = self.log.copy(previous.index, self.persisted, APPEND_BYTES);
            self.downstream.sent += entries.len() as u64;
            self.downstream.moved_at = now;
            let append = Append { view: self.number(), previous, entries, last: self.persisted };
            self.send(&successor, Message::Append(append), now, out);
        }
    }

    /// Asks the successor whether it holds what was sent to it.
    fn ask_successor(&mut self, now: Millis, out: &mut Vec<Output>) {
        let Some(successor) = self.successor() else { return };
        let Some(previous) = self.log.position(self.downstream.sent) else { return };
        self.downstream.moved_at = now;
        let append = Append { view: self.number(), previous, entries: Vec::new(), last: self.persisted };
        self.send(&successor, Message::Append(append), now, out);
    }

    pub(super) fn attached(&mut self, from: MemberId, attach: Attach, now: Millis, out: &mut Vec<Output>) {
        let successor = |view: &View, me: &MemberId| view.successor(me).cloned();
        if !self.counts(&from, attach.view, successor, now, out) || !self.is_synced() {
            return;
        }
        self.downstream.confirmed = true;
        self.downstream.moved_at = now;
        let common = [Some(attach.last), self.log.position(attach.committed)];
        let mut common = common.into_iter().flatten();
        let common = common.find(|at| self.log.holds(*at) && at.index <= self.persisted);
        let Some(common) = common else { return self.want_snapshot_for_successor(now, out) };
        self.downstream.snapshot_wanted = false;
        self.downstream.sent = common.index;
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
        let Some(predecessor) = self.predecessor() else { return };
        let message = Message::Committed { view: self.number(), index: self.committed };
        self.send(&predecessor, message, now, out);
    }

    /// Gives out the commits up to `index`; says whether there were any.
    fn commit(&mut self, index: u64, now: Millis, out: &mut Vec<Output>) -> bool {
        if index <= self.committed {
            return false;
        }
        while self.committed < index {
            let Some(entry) = self.log.get(self.committed + 1) else { break };
            let Entry { position, origin, payload } = entry.clone();
            self.committed = position.index;
            let ticket = self.submission_committed(origin);
            out.push(Output::Commit { index: position.index, payload: payload.to_vec(), ticket });
        }
        self.commits_given_out(out);
        self.compact_if_long(now, out);
        true
    }

    // --- at the head ---

    /// Appends at the head; says whether there was room.
    pub(super) fn append_at_head(&mut self, origin: Origin, payload: Payload) -> bool {
        let last = self.log.last().index;
        let many = last - self.committed >= MOST_UNCOMMITTED;
        let large = self.log.bytes() > MOST_UNCOMMITTED_BYTES
            && self.log.bytes_after(self.committed) > MOST_UNCOMMITTED_BYTES;
        if many || large {
            return false;
        }
        let position = Position { index: last + 1, view: self.number() };
        self.append(Entry { position, origin, payload });
        true
    }

    // --- snapshots ---

    fn compact_if_long(&mut self, now: Millis, out: &mut Vec<Output>) {
        let many = self.committed - self.compaction.snapshot >= COMPACT_ENTRIES;
        let large = self.log.bytes() >= COMPACT_BYTES && self.committed > self.compaction.snapshot;
        if (many || large) && !self.compaction.wanted {
            self.compaction.wanted = true;
            self.ask_for_snapshot(now, out);
        }
    }

    fn want_snapshot_for_successor(&mut self, now: Millis, out: &mut Vec<Output>) {
        if !self.downstream.snapshot_wanted {
            self.downstream.snapshot_wanted = true;
            self.ask_for_snapshot(now, out);
        }
    }

    fn ask_for_snapshot(&mut self, now: Millis, out: &mut Vec<Output>) {
        self.compaction.asked_at = Some(now);
        out.push(Output::WantSnapshot);
    }

    pub(super) fn snapshot_given(&mut self, index: u64, bytes: Vec<u8>, now: Millis, out: &mut Vec<Output>) {
        let Some(position) = self.log.position(index).filter(|_| index <= self.committed) else { return };
        self.compaction.asked_at = None;
        let snapshot = SavedSnapshot { position, bytes: Payload::from(bytes) };
        if self.downstream.snapshot_wanted && self.is_synced() {
            self.send_snapshot(&snapshot, now, out);
        }
        if self.compaction.wanted && index > self.compaction.snapshot {
            self.compaction = Compaction::from(index);
            self.journal.write(Write::Snapshot { snapshot });
            self.forget_entries();
        }
    }

    /// Drops entries in the snapshot from memory, all but the newest few.
    fn forget_entries(&mut self) {
        let snapshot = self.compaction.snapshot;
        self.log.forget(snapshot.saturating_sub(KEPT_ENTRIES));
        while self.log.start().index < snapshot && self.log.bytes() > COMPACT_BYTES / 2 {
            self.log.forget(self.log.start().index + 1);
        }
    }

    fn send_snapshot(&mut self, snapshot: &SavedSnapshot, now: Millis, out: &mut Vec<Output>) {
        self.downstream.snapshot_wanted = false;
        let Some(successor) = self.successor() else { return };
        let SavedSnapshot { position, bytes } = snapshot.clone();
        self.send(&successor, Message::Snapshot { view: self.number(), position, bytes }, now, out);
        self.downstream.sent = position.index;
        self.downstream.moved_at = now;
        if self.downstream.sent == self.persisted {
            self.ask_successor(now, out);
        }
        self.pass_on(now, out);
    }

    pub(super) fn snapshot_received(
        &mut self,
        from: MemberId,
        view: u64,
        snapshot: SavedSnapshot,
        now: Millis,
        out: &mut Vec<Output>,
    ) {
        let predecessor = |view: &View, me: &MemberId| view.predecessor(me).cloned();
        let counts = self.counts(&from, view, predecessor, now, out);
        let position = snapshot.position;
        let held = position.index <= self.committed || self.log.holds(position);
        if !counts || self.stage != Stage::Unsynced || held {
            return;
        }
        // The log lacked what was committed, so it was no log to go on from; until it has come up it is none.
        self.synced_view = 0;
        self.journal.truncated(0);
        self.journal.write(Write::Truncate { index: 0 });
        self.journal.write(Write::Synced { view: 0 });
        out.push(Output::Install { index: position.index, bytes: snapshot.bytes.to_vec() });
        self.journal.write(Write::Snapshot { snapshot });
        self.journal.then(Consequence::Stored { index: position.index });
        self.log.reset(position);
        self.persisted = 0;
        self.committed = position.index;
        self.compaction = Compaction::from(position.index);
        self.commits_given_out(out);
    }

    // --- time and connections ---

    pub(super) fn chain_reconnected(&mut self, peer: &MemberId, now: Millis, out: &mut Vec<Output>) {
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
        if self.next_snapshot_demand().is_some_and(|at| now >= at) {
            self.ask_for_snapshot(now, out);
        }
    }

    /// When to ask the successor, from which nothing has come.
    fn next_question(&self) -> Option<Millis> {
        let open = !self.downstream.confirmed || self.committed < self.downstream.sent;
        let asks = self.stage == Stage::Synced && open && !self.is_tail() && !self.downstream.snapshot_wanted;
        asks.then_some(self.downstream.moved_at + PROBE_AFTER)
    }

    fn next_attach(&self) -> Option<Millis> {
        let asks = self.stage == Stage::Unsynced && !self.is_head();
        asks.then(|| self.upstream.attached_at.map_or(0, |at| at + ATTACH_AGAIN))
    }

    fn next_snapshot_demand(&self) -> Option<Millis> {
        let wanted = self.compaction.wanted || self.downstream.snapshot_wanted;
        self.compaction.asked_at.filter(|_| wanted).map(|at| at + SNAPSHOT_AGAIN)
    }

    pub(super) fn next_chain_tick(&self) -> Option<Millis> {
        [self.next_question(), self.next_attach(), self.next_snapshot_demand()].into_iter().flatten().min()
    }
}
