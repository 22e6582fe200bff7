//! Joining a view: the requests of other processes, and this member's own attempt.

use crate::identity::Peer;
use crate::reconfiguration::JoinRequest;
use crate::timing::{Millis, ADDITIONAL_JOINER_DELAY, JOINER_TIMEOUT};
use std::net::SocketAddr;

/// A process that requests to be added to the view.
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

    /// Whether the joiner has sent a request within [`JOINER_TIMEOUT`].
    pub(crate) fn is_alive(&self, now: Millis) -> bool {
        now < self.last_requested_at + JOINER_TIMEOUT
    }
}

/// This member's attempt to be added to a view.
#[derive(Clone, Debug)]
pub(crate) struct JoinAttempt {
    /// Addresses to send the request to, besides the members of the newest known view.
    pub(crate) contacts: Vec<SocketAddr>,
    pub(crate) next_request_at: Millis,
}
