//! Joining a view: requests of others, and this member's own.

use crate::identity::Peer;
use crate::reconfiguration::JoinRequest;
use crate::timing::{Millis, ADDITIONAL_JOINER_DELAY, JOINER_TIMEOUT};
use std::net::SocketAddr;

/// One that requests to be added to the view.
#[derive(Clone, Debug)]
pub(crate) struct Joiner {
    pub(crate) peer: Peer,
    first_requested_at: Millis,
    last_requested_at: Millis,
}

impl Joiner {
    pub(crate) fn new(peer: Peer, now: Millis) -> Joiner {
        Joiner {
            peer,
            first_requested_at: now,
            last_requested_at: now,
        }
    }

    pub(crate) fn requested_again(&mut self, now: Millis) {
        self.last_requested_at = now;
    }

    pub(crate) fn request(&self, now: Millis) -> JoinRequest {
        JoinRequest {
            joiner: self.peer.clone(),
            may_be_additional: now >= self.first_requested_at + ADDITIONAL_JOINER_DELAY,
        }
    }

    /// Whether it has sent a request lately.
    pub(crate) fn is_alive(&self, now: Millis) -> bool {
        now < self.last_requested_at + JOINER_TIMEOUT
    }
}

/// This member requests to be added to a view.
#[derive(Clone, Debug)]
pub(crate) struct JoinAttempt {
    /// Whom to send the request besides the members of the newest view known here.
    pub(crate) contacts: Vec<SocketAddr>,
    pub(crate) next_at: Millis,
}
