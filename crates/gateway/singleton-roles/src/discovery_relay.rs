//! The role `watch`: one limiter of a zone watches service discovery and relays its updates to the others. The
//! others close their own watch while the relay is fresh, and reopen it at spread-out times when it is not.
//! No I/O, no clock; endpoint lists are opaque bytes.
//!
//! A list under an older token must never be accepted, and no limiter may be without both a fresh relay and
//! its own watch for longer than `stale_after` plus `reopen_spread`.

use crate::{Name, Slot};
use serde::{Deserialize, Serialize};

/// Settings of the relay, from the operators' file. Times are seconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Time between two heartbeats of the relaying limiter.
    pub heartbeat_interval: f64,
    /// Time without a message after which the relay is no longer fresh.
    pub stale_after: f64,
    /// Limiters reopen their own watch at times spread over this period after the relay went stale.
    pub reopen_spread: f64,
    /// A relay is ignored if its own watch received nothing for this long.
    pub max_source_age: f64,
}

/// A setting of the relay is out of range.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error(
    "fleet.watch: beat {heartbeat}, stale {stale}, spread {spread}, trust {trust}; beat must be over 0, stale \
     over twice the beat, spread at least 0, trust over the beat"
)]
pub struct SettingsError {
    heartbeat: f64,
    stale: f64,
    spread: f64,
    trust: f64,
}

impl Settings {
    /// Checks that every setting is in its range.
    ///
    /// # Errors
    /// A setting is out of range.
    pub fn validate(&self) -> Result<(), SettingsError> {
        let (heartbeat, stale) = (self.heartbeat_interval, self.stale_after);
        let (spread, trust) = (self.reopen_spread, self.max_source_age);
        if !(heartbeat > 0.0 && stale > 2.0 * heartbeat && spread >= 0.0 && trust > heartbeat) {
            return Err(SettingsError {
                heartbeat,
                stale,
                spread,
                trust,
            });
        }
        Ok(())
    }
}

/// A message between the limiters of a zone.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// The relaying limiter is alive.
    Heartbeat {
        /// The role's slot in this zone.
        slot: Slot,
        /// The relaying limiter's fencing token.
        token: u64,
        /// The revision of the relaying limiter's list.
        revision: u64,
        /// Seconds since the relaying limiter's own watch last received something.
        age: f64,
    },
    /// The endpoint list changed.
    Update {
        /// The role's slot in this zone.
        slot: Slot,
        /// The relaying limiter's fencing token.
        token: u64,
        /// The revision that the changes apply to; None for a complete list.
        since: Option<u64>,
        /// The revision of the list after these changes.
        revision: u64,
        /// The changes, or the complete list.
        endpoints: Vec<u8>,
    },
    /// Requests the complete list.
    RequestEndpoints {
        /// The role's slot in this zone.
        slot: Slot,
    },
}

/// An action that the caller carries out for the relay.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Open this limiter's own watch on discovery.
    OpenWatch,
    /// Close this limiter's own watch.
    CloseWatch,
    /// Send a message to all other limiters of the zone.
    Broadcast(Message),
    /// Send the complete list to one limiter.
    SendEndpoints {
        /// The limiter that requested the list.
        to: Name,
        /// The fencing token to send it under.
        token: u64,
    },
    /// Send a message to one limiter.
    Send {
        /// The receiver.
        to: Name,
        /// The message to send.
        message: Message,
    },
    /// Apply endpoints that arrived through the relay.
    ApplyEndpoints {
        /// The changes, or the complete list.
        endpoints: Vec<u8>,
        /// The revision of the list after applying them.
        revision: u64,
    },
}

/// An update from this limiter's own watch on discovery.
#[derive(Clone, Debug, PartialEq)]
pub struct DiscoveryUpdate {
    /// The revision of the list.
    pub revision: u64,
    /// Whether `endpoints` is the complete list rather than changes.
    pub complete: bool,
    /// The encoded endpoints.
    pub endpoints: Vec<u8>,
}

/// One limiter's state in the relay of its zone. Times are seconds on the limiter's own clock.
pub struct Relay {
    settings: Settings,
    slot: Slot,
    revision: u64,
    watching: bool,
    /// Whether this limiter holds the role.
    relaying: bool,
    /// When this limiter's own watch last received something.
    last_update: f64,
    /// Until when the relay is fresh without another message.
    fresh_until: f64,
    /// Since when the relay has been fresh without a gap.
    fresh_since: f64,
    next_heartbeat: f64,
    /// Position of this limiter within `reopen_spread`, from 0 to 1.
    jitter: f64,
    /// When the complete list was last requested.
    endpoints_requested_at: f64,
}

