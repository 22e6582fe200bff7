//! Snapshots of the caller's state: to cut the log, and for members that the log doesn't reach back to.

use super::chain::Stage;
use super::transfer::{
    Incoming, SnapshotPart, SnapshotProgress, SnapshotRefusal, SnapshotRefusals, Taken, Transfer,
};
use super::{Member, Output};
use crate::disk::{SavedSnapshot, Write};
use crate::identity::MemberId;
use crate::journal::Consequence;
use crate::log::{Payload, Position};
use crate::message::Message;
use crate::timing::{
    Millis, COMPACT_BYTES, KEPT_BYTES, KEPT_FOR_TRANSFER_BYTES, MOST_COMPACT_BYTES, SNAPSHOT_AGAIN,
    SNAPSHOT_GAP, SNAPSHOT_PART_AGAIN,
};

/// Whose transfer ended, and when.
#[derive(Clone, Debug)]
struct EndedTransfer {
    to: MemberId,
    at: Millis,
}

/// The newest snapshot on disk, and what another is wanted for.
#[derive(Clone, Debug, Default)]
pub(super) struct Snapshots {
    /// The newest on disk ends here.
    on_disk: u64,
    /// Its size.
    on_disk_bytes: usize,
    /// About the bytes of all entries committed since.
    committed_bytes: usize,
    /// The log is to be cut.
    for_log: bool,
    /// Members that need one.
    for_members: Vec<MemberId>,
    transfers: Vec<Transfer>,
    ended: Vec<EndedTransfer>,
    incoming: Option<Incoming>,
    refusals: SnapshotRefusals,
    /// When the caller was asked.
    asked_at: Option<Millis>,
}

impl From<Option<&SavedSnapshot>> for Snapshots {
    fn from(on_disk: Option<&SavedSnapshot>) -> Snapshots {
        Snapshots {
            on_disk: on_disk.map_or(0, |snapshot| snapshot.position.index),
            on_disk_bytes: on_disk.map_or(0, |snapshot| snapshot.bytes.len()),
            ..Snapshots::default()
        }
    }
}

impl Snapshots {
    /// A snapshot is to be made for the member, or is on its way there.
    pub(super) fn is_wanted_by(&self, member: &MemberId) -> bool {
        self.for_members.contains(member)
            || self.transfers.iter().any(|transfer| transfer.to == *member)
    }

    pub(super) fn is_not_wanted_by(&mut self, member: &MemberId) {
        self.for_members.retain(|other| other != member);
        self.transfers.retain(|transfer| transfer.to != *member);
    }

    /// In another view others may need one. What is on its way goes on if it is asked for again.
    pub(super) fn forget_demands(&mut self) {
        self.for_members.clear();
        self.ended.clear();
    }

    pub(super) fn note_committed(&mut self, bytes: usize) {
        self.committed_bytes += bytes;
    }

    /// A new snapshot is worth its writing when as much has come to the log as the last one is large: what is written
    /// for snapshots stays within what is written for entries, up to the bound of the log.
    fn is_due(&self) -> bool {
        self.committed_bytes >= self.on_disk_bytes.clamp(COMPACT_BYTES, MOST_COMPACT_BYTES)
    }

    fn ended_just_now(&self, to: &MemberId, now: Millis) -> bool {
        self.ended
            .iter()
            .any(|ended| ended.to == *to && now < ended.at + SNAPSHOT_GAP)
    }

    fn transfer_mut(&mut self, to: &MemberId) -> Option<&mut Transfer> {
        self.transfers
            .iter_mut()
            .find(|transfer| transfer.to == *to)
    }

    fn end_transfer(&mut self, to: &MemberId, now: Millis) {
        self.is_not_wanted_by(to);
        self.ended.retain(|ended| ended.to != *to);
        self.ended.push(EndedTransfer {
            to: to.clone(),
            at: now,
        });
    }

    fn is_wanted(&self) -> bool {
        self.for_log || !self.for_members.is_empty()
    }
}

impl Member {
    /// Parts and snapshots that weren't taken here.
    pub fn snapshot_refusals(&self) -> SnapshotRefusals {
        self.snapshots.refusals
    }

    pub(super) fn compact_if_long(&mut self, now: Millis, out: &mut Vec<Output>) {
        if self.snapshots.is_due() && !self.snapshots.for_log {
            self.snapshots.for_log = true;
            self.ask_for_snapshot(now, out);
        }
    }

