//! Pings, newcomers, founding, and the installation of views.

use super::{Member, Output};
use crate::agreed::DecidedView;
use crate::disk::Write;
use crate::identity::{MemberId, Peer, View};
use crate::journal::Consequence;
use crate::message::{Message, Ping};
use crate::plan::Applicant;
use crate::timing::{
    Millis, CATCH_UP_GAP, JOIN_EVERY, MOST_NEWCOMERS, NEWCOMER_LASTS, NEWCOMER_WAITS, PING_EVERY,
    STALLED_AFTER,
};
use std::net::SocketAddr;

/// A member that asks to be added to the view.
#[derive(Clone, Debug)]
pub(super) struct Newcomer {
    pub(super) peer: Peer,
    first_heard_at: Millis,
    heard_at: Millis,
}

impl Newcomer {
    pub(super) fn applicant(&self, now: Millis) -> Applicant {
        Applicant {
            peer: self.peer.clone(),
            patient: now >= self.first_heard_at + NEWCOMER_WAITS,
        }
    }

    pub(super) fn is_heard(&self, now: Millis) -> bool {
        now < self.heard_at + NEWCOMER_LASTS
    }
}

/// This member asks to be added to a view.
#[derive(Clone, Debug)]
pub(super) struct Joining {
    contacts: Vec<SocketAddr>,
    next: Millis,
}

impl Member {
    /// The caller or its founder sets the first view: taken on an empty disk only, and only where it may be.
    pub(super) fn found(&mut self, view: View, now: Millis, out: &mut Vec<Output>) {
        let fresh = self.decided.is_none() && self.log.last().index == 0;
        let first = view.number == 1 && view.is_sound() && view.has_member(&self.me.id);
        if !fresh || !self.may_found || !first {
            return;
        }
        self.install(DecidedView::founding(view), now, out);
        // Against a first view that its founder has forgotten while others have it.
        self.journal.then(Consequence::Founded);
    }

    pub(super) fn tell_first_view(&mut self, out: &mut Vec<Output>) {
        if let Some(decided) = self.decided.clone() {
            self.tell_decided(&decided, None, out);
        }
    }

    pub(super) fn join(&mut self, contacts: Vec<SocketAddr>, now: Millis, out: &mut Vec<Output>) {
        self.seek_place(contacts, now);
        self.ask_to_join(now, out);
    }

    /// Starts to ask for a place, unless this member has one.
    pub(super) fn seek_place(&mut self, contacts: Vec<SocketAddr>, now: Millis) {
        let has_place = self.view().is_some_and(|view| view.has_member(&self.me.id));
        if has_place || self.leaving {
            self.joining = None;
            return;
        }
        let joining = self.joining.get_or_insert(Joining {
            contacts: Vec::new(),
            next: now,
        });
        joining.next = now;
        if !contacts.is_empty() {
            joining.contacts = contacts;
        }
    }

    fn ask_to_join(&mut self, now: Millis, out: &mut Vec<Output>) {
        let Some(joining) = self.joining.as_mut().filter(|joining| now >= joining.next) else {
            return;
        };
        joining.next = now + JOIN_EVERY;
        let mut addresses = joining.contacts.clone();
        let message = Message::Join {
            newcomer: self.me.clone(),
        };
        if let Some(view) = self.view() {
            addresses
                .retain(|address| !view.members.iter().any(|member| member.address == *address));
            let asked = view.members.iter().map(|to| Output::Send {
                to: to.clone(),
                message: message.clone(),
            });
            out.extend(asked);
        }
        addresses.retain(|address| *address != self.me.address);
        out.extend(addresses.into_iter().map(|address| Output::SendTo {
            address,
            message: message.clone(),
        }));
    }

    pub(super) fn newcomer_asks(&mut self, newcomer: Peer, now: Millis, out: &mut Vec<Output>) {
        let Some(decided) = self.decided.clone() else {
            return;
        };
        out.push(Output::Send {
            to: newcomer.clone(),
            message: Message::Decided {
                decided: decided.clone(),
            },
        });
        if decided.view.has_member(&newcomer.id) || !decided.view.has_member(&self.me.id) {
            return;
        }
        self.newcomers.retain(|other| other.is_heard(now));
        if let Some(known) = self
            .newcomers
            .iter_mut()
            .find(|other| other.peer == newcomer)
        {
            known.heard_at = now;
        } else if self.newcomers.len() < MOST_NEWCOMERS {
            self.newcomers.push(Newcomer {
                peer: newcomer,
                first_heard_at: now,
                heard_at: now,
            });
            self.newcomers
                .sort_by(|one, other| one.peer.id.cmp(&other.peer.id));
        }
        self.consider_next_view(now, out);
    }

    pub(super) fn leave(&mut self, now: Millis, out: &mut Vec<Output>) {
        self.leaving = true;
        self.joining = None;
        self.ping_all(false, now, out);
        self.consider_next_view(now, out);
    }

    /// A view that was decided, by whomever it is told.
    pub(super) fn learn(&mut self, decided: DecidedView, now: Millis, out: &mut Vec<Output>) {
        if decided.number() > self.number() && decided.view.is_sound() {
            self.install(decided, now, out);
        }
    }

    /// The one place where the view changes.
    pub(super) fn install(&mut self, decided: DecidedView, now: Millis, out: &mut Vec<Output>) {
        self.journal.write(Write::Install {
            decided: decided.clone(),
        });
        let before = self.decided.replace(decided);
        let view = self.view().cloned().expect("just installed");
        self.decided_at = now;
        self.end_agreement();
        self.peers.install(
            before.as_ref().map(|before| &before.view),
            &view,
            &self.me.id,
            now,
        );
        self.newcomers
            .retain(|newcomer| !view.has_member(&newcomer.peer.id));
        self.seek_place(Vec::new(), now);
        self.told_current = self.current(now);
        out.push(Output::ViewChanged {
            view,
            current: self.told_current,
        });
        self.enter_chain(now, out);
        self.view_changed_for_requests(now, out);
        self.ping_all(false, now, out);
    }

