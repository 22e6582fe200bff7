//! The role `watch`: one limiter of a zone watches discovery and relays to the others what it hears. They
//! close their own watch while the relay is fresh, and open it again, spread out, when it is not. No I/O, no
//! clock; lists of endpoints are bytes to it. It must never take a list under an older token, and never leave
//! a limiter with neither a fresh relay nor its own watch for longer than `stale_after` and
//! `reopen_spread` together.

use crate::{Name, Slot};
use serde::{Deserialize, Serialize};

/// What the operators' file says. Times are seconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The relaying limiter says this often that it is there.
    pub heartbeat_interval: f64,
    /// A relay that says nothing for this long is not fresh any more.
    pub stale_after: f64,
    /// Those who then watch for themselves do so within this time, each at its own moment.
    pub reopen_spread: f64,
    /// A relaying limiter whose own watch said nothing for this long is no source.
    pub max_source_age: f64,
}

/// The settings can't be used.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error(
    "fleet.watch: beat {heartbeat}, stale {stale}, spread {spread}, trust {trust}; stale has to be over \
     two beats, trust over one, all over 0"
)]
pub struct SettingsError {
    heartbeat: f64,
    stale: f64,
    spread: f64,
    trust: f64,
}

impl Settings {
    /// Checks the ranges.
    ///
    /// # Errors
    /// A setting is out of its range.
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

/// Between the limiters of a zone.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// The relaying limiter is there.
    Heartbeat {
        /// The role's slot in this zone.
        slot: Slot,
        /// Its fencing token.
        token: u64,
        /// The revision of its list.
        revision: u64,
        /// How long ago its own watch last said something, in seconds.
        age: f64,
    },
    /// The list changed.
    Update {
        /// The role's slot in this zone.
        slot: Slot,
        /// Its fencing token.
        token: u64,
        /// The revision that this follows; none for a complete list.
        since: Option<u64>,
        /// The revision of the list with these changes.
        revision: u64,
        /// What changed, or the complete list.
        endpoints: Vec<u8>,
    },
    /// The sender needs the complete list.
    RequestEndpoints {
        /// The role's slot in this zone.
        slot: Slot,
    },
}

/// What the relay wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Watch discovery itself.
    OpenWatch,
    /// Close its own watch.
    CloseWatch,
    /// To all other limiters of the zone.
    Broadcast(Message),
    /// The complete list, to one.
    SendEndpoints {
        /// Who needs it.
        to: Name,
        /// The fencing token to send it under.
        token: u64,
    },
    /// A message to one.
    Send {
        /// The receiver.
        to: Name,
        /// The message.
        message: Message,
    },
    /// This list came through the relay.
    ApplyEndpoints {
        /// What changed, or the complete list.
        endpoints: Vec<u8>,
        /// Its revision.
        revision: u64,
    },
}

/// What discovery itself said.
#[derive(Clone, Debug, PartialEq)]
pub struct DiscoveryUpdate {
    /// The revision of the list.
    pub revision: u64,
    /// The list is complete; else it has what changed.
    pub complete: bool,
    /// The list.
    pub endpoints: Vec<u8>,
}

/// One limiter's part in the relay of its zone. Times are seconds on its own clock.
pub struct Relay {
    settings: Settings,
    slot: Slot,
    revision: u64,
    watching: bool,
    /// It holds the role.
    relaying: bool,
    /// When its own watch last said something.
    last_update: f64,
    fresh_until: f64,
    fresh_since: f64,
    next_heartbeat: f64,
    /// This one's part of the spread, from 0 to 1.
    jitter: f64,
    endpoints_requested: f64,
}

impl Relay {
    /// One that watches for itself until a relay has proved itself. `jitter` is from 0 to 1.
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
            endpoints_requested: f64::NEG_INFINITY,
        }
    }

    /// The revision of the list.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Whether it watches discovery itself.
    #[must_use]
    pub fn is_watching(&self) -> bool {
        self.watching
    }

    /// Whether the relay spoke lately.
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

    /// Does what is due. `token` is what it holds the role under at this moment, if it does.
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
        // Not at the first heartbeat: a relay has to be there for a while before it is relied on.
        let proven = self.is_fresh(now) && now >= self.fresh_since + self.settings.stale_after;
        let wanted = if self.watching {
            !proven
        } else {
            now >= self.reopen_at()
        };
        let watching = self.relaying || wanted;
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

    /// Its own watch said something; `update` where it was more than a sign of life.
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

    /// A message of the zone, whose token the caller's fencing check has accepted.
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
        if now > self.endpoints_requested + self.settings.heartbeat_interval {
            self.endpoints_requested = now;
            let message = Message::RequestEndpoints { slot: self.slot };
            out.push(Action::Send {
                to: from.into(),
                message,
            });
        }
    }
}