    /// The log here doesn't reach back to where the member's ends.
    pub(super) fn want_snapshot_for(
        &mut self,
        member: MemberId,
        now: Millis,
        out: &mut Vec<Output>,
    ) {
        self.drop_outrun_transfers();
        if let Some(transfer) = self.snapshots.transfer_mut(&member) {
            if now >= transfer.sent_at + SNAPSHOT_PART_AGAIN {
                self.send_part(&member, now, out);
            }
            return;
        }
        if self.snapshots.ended_just_now(&member, now) || self.snapshots.is_wanted_by(&member) {
            return;
        }
        let shared = self
            .snapshots
            .transfers
            .first()
            .map(|other| other.shared_with(member.clone(), now));
        match shared {
            Some(transfer) => {
                self.snapshots.transfers.push(transfer);
                self.send_part(&member, now, out);
            }
            None => {
                self.snapshots.for_members.push(member);
                self.ask_for_snapshot(now, out);
            }
        }
    }

    /// The log has to go on from where a snapshot ends.
    fn drop_outrun_transfers(&mut self) {
        let log = &self.log;
        self.snapshots
            .transfers
            .retain(|transfer| log.holds(transfer.position()));
    }

    fn ask_for_snapshot(&mut self, now: Millis, out: &mut Vec<Output>) {
        self.snapshots.asked_at = Some(now);
        out.push(Output::WantSnapshot);
    }

    pub(super) fn snapshot_given(
        &mut self,
        index: u64,
        bytes: Vec<u8>,
        now: Millis,
        out: &mut Vec<Output>,
    ) {
        let Some(position) = self.log.position(index).filter(|_| index <= self.committed) else {
            return;
        };
        self.snapshots.asked_at = None;
        let snapshot = SavedSnapshot {
            position,
            bytes: Payload::from(bytes),
        };
        for member in std::mem::take(&mut self.snapshots.for_members) {
            self.snapshots
                .transfers
                .push(Transfer::new(member.clone(), snapshot.clone(), now));
            self.send_part(&member, now, out);
        }
        if std::mem::take(&mut self.snapshots.for_log) && index > self.snapshots.on_disk {
            self.snapshots.on_disk = index;
            self.snapshots.on_disk_bytes = snapshot.bytes.len();
            self.snapshots.committed_bytes = self.log.bytes_between(index, self.committed);
            self.journal.write(Write::Snapshot { snapshot });
            self.forget_entries();
        }
    }

    fn send_part(&mut self, to: &MemberId, now: Millis, out: &mut Vec<Output>) {
        if !self.is_synced() {
            return;
        }
        let view = self.number();
        let Some(transfer) = self.snapshots.transfer_mut(to) else {
            return;
        };
        let part = transfer.next_part(now);
        self.send(to, Message::SnapshotPart { view, part }, now, out);
    }

    /// The receiver of a snapshot says how far it is.
    pub(super) fn snapshot_progressed(
        &mut self,
        from: MemberId,
        view: u64,
        progress: SnapshotProgress,
        now: Millis,
        out: &mut Vec<Output>,
    ) {
        if view != self.number() || !self.is_synced() {
            return;
        }
        let Some(transfer) = self.snapshots.transfer_mut(&from) else {
            return;
        };
        if transfer.label() != progress.label {
            return;
        }
        let position = transfer.position();
        if progress.refused {
            return self.snapshots.end_transfer(&from, now);
        }
        if !transfer.progressed(progress.held, now) {
            return self.send_part(&from, now, out);
        }
        self.snapshots.end_transfer(&from, now);
        if self.successor().as_ref() == Some(&from) {
            self.downstream.goes_on_from(position.index, now);
            self.go_on_passing_on(now, out);
        } else {
            self.send_followed(&from, position, now, out);
        }
    }

    /// Drops entries in the snapshot from memory, all but the newest, which are kept for members that were away
    /// shortly, and those that a member needs which a snapshot is on its way to.
    fn forget_entries(&mut self) {
        let on_disk = self.snapshots.on_disk;
        let needed = self
            .snapshots
            .transfers
            .iter()
            .map(|transfer| transfer.position().index)
            .min();
        while self.log.start().index < on_disk {
            let is_needed = needed.is_some_and(|index| index <= self.log.start().index);
            let most = if is_needed {
                KEPT_FOR_TRANSFER_BYTES
            } else {
                KEPT_BYTES
            };
            if self.log.bytes() <= most {
                return;
            }
            self.log.forget(self.log.start().index + 1);
        }
    }

    /// Whether this member takes snapshots from `from` in this view.
    fn takes_snapshots_of(&self, from: &MemberId, view: u64) -> bool {
        let behind = matches!(self.stage, Stage::Unsynced | Stage::Outside);
        let source = self
            .view()
            .and_then(|view| Member::snapshot_source(view, &self.me.id));
        view == self.number() && source.as_ref() == Some(from) && behind
    }

