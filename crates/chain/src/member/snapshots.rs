//! Snapshots of the caller's state: to cut the log, and for members that the log doesn't reach back to.

use super::chain::Stage;
use super::{Member, Output};
use crate::disk::{SavedSnapshot, Write};
use crate::identity::MemberId;
use crate::journal::Consequence;
use crate::log::Payload;
use crate::message::Message;
use crate::timing::{Millis, COMPACT_BYTES, COMPACT_ENTRIES, KEPT_ENTRIES, SNAPSHOT_AGAIN, SNAPSHOT_GAP};

/// To whom a snapshot went, and when.
#[derive(Clone, Debug)]
struct SentSnapshot {
    to: MemberId,
    at: Millis,
}

/// The newest snapshot on disk, and what another is wanted for.
#[derive(Clone, Debug, Default)]
pub(super) struct Snapshots {
    /// The newest on disk ends here.
    on_disk: u64,
    /// The log is to be cut.
    for_log: bool,
    /// Members that need one.
    for_members: Vec<MemberId>,
    sent: Vec<SentSnapshot>,
    /// When the caller was asked.
    asked_at: Option<Millis>,
}

impl From<u64> for Snapshots {
    fn from(on_disk: u64) -> Snapshots {
        Snapshots { on_disk, ..Snapshots::default() }
    }
}

impl Snapshots {
    pub(super) fn is_wanted_by(&self, member: &MemberId) -> bool {
        self.for_members.contains(member)
    }

    pub(super) fn is_not_wanted_by(&mut self, member: &MemberId) {
        self.for_members.retain(|other| other != member);
    }

    /// In another view others may need one.
    pub(super) fn forget_demands(&mut self) {
        self.for_members.clear();
        self.sent.clear();
    }

    fn was_sent_just_now(&self, to: &MemberId, now: Millis) -> bool {
        self.sent.iter().any(|sent| sent.to == *to && now < sent.at + SNAPSHOT_GAP)
    }

    fn note_sent(&mut self, to: &MemberId, now: Millis) {
        self.sent.retain(|sent| sent.to != *to);
        self.sent.push(SentSnapshot { to: to.clone(), at: now });
    }

    fn is_wanted(&self) -> bool {
        self.for_log || !self.for_members.is_empty()
    }
}

impl Member {
    pub(super) fn compact_if_long(&mut self, now: Millis, out: &mut Vec<Output>) {
        let many = self.committed - self.snapshots.on_disk >= COMPACT_ENTRIES;
        let large = self.log.bytes() >= COMPACT_BYTES && self.committed > self.snapshots.on_disk;
        if (many || large) && !self.snapshots.for_log {
            self.snapshots.for_log = true;
            self.ask_for_snapshot(now, out);
        }
    }

    pub(super) fn want_snapshot_for(&mut self, member: MemberId, now: Millis, out: &mut Vec<Output>) {
        let on_its_way = self.snapshots.was_sent_just_now(&member, now);
        if !on_its_way && !self.snapshots.is_wanted_by(&member) {
            self.snapshots.for_members.push(member);
            self.ask_for_snapshot(now, out);
        }
    }

    fn ask_for_snapshot(&mut self, now: Millis, out: &mut Vec<Output>) {
        self.snapshots.asked_at = Some(now);
        out.push(Output::WantSnapshot);
    }

    pub(super) fn snapshot_given(&mut self, index: u64, bytes: Vec<u8>, now: Millis, out: &mut Vec<Output>) {
        let Some(position) = self.log.position(index).filter(|_| index <= self.committed) else { return };
        self.snapshots.asked_at = None;
        let snapshot = SavedSnapshot { position, bytes: Payload::from(bytes) };
        for member in std::mem::take(&mut self.snapshots.for_members) {
            self.send_snapshot(&member, &snapshot, now, out);
        }
        if std::mem::take(&mut self.snapshots.for_log) && index > self.snapshots.on_disk {
            self.snapshots.on_disk = index;
            self.journal.write(Write::Snapshot { snapshot });
            self.forget_entries();
        }
    }

    fn send_snapshot(&mut self, to: &MemberId, snapshot: &SavedSnapshot, now: Millis, out: &mut Vec<Output>) {
        if !self.is_synced() {
            return;
        }
        self.snapshots.note_sent(to, now);
        let SavedSnapshot { position, bytes } = snapshot.clone();
        self.send(to, Message::Snapshot { view: self.number(), position, bytes }, now, out);
        if self.successor().as_ref() == Some(to) {
            self.downstream.goes_on_from(position.index, now);
            self.go_on_passing_on(now, out);
        }
    }

    /// Drops entries in the snapshot from memory, all but the newest few.
    fn forget_entries(&mut self) {
        let snapshot = self.snapshots.on_disk;
        self.log.forget(snapshot.saturating_sub(KEPT_ENTRIES));
        while self.log.start().index < snapshot && self.log.bytes() > COMPACT_BYTES / 2 {
            self.log.forget(self.log.start().index + 1);
        }
    }

    pub(super) fn snapshot_received(
        &mut self,
        from: MemberId,
        view: u64,
        snapshot: SavedSnapshot,
        now: Millis,
        out: &mut Vec<Output>,
    ) {
        let position = snapshot.position;
        let held = position.index <= self.committed || self.log.holds(position);
        let behind = matches!(self.stage, Stage::Unsynced | Stage::Outside);
        let source = self.view().and_then(|view| Member::snapshot_source(view, &self.me.id));
        if view != self.number() || source != Some(from) || !behind || held {
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
        self.snapshots = Snapshots::from(position.index);
        self.commits_given_out(out);
        self.hurry_following(now, out);
    }

    pub(super) fn tick_snapshots(&mut self, now: Millis, out: &mut Vec<Output>) {
        if self.next_snapshot_tick().is_some_and(|at| now >= at) {
            self.ask_for_snapshot(now, out);
        }
    }

    /// When to ask the caller again.
    pub(super) fn next_snapshot_tick(&self) -> Option<Millis> {
        self.snapshots.asked_at.filter(|_| self.snapshots.is_wanted()).map(|at| at + SNAPSHOT_AGAIN)
    }
}