    /// Tells all members of the view, and of the one before it.
    pub(super) fn tell_decided(
        &mut self,
        decided: &DecidedView,
        before: Option<&View>,
        out: &mut Vec<Output>,
    ) {
        let gone = before.into_iter().flat_map(|before| before.members.iter());
        let gone = gone.filter(|member| !decided.view.has_member(&member.id));
        for to in decided
            .view
            .members
            .iter()
            .chain(gone)
            .filter(|member| member.id != self.me.id)
        {
            let message = Message::Decided {
                decided: decided.clone(),
            };
            out.push(Output::Send {
                to: to.clone(),
                message,
            });
        }
    }

    pub(super) fn disconnected(&mut self, peer: &MemberId, now: Millis, out: &mut Vec<Output>) {
        if self.peers.is_disconnected(peer) {
            return;
        }
        self.peers.disconnected(peer, now);
        if let Some(peer) = self.view().and_then(|view| view.member(peer)).cloned() {
            self.ping(&peer, true, now, out);
        }
    }

    /// Whether this member's disk hasn't answered for long.
    pub(super) fn is_stalled(&self, now: Millis) -> bool {
        self.journal.out_for(now) >= STALLED_AFTER
    }

    pub(super) fn is_leaving(&self) -> bool {
        self.leaving
    }

    fn ping(&mut self, to: &Peer, answer: bool, now: Millis, out: &mut Vec<Output>) {
        let ping = Ping {
            address: self.me.address,
            view: self.number(),
            stamp: self.stamps_begin + now,
            echo: self.peers.stamp(&to.id),
            connected: self.connected_bits(now),
            synced: self.has_come_up(),
            stalled: self.is_stalled(now),
            leaving: self.leaving,
            committed: self.committed,
            answer,
        };
        out.push(Output::Send {
            to: to.clone(),
            message: Message::Ping(ping),
        });
    }

    /// Whom this member is connected with both ways, a bit for each member of the view.
    fn connected_bits(&self, now: Millis) -> u32 {
        let Some(view) = self.view() else { return 0 };
        let connected = |id: &MemberId| *id == self.me.id || self.peers.is_connected(id, now);
        let bits = view
            .members
            .iter()
            .enumerate()
            .filter(|(_, member)| connected(&member.id));
        bits.fold(0, |bits, (index, _)| bits | 1 << index)
    }

    /// When a stamp of this run was sent; none for those of other runs.
    fn time_of_stamp(&self, stamp: Option<u64>, now: Millis) -> Option<Millis> {
        stamp?
            .checked_sub(self.stamps_begin)
            .filter(|at| *at <= now)
    }

    pub(super) fn ping_all(&mut self, answer: bool, now: Millis, out: &mut Vec<Output>) {
        self.next_ping = now + PING_EVERY;
        let Some(view) = self.view().filter(|view| view.has_member(&self.me.id)) else {
            return;
        };
        let others: Vec<Peer> = view
            .members
            .iter()
            .filter(|member| member.id != self.me.id)
            .cloned()
            .collect();
        for other in &others {
            self.ping(other, answer, now, out);
        }
    }

    pub(super) fn pinged(
        &mut self,
        from: MemberId,
        ping: Ping,
        now: Millis,
        out: &mut Vec<Output>,
    ) {
        let sender = Peer {
            id: from,
            address: ping.address,
        };
        let number = ping.view;
        let answer = ping.answer;
        let echoed = self.time_of_stamp(ping.echo, now);
        let news = self.peers.pinged(&sender.id, ping, echoed);
        if number < self.number() {
            self.tell_view(&sender, out);
        } else if number > self.number() {
            self.ask_for_view(&sender, now, out);
        }
        if answer {
            self.ping(&sender, false, now, out);
        }
        // Without news the next tick is soon enough.
        if news {
            self.consider_next_view(now, out);
        }
    }

    /// Tells the present view to one that doesn't know it.
    pub(super) fn tell_view(&mut self, to: &Peer, out: &mut Vec<Output>) {
        if let Some(decided) = self.decided.clone() {
            out.push(Output::Send {
                to: to.clone(),
                message: Message::Decided { decided },
            });
        }
    }

    /// There is a later view: a ping of ours shows that we don't know it.
    pub(super) fn ask_for_view(&mut self, from: &Peer, now: Millis, out: &mut Vec<Output>) {
        if now >= self.caught_up_at + CATCH_UP_GAP {
            self.caught_up_at = now;
            self.ping(from, false, now, out);
        }
    }

    /// A message of a later view has come.
    pub(super) fn ask_for_view_of(&mut self, from: &MemberId, now: Millis, out: &mut Vec<Output>) {
        if let Some(from) = self.view().and_then(|view| view.member(from)).cloned() {
            self.ask_for_view(&from, now, out);
        }
    }

    pub(super) fn tick_membership(&mut self, now: Millis, out: &mut Vec<Output>) {
        if now >= self.next_ping {
            self.ping_all(false, now, out);
        }
        self.ask_to_join(now, out);
    }

    pub(super) fn next_membership_tick(&self) -> Option<Millis> {
        let is_member = self.view().is_some_and(|view| view.has_member(&self.me.id));
        let ping = is_member.then_some(self.next_ping);
        let join = self.joining.as_ref().map(|joining| joining.next);
        [ping, join].into_iter().flatten().min()
    }
}
