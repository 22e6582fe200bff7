//! Messages of the singleton roles' work, to whoever owns a slot.

use crate::fleet::Fleet;
use crate::fleet::MAX_TRACKED_SHARDS;
use crate::hub::Hub;
use dunespur_peer_transport::Kind;
use dunespur_quota_sharing as quota_sharing;
use dunespur_singleton_roles::audit;
use dunespur_singleton_roles::health_check;
use dunespur_singleton_roles::Slot;
use dunespur_singleton_roles::SlotRange;
use serde::Deserialize;
use serde::Serialize;
use std::rc::Rc;

/// Messages by which limiters do the work of the singleton roles. The encoding goes by position and order.
#[derive(Serialize, Deserialize)]
pub enum Work {
    /// An effect of a trial.
    Effect {
        /// The slot that its sender held.
        slot: Slot,
        /// The fencing token under which it did.
        token: u64,
    },
    /// Complaints about servers, and what checks of them saw.
    Probe(health_check::Message),
    /// What a limiter added to the counter, for the auditor.
    Audit {
        /// The shard of the counter's names.
        slot: Slot,
        /// The sums.
        message: audit::Message,
    },
    /// Between borrowers and brokers of the counter's units.
    Lend(quota_sharing::Message),
}

impl Fleet {
    pub(super) fn receive_work(&mut self, hub: &Rc<Hub>, from: &str, work: Work, now: f64) {
        match work {
            Work::Lend(msg) => self.receive_lease_message(hub, from, msg, now),
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
                let known = (0.0..60.0).contains(&age) && server.len() < 64;
                if known && self.accept_token(from, slot, token, now) {
                    self.apply_observation(hub, &server, observation, age, now);
                }
            }
            Work::Audit { slot, message } => {
                if self.client.token(slot, now).is_some() {
                    self.auditor.receive(from, message, now, &self.plan.audit);
                }
            }
        }
    }

    /// The slot of a duty with shards that a key belongs to.
    pub(super) fn shard_of(of: Option<SlotRange>, key: u64) -> Option<Slot> {
        of.map(|range| {
            let count = range.truncated(MAX_TRACKED_SHARDS).count;
            range.first + (key % u64::from(count)) as Slot
        })
    }

    /// To whoever holds the slot, as far as it is known; this process included. False where nobody is known.
    pub(super) fn send_to_owner(
        &mut self,
        hub: &Rc<Hub>,
        slot: Slot,
        work: Work,
        now: f64,
    ) -> bool {
        if self.client.token(slot, now).is_some() {
            let me = self.identity.name.clone();
            self.receive_work(hub, &me, work, now);
            true
        } else if let Some(name) = self.client.owner(slot).cloned() {
            let body = postcard::to_stdvec(&work).unwrap_or_default();
            self.addresses_of(&name)
                .into_iter()
                .for_each(|at| self.links.send(at, Kind::Work, body.clone()));
            true
        } else {
            false
        }
    }
}