impl Relay {
    /// Creates the state of a limiter that watches discovery itself until a relay has been fresh for a while.
    /// `jitter` is from 0 to 1.
    #[must_use]
    pub fn new(settings: Settings, slot: Slot, revision: u64, jitter: f64, now: f64) -> Self {
        Relay {
            settings,
            slot,
            revision,
            watching: true,
            relaying: false,
            last_update: now,
            fresh_until: f64::NEG_INFINITY,
            fresh_since: now,
            next_heartbeat: now,
            jitter,
            endpoints_requested_at: f64::NEG_INFINITY,
        }
    }

    /// The revision of this limiter's list.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Whether this limiter has its own watch open.
    #[must_use]
    pub fn is_watching(&self) -> bool {
        self.watching
    }

    /// Whether the relay was heard within `stale_after`.
    #[must_use]
    pub fn is_fresh(&self, now: f64) -> bool {
        now < self.fresh_until
    }

    /// When [`Relay::tick`] is due.
    #[must_use]
    pub fn next_due(&self) -> f64 {
        if self.relaying || self.watching {
            self.next_heartbeat
        } else {
            self.reopen_at()
        }
    }

    fn reopen_at(&self) -> f64 {
        self.fresh_until + self.settings.reopen_spread * self.jitter
    }

    /// Broadcasts a heartbeat if one is due, and opens or closes this limiter's own watch. `token` is the token
    /// under which this limiter holds the role now, if it does.
    pub fn tick(&mut self, token: Option<u64>, now: f64, out: &mut Vec<Action>) {
        self.relaying = token.is_some();
        if now >= self.next_heartbeat {
            if let Some(token) = token {
                out.push(Action::Broadcast(Message::Heartbeat {
                    slot: self.slot,
                    token,
                    revision: self.revision,
                    age: now - self.last_update,
                }));
            }
            self.next_heartbeat = now + self.settings.heartbeat_interval;
        }
        // The own watch is closed only after the relay has been fresh for `stale_after`.
        let relay_is_stable =
            self.is_fresh(now) && now >= self.fresh_since + self.settings.stale_after;
        let needs_watch = if self.watching {
            !relay_is_stable
        } else {
            now >= self.reopen_at()
        };
        let watching = self.relaying || needs_watch;
        if watching != self.watching {
            self.watching = watching;
            self.last_update = now;
            out.push(if watching {
                Action::OpenWatch
            } else {
                Action::CloseWatch
            });
        }
    }

    /// Handles a message of this limiter's own watch; `update` is None for a keep-alive.
    pub fn receive_update(
        &mut self,
        update: Option<DiscoveryUpdate>,
        token: Option<u64>,
        now: f64,
        out: &mut Vec<Action>,
    ) {
        self.last_update = now;
        let Some(update) = update else { return };
        let since = (!update.complete).then_some(self.revision);
        self.revision = update.revision;
        if let Some(token) = token {
            out.push(Action::Broadcast(Message::Update {
                slot: self.slot,
                token,
                since,
                revision: update.revision,
                endpoints: update.endpoints,
            }));
        }
    }

    /// Handles a message of another limiter of the zone, after the caller's fencing check accepted its token.
    pub fn receive(
        &mut self,
        from: &str,
        message: Message,
        token: Option<u64>,
        now: f64,
        out: &mut Vec<Action>,
    ) {
        match message {
            Message::RequestEndpoints { .. } => {
                if let Some(token) = token {
                    let to = from.into();
                    out.push(Action::SendEndpoints { to, token });
                }
            }
            _ if token.is_some() => {}
            Message::Heartbeat { revision, age, .. } => {
                if !(age >= 0.0 && age < self.settings.max_source_age) {
                    return;
                }
                if revision > self.revision {
                    self.request_endpoints(from, now, out);
                } else if revision == self.revision {
                    self.refresh(now);
                }
            }
            Message::Update {
                since,
                revision,
                endpoints,
                ..
            } => {
                if revision <= self.revision {
                    return;
                }
                if since.is_some_and(|since| since > self.revision) {
                    self.request_endpoints(from, now, out);
                } else {
                    self.revision = revision;
                    self.refresh(now);
                    out.push(Action::ApplyEndpoints {
                        endpoints,
                        revision,
                    });
                }
            }
        }
    }

    fn refresh(&mut self, now: f64) {
        if !self.is_fresh(now) {
            self.fresh_since = now;
        }
        self.fresh_until = now + self.settings.stale_after;
    }

    fn request_endpoints(&mut self, from: &str, now: f64, out: &mut Vec<Action>) {
        if now > self.endpoints_requested_at + self.settings.heartbeat_interval {
            self.endpoints_requested_at = now;
            let message = Message::RequestEndpoints { slot: self.slot };
            out.push(Action::Send {
                to: from.into(),
                message,
            });
        }
    }
}
