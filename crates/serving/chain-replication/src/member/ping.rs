//! Pings: heartbeats that report which members are connected, and whether the sender should stay in the chain.

use super::{Member, Output};
use crate::failure_detector::PingReport;
use crate::identity::{MemberId, Peer};
use crate::message::{Message, Ping};
use crate::timing::{Millis, PING_INTERVAL, VIEW_REQUEST_GAP};

/// Whether a ping requests a ping in reply at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reply {
    Requested,
    NotRequested,
}

impl Member {
    pub(super) fn ping_all(&mut self) {
        self.ping_others(Reply::NotRequested);
    }

    pub(super) fn ping_all_for_reply(&mut self) {
        self.ping_others(Reply::Requested);
    }

    fn ping_others(&mut self, reply: Reply) {
        self.next_ping_at = self.now + PING_INTERVAL;
        let Some(view) = self.view().filter(|view| view.has_member(&self.me.id)) else {
            return;
        };
        let others = view.members.iter().filter(|member| member.id != self.me.id);
        let others: Vec<Peer> = others.cloned().collect();
        for other in others {
            self.ping(other, reply);
        }
    }

    fn ping(&mut self, to: Peer, reply: Reply) {
        let ping = Ping {
            address: self.me.address,
            view: self.view_number(),
            timestamp: self.timestamp_base + self.now,
            echoed_timestamp: self.failure_detector.timestamp(&to.id),
            connected: self.connected_bits(),
            synced: self.has_caught_up(),
            disk_stalled: self.is_disk_stalled(),
            leaving: self.leaving,
            commit_index: self.commit_index,
            reply_requested: reply == Reply::Requested,
        };
        let message = Message::Ping(ping);
        self.outputs.push(Output::Send { to, message });
    }

    /// The members that this member is connected with in both directions, a bit for each member of the view.
    fn connected_bits(&self) -> u32 {
        let Some(view) = self.view() else { return 0 };
        let is_connected =
            |id: &MemberId| *id == self.me.id || self.failure_detector.is_connected(id, self.now);
        let connected = view
            .members
            .iter()
            .enumerate()
            .filter(|(_, peer)| is_connected(&peer.id));
        connected.fold(0, |bits, (index, _)| bits | 1 << index)
    }

    /// The time at which this run sent a timestamp; `None` for a timestamp of another run.
    fn sent_at(&self, timestamp: u64) -> Option<Millis> {
        timestamp
            .checked_sub(self.timestamp_base)
            .filter(|at| *at <= self.now)
    }

    pub(super) fn on_ping(&mut self, from: MemberId, ping: Ping) {
        let sender = Peer {
            id: from,
            address: ping.address,
        };
        let view = ping.view;
        let reply_requested = ping.reply_requested;
        let echoed_sent_at = ping
            .echoed_timestamp
            .and_then(|echoed| self.sent_at(echoed));
        let report = self
            .failure_detector
            .ping_received(&sender.id, ping, echoed_sent_at);
        if view < self.view_number() {
            self.send_view(&sender);
        } else if view > self.view_number() {
            self.request_view(sender.clone());
        }
        if reply_requested {
            self.ping(sender, Reply::NotRequested);
        }
        // Without a change the next tick drives the proposer soon enough.
        if report == PingReport::Changed {
            self.drive_proposer();
        }
    }

    /// Requests a later view: a ping with this member's view number makes the receiver send the newer view.
    fn request_view(&mut self, from: Peer) {
        if self.now >= self.view_requested_at + VIEW_REQUEST_GAP {
            self.view_requested_at = self.now;
            self.ping(from, Reply::NotRequested);
        }
    }

    /// Requests the view of a sender whose message was of a later view.
    pub(super) fn request_view_from(&mut self, from: &MemberId) {
        if let Some(from) = self.view().and_then(|view| view.member(from)).cloned() {
            self.request_view(from);
        }
    }

    pub(super) fn on_disconnected(&mut self, peer: &MemberId) {
        if self.failure_detector.is_disconnected(peer) {
            return;
        }
        self.failure_detector.disconnected(peer, self.now);
        if let Some(peer) = self.view().and_then(|view| view.member(peer)).cloned() {
            self.ping(peer, Reply::Requested);
        }
    }

    pub(super) fn tick_pings(&mut self) {
        if self.now >= self.next_ping_at {
            self.ping_all();
        }
    }

    pub(super) fn next_ping_tick(&self) -> Option<Millis> {
        self.is_member().then_some(self.next_ping_at)
    }
}
