//! Joining a view: those that ask this member, and this member's own request.

use crate::identity::Peer;
use crate::reconfiguration::JoinRequest;
use crate::timing::{Millis, ADDITIONAL_JOINER_DELAY, JOINER_TIMEOUT};
use std::net::SocketAddr;

/// One that asks to be added to the view.
#[derive(Clone, Debug)]
pub(crate) struct Joiner {
    pub(crate) peer: Peer,
    first_asked_at: Millis,
    last_asked_at: Millis,
}

impl Joiner {
    pub(crate) fn new(peer: Peer, now: Millis) -> Joiner {
        Joiner {
            peer,
            first_asked_at: now,
            last_asked_at: now,
        }
    }

    pub(crate) fn asked_again(&mut self, now: Millis) {
        self.last_asked_at = now;
    }

    pub(crate) fn request(&self, now: Millis) -> JoinRequest {
        JoinRequest {
            joiner: self.peer.clone(),
            may_be_additional: now >= self.first_asked_at + ADDITIONAL_JOINER_DELAY,
        }
    }

    /// Whether it has asked lately.
    pub(crate) fn is_alive(&self, now: Millis) -> bool {
        now < self.last_asked_at + JOINER_TIMEOUT
    }
}

/// This member asks to be added to a view.
#[derive(Clone, Debug)]
pub(crate) struct JoinAttempt {
    /// Whom to ask besides the members of the newest view known here.
    pub(crate) contacts: Vec<SocketAddr>,
    pub(crate) next_at: Millis,
}
