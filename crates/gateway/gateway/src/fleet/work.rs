//! Messages that limiters exchange to do the work of the singleton roles.

use crate::event_loop::EventLoop;
use crate::fleet::FleetMember;
use crate::fleet::MAX_TRACKED_SHARDS;
use dunespur_peer_transport::Kind;
use dunespur_quota_sharing as quota_sharing;
use dunespur_singleton_roles::audit;
use dunespur_singleton_roles::health_check;
use dunespur_singleton_roles::Slot;
use dunespur_singleton_roles::SlotRange;
use serde::Deserialize;
use serde::Serialize;
use std::rc::Rc;

/// A work message of the singleton roles. The encoding depends on the order of variants and fields.
#[derive(Serialize, Deserialize)]
pub enum Work {
    /// An effect of a trial.
    Effect {
        /// The slot that the sender held.
        slot: Slot,
        /// The sender's fencing token for the slot.
        token: u64,
    },
    /// Complaints about servers, and results of health checks.
    Probe(health_check::Message),
    /// Units that a limiter added to the counter, for the auditor.
    Audit {
        /// The shard of the counter's names.
        slot: Slot,
        /// The usage by name.
        message: audit::Message,
    },
    /// Lease requests and responses between borrowers and brokers.
    Lend(quota_sharing::Message),
}

impl FleetMember {
    pub(super) fn receive_work(
        &mut self,
        event_loop: &Rc<EventLoop>,
        from: &str,
        work: Work,
        now: f64,
    ) {
        match work {
            Work::Lend(message) => self.receive_lease_message(event_loop, from, message, now),
            Work::Effect { slot, token } => _ = self.accept_token(from, slot, token, now),
            Work::Probe(health_check::Message::Complaint { server, .. }) => {
                self.receive_complaint(from, server, now)
            }
            Work::Probe(health_check::Message::Observed {
                slot,
                token,
                server,
                observation,
                age,
            }) => {
                let plausible = (0.0..60.0).contains(&age) && server.len() < 64;
                if plausible && self.accept_token(from, slot, token, now) {
                    self.apply_observation(event_loop, &server, observation, age, now);
                }
            }
            Work::Audit { slot, message } => {
                if self.role_client.token(slot, now).is_some() {
                    self.auditor.receive(from, message, now, &self.config.audit);
                }
            }
        }
    }

    /// The slot of a sharded role that a key belongs to.
    pub(super) fn shard_of(range: Option<SlotRange>, key: u64) -> Option<Slot> {
        range.map(|range| {
            let count = range.truncated(MAX_TRACKED_SHARDS).count;
            range.first + (key % u64::from(count)) as Slot
        })
    }

    /// Sends work to the owner of the slot, which may be this process. Returns false if no owner is known.
    pub(super) fn send_to_owner(
        &mut self,
        event_loop: &Rc<EventLoop>,
        slot: Slot,
        work: Work,
        now: f64,
    ) -> bool {
        if self.role_client.token(slot, now).is_some() {
            let own_name = self.identity.name.clone();
            self.receive_work(event_loop, &own_name, work, now);
            true
        } else if let Some(name) = self.role_client.owner(slot).cloned() {
            let body = postcard::to_stdvec(&work).unwrap_or_default();
            self.addresses_of(&name)
                .into_iter()
                .for_each(|address| self.transport.send(address, Kind::Work, body.clone()));
            true
        } else {
            false
        }
    }
}
