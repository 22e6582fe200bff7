//! Bootstrap, joining and leaving.

use super::state::joining::{JoinAttempt, Joiner};
use super::{Member, Output};
use crate::agreement::DecidedView;
use crate::identity::Peer;
use crate::limits::MAX_JOINERS;
use crate::message::Message;
use crate::timing::{Millis, JOIN_RETRY};
use crate::view::View;
use crate::write_queue::Completion;
use std::net::SocketAddr;

impl Member {
    /// Installs the first view, given by the caller or by the process that bootstraps the system. Only a member with an
    /// empty disk and with `may_bootstrap` installs it.
    pub(super) fn bootstrap(&mut self, view: View) {
        let is_empty = self.decided.is_none() && self.log.last().index == 0;
        let is_first = view.number == 1 && view.is_sound() && view.has_member(&self.me.id);
        if !is_empty || !self.may_bootstrap || !is_first {
            return;
        }
        self.install_view(DecidedView::bootstrap(view));
        // The view is announced only once it is on disk. Otherwise this process could lose it in a crash after others have
        // installed it.
        self.write_queue
            .when_persisted(Completion::AnnounceFirstView);
    }

    pub(super) fn announce_first_view(&mut self) {
        if let Some(decided) = self.decided.clone() {
            self.announce_decided(&decided, None);
        }
    }

    pub(super) fn join(&mut self, contacts: Vec<SocketAddr>) {
        self.seek_membership(contacts);
        self.request_to_join();
    }

    /// Starts to request membership, unless this process is already a member or is leaving.
    pub(super) fn seek_membership(&mut self, contacts: Vec<SocketAddr>) {
        if self.is_member() || self.leaving {
            self.join_attempt = None;
            return;
        }
        let now = self.now;
        let attempt = self.join_attempt.get_or_insert_with(|| JoinAttempt {
            contacts: Vec::new(),
            next_request_at: now,
        });
        attempt.next_request_at = now;
        if !contacts.is_empty() {
            attempt.contacts = contacts;
        }
    }

    fn request_to_join(&mut self) {
        let now = self.now;
        let Some(attempt) = self
            .join_attempt
            .as_mut()
            .filter(|attempt| now >= attempt.next_request_at)
        else {
            return;
        };
        attempt.next_request_at = now + JOIN_RETRY;
        let mut addresses = attempt.contacts.clone();
        let message = Message::Join {
            joiner: self.me.clone(),
        };
        if let Some(view) = self.view().cloned() {
            addresses.retain(|address| !view.members.iter().any(|peer| peer.address == *address));
            self.outputs
                .extend(view.members.into_iter().map(|to| Output::Send {
                    to,
                    message: message.clone(),
                }));
        }
        addresses.retain(|address| *address != self.me.address);
        self.outputs
            .extend(addresses.into_iter().map(|address| Output::SendToAddress {
                address,
                message: message.clone(),
            }));
    }

    pub(super) fn on_join(&mut self, joiner: Peer) {
        let Some(decided) = self.decided.clone() else {
            return;
        };
        self.send_view(&joiner);
        if decided.view.has_member(&joiner.id) || !decided.view.has_member(&self.me.id) {
            return;
        }
        let now = self.now;
        self.joiners.retain(|other| other.is_alive(now));
        if let Some(known) = self.joiners.iter_mut().find(|other| other.peer == joiner) {
            known.requested_again(now);
        } else if self.joiners.len() < MAX_JOINERS {
            self.joiners.push(Joiner::new(joiner, now));
            self.joiners
                .sort_by(|one, other| one.peer.id.cmp(&other.peer.id));
        }
        self.drive_proposer();
    }

    pub(super) fn leave(&mut self) {
        self.leaving = true;
        self.join_attempt = None;
        self.ping_all();
        self.drive_proposer();
    }

    pub(super) fn tick_join(&mut self) {
        self.request_to_join();
    }

    pub(super) fn next_join_tick(&self) -> Option<Millis> {
        self.join_attempt
            .as_ref()
            .map(|attempt| attempt.next_request_at)
    }
}