    /// Whether the log here is like the sender's up to a position that is committed there.
    fn reaches(&self, position: Position) -> bool {
        position.index <= self.committed || self.log.holds(position)
    }

    pub(super) fn snapshot_part_received(
        &mut self,
        from: MemberId,
        view: u64,
        part: SnapshotPart,
        now: Millis,
        out: &mut Vec<Output>,
    ) {
        let label = part.label;
        if !self.takes_snapshots_of(&from, view) {
            return;
        }
        self.upstream.heard_snapshot(now);
        if self.reaches(label.position) {
            // The sender goes on from there: it may know neither the end of the log here nor what is committed here.
            let progress = SnapshotProgress {
                label,
                held: label.length,
                refused: false,
            };
            return self.send(
                &from,
                Message::SnapshotProgress { view, progress },
                now,
                out,
            );
        }
        let taken = Incoming::take(
            &mut self.snapshots.incoming,
            part,
            self.guards.snapshots_checked,
        );
        let (held, refused) = match taken {
            Taken::Held(held) => (held, false),
            Taken::Whole(_) => (label.length, false),
            Taken::Refused(refusal) => {
                self.refuse_snapshot(refusal);
                (0, true)
            }
        };
        let progress = SnapshotProgress {
            label,
            held,
            refused,
        };
        self.send(
            &from,
            Message::SnapshotProgress { view, progress },
            now,
            out,
        );
        if let Taken::Whole(snapshot) = taken {
            self.install_snapshot(snapshot, now, out);
        }
    }

    fn refuse_snapshot(&mut self, refusal: SnapshotRefusal) {
        self.snapshots.refusals.count(refusal);
    }

    /// From a member of an earlier version, which sends it in one piece.
    pub(super) fn snapshot_received(
        &mut self,
        from: MemberId,
        view: u64,
        snapshot: SavedSnapshot,
        now: Millis,
        out: &mut Vec<Output>,
    ) {
        if self.takes_snapshots_of(&from, view) && !self.reaches(snapshot.position) {
            self.install_snapshot(snapshot, now, out);
        }
    }

    fn install_snapshot(&mut self, snapshot: SavedSnapshot, now: Millis, out: &mut Vec<Output>) {
        let position = snapshot.position;
        // The log lacked what was committed, so it was no log to go on from; until it has come up it is none.
        self.synced_view = 0;
        self.journal.truncated(0);
        self.journal.write(Write::Truncate { index: 0 });
        self.journal.write(Write::Synced { view: 0 });
        out.push(Output::Install {
            index: position.index,
            bytes: snapshot.bytes.to_vec(),
        });
        let refusals = self.snapshots.refusals;
        self.snapshots = Snapshots {
            refusals,
            ..Snapshots::from(Some(&snapshot))
        };
        self.journal.write(Write::Snapshot { snapshot });
        self.journal.then(Consequence::Stored {
            index: position.index,
        });
        self.log.reset(position);
        self.persisted = 0;
        self.committed = position.index;
        self.commits_given_out(out);
        self.hurry_following(now, out);
    }

    pub(super) fn tick_snapshots(&mut self, now: Millis, out: &mut Vec<Output>) {
        if self.next_demand().is_some_and(|at| now >= at) {
            self.ask_for_snapshot(now, out);
        }
        self.snapshots
            .transfers
            .retain(|transfer| !transfer.is_given_up(now));
        let due = |transfer: &&Transfer| now >= transfer.sent_at + SNAPSHOT_PART_AGAIN;
        let again: Vec<MemberId> = self
            .snapshots
            .transfers
            .iter()
            .filter(due)
            .map(|transfer| transfer.to.clone())
            .collect();
        for member in again {
            self.send_part(&member, now, out);
        }
    }

    /// The connection to a member works again: the part on its way is lost.
    pub(super) fn snapshots_reconnected(
        &mut self,
        peer: &MemberId,
        now: Millis,
        out: &mut Vec<Output>,
    ) {
        self.send_part(peer, now, out);
    }

    /// When to ask the caller again.
    fn next_demand(&self) -> Option<Millis> {
        self.snapshots
            .asked_at
            .filter(|_| self.snapshots.is_wanted())
            .map(|at| at + SNAPSHOT_AGAIN)
    }

    pub(super) fn next_snapshot_tick(&self) -> Option<Millis> {
        let parts = self
            .snapshots
            .transfers
            .iter()
            .map(|transfer| transfer.sent_at + SNAPSHOT_PART_AGAIN);
        let parts = parts.filter(|_| self.is_synced()).min();
        [self.next_demand(), parts].into_iter().flatten().min()
    }
}
