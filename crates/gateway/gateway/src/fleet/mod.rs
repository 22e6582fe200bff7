//! This process's part in a fleet of limiters: carries the state machines of gossip, singleton roles and the relayed
//! watch over the links to its peers, and keeps the voter's disk on a thread of its own.
//!
//! Runs only where the operators' file has a `fleet` section. It never holds up an invocation: nothing that serves waits
//! for it, and what it can't do is left undone.

mod addresses;
mod audits;
mod discovery_relaying;
mod event;
mod gossip;
mod health_checks;
mod observer;
mod quota_broker;
mod role_messages;
mod run;
mod setup;
mod trial_effects;
mod work;

pub use event::FleetEvent;
pub use observer::HubObserver;
pub use run::start;
pub use work::Work;

use crate::clock::clock;
use crate::hub::Hub;
use crate::lending::Lending;
use crate::operators::Plan;
use dunespur_gossip_membership::Membership;
use dunespur_peer_transport::Transport;
use dunespur_quota_sharing as quota_sharing;
use dunespur_quota_sharing::Broker;
use dunespur_singleton_roles::audit::Auditor;
use dunespur_singleton_roles::audit::UsageTally;
use dunespur_singleton_roles::client::RoleClient;
use dunespur_singleton_roles::discovery_relay::Relay;
use dunespur_singleton_roles::fencing::FencingCheck;
use dunespur_singleton_roles::health_check::DeliveryHistory;
use dunespur_singleton_roles::health_check::HealthChecker;
use dunespur_singleton_roles::records::WriteBatch;
use dunespur_singleton_roles::voter::Voter;
use dunespur_singleton_roles::Identity;
use dunespur_singleton_roles::Slot;
use dunespur_singleton_roles::SlotRange;
use serde_json::Value;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::rc::Rc;
use tokio::sync::mpsc;

/// Shards of a role whose owners each limiter tracks.
pub(super) const MAX_TRACKED_SHARDS: u32 = 32;

/// One limiter's part in the fleet.
pub struct Fleet {
    plan: Plan,
    identity: Identity,
    links: Rc<Transport>,
    members: Membership,
    client: RoleClient,
    voter: Option<Voter>,
    fencing: FencingCheck,
    /// The relay of discovery's list, and the slot whose owner watches discovery for the zone.
    relay: Option<(Relay, Slot)>,
    /// Queue of the voter's writes.
    disk: Option<std::sync::mpsc::Sender<WriteBatch>>,
    /// The complete list of servers as the own or the relayed watch gave it, by server.
    discovered: BTreeMap<String, Value>,
    /// Last known addresses of each name, and when they were heard.
    addresses: BTreeMap<String, Vec<(SocketAddrV4, f64)>>,
    history: Option<std::io::BufWriter<std::fs::File>>,
    /// Slots of the roles that are asked for by key.
    health_check_slots: Option<SlotRange>,
    audit_slots: Option<SlotRange>,
    experience: DeliveryHistory,
    health_checker: HealthChecker,
    tally: UsageTally,
    auditor: Auditor,
    next_audit: f64,
    broker: Broker,
    /// None where the role `lend` is not on.
    lending: Option<Rc<Lending>>,
    /// Names that agreed, that lost units and that had a surplus.
    audit_results: [u64; 3],
    observations: u64,
    /// What the broker wants done, until the hub is at hand.
    broker_outputs: Vec<quota_sharing::Output>,
    events: mpsc::UnboundedSender<FleetEvent>,
    next_trial_effect: f64,
    trial_turn: usize,
    roles_acquired: u64,
    roles_lost: u64,
    relayed_updates: u64,
}

impl Fleet {
    pub(super) fn next_due(&self) -> f64 {
        let mut due = self.client.next_due().min(self.members.next_due());
        if let Some(voter) = &self.voter {
            due = due.min(voter.next_due());
        }
        if let Some((relay, _)) = &self.relay {
            due = due.min(relay.next_due());
        }
        if self.plan.trial.effects > 0.0 {
            due = due.min(self.next_trial_effect);
        }
        if self.audit_slots.is_some() {
            due = due.min(self.next_audit);
        }
        if !self.broker_outputs.is_empty() {
            return 0.0;
        }
        let late = self
            .lending
            .as_ref()
            .map_or(f64::INFINITY, |l| l.next_due());
        due.min(self.broker.next_due()).min(late)
    }

    pub(super) fn tick(&mut self, hub: &Rc<Hub>, now: f64) {
        let (mut out, mut said, mut actions) = (Vec::new(), Vec::new(), Vec::new());
        // The trial's effect first: a process that stood still is in the middle of one.
        if self.plan.trial.effects > 0.0 && now >= self.next_trial_effect {
            self.send_trial_effects(now);
        }
        if self.audit_slots.is_some() && now >= self.next_audit {
            self.exchange_usage(hub, now);
        }
        if self.client.next_due() <= now {
            self.client.tick(now, &mut out);
        }
        if let Some(voter) = self.voter.as_mut().filter(|v| v.next_due() <= now) {
            voter.tick(now, &mut out);
        }
        self.perform(out, now);
        if self.broker.next_due() <= now {
            self.broker.tick(now, &mut self.broker_outputs);
        }
        self.drive_broker(hub, now);
        self.publish_known_slots(now);
        for call in self
            .lending
            .as_ref()
            .map(|l| l.overdue())
            .unwrap_or_default()
        {
            hub.call_counter(call.call, call.name, call.add, call.lifetime);
        }
        if self.members.next_due() <= now {
            self.members.tick(now, &mut said);
            self.perform_gossip(said, now);
        }
        if let Some((relay, slot)) = self.relay.as_mut().filter(|r| r.0.next_due() <= now) {
            let token = self.client.token(*slot, now);
            relay.tick(token, now, &mut actions);
            if token.is_some() {
                self.client.record_progress(*slot, now);
            }
            self.perform_relay(hub, actions, now);
        }
    }

    pub(super) fn report(&self) {
        let c = self.links.statistics();
        let lent = self.lending.as_ref().map_or((0, 0, 0), |l| l.counts());
        let (leads, votes) = self
            .voter
            .as_ref()
            .map_or((false, false), |v| (v.is_leader(), v.is_voting()));
        ::log::info!(
            "fleet: members={} held={} began={} ended={} votes={votes} leads={leads} doubled={} relayed={} \
             outcomes={} probes={} brokered={} direct={} late={} names={} unlent={:.1} audit agreed={} lost={} surplus={} fenced={} links={} sent={} sent_bytes={} came={} refused={} dropped={}",
            self.members.count(),
            self.client.assignments(clock()).count(),
            self.roles_acquired,
            self.roles_lost,
            self.client.has_duplicate_name() || self.members.is_duplicate(&self.identity.name),
            self.relayed_updates,
            self.observations,
            self.health_checker.checks,
            lent.0,
            lent.1,
            lent.2,
            self.broker.name_count(),
            self.broker.unleased_units(),
            self.audit_results[0],
            self.audit_results[1],
            self.audit_results[2],
            self.fencing.rejected,
            self.links.connections(),
            c.sent,
            c.sent_bytes,
            c.received,
            c.rejected() + self.members.rejected_datagrams(),
            c.dropped(),
        );
    }
}
