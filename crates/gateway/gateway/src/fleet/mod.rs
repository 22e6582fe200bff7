//! This process as a member of a fleet of limiters. Runs the state machines of gossip membership, singleton roles and
//! the discovery relay over the transport to the peers; a thread of its own writes the voter's disk.
//!
//! Active only if the operators' file has a `fleet` section. Serving invocations never waits for the fleet.

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
pub use observer::EventObserver;
pub use run::start;
pub use work::Work;

use crate::clock::clock;
use crate::counter_router::CounterRouter;
use crate::event_loop::EventLoop;
use crate::operators_file::FleetConfig;
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

/// This process as a member of the fleet.
pub struct FleetMember {
    config: FleetConfig,
    identity: Identity,
    transport: Rc<Transport>,
    membership: Membership,
    role_client: RoleClient,
    voter: Option<Voter>,
    fencing_check: FencingCheck,
    /// The relay of discovery's list, and the slot whose owner watches discovery for the zone.
    relay: Option<(Relay, Slot)>,
    /// Queue of the voter's disk writes.
    disk_writes: Option<std::sync::mpsc::Sender<WriteBatch>>,
    /// Complete list of servers from the own or the relayed watch, by server id.
    endpoints_by_id: BTreeMap<String, Value>,
    /// Last known addresses of each name, and when they were heard.
    addresses: BTreeMap<String, Vec<(SocketAddrV4, f64)>>,
    history: Option<std::io::BufWriter<std::fs::File>>,
    /// Slots of the sharded roles, which are looked up by key.
    health_check_slots: Option<SlotRange>,
    audit_slots: Option<SlotRange>,
    server_experience: DeliveryHistory,
    health_checker: HealthChecker,
    usage_tally: UsageTally,
    auditor: Auditor,
    next_audit: f64,
    broker: Broker,
    /// `None` if the role `lend` is not enabled.
    counter_router: Option<Rc<CounterRouter>>,
    /// Audited names by result: agreeing, with lost units, with a surplus.
    audit_results: [u64; 3],
    observations: u64,
    /// Outputs of the broker that have not been performed yet.
    broker_outputs: Vec<quota_sharing::Output>,
    events: mpsc::UnboundedSender<FleetEvent>,
    next_trial_effect: f64,
    trial_turn: usize,
    roles_acquired: u64,
    roles_lost: u64,
    relayed_updates: u64,
}

impl FleetMember {
    /// When `tick` must be called next.
    pub(super) fn next_due(&self) -> f64 {
        let mut next_due = self.role_client.next_due().min(self.membership.next_due());
        if let Some(voter) = &self.voter {
            next_due = next_due.min(voter.next_due());
        }
        if let Some((relay, _)) = &self.relay {
            next_due = next_due.min(relay.next_due());
        }
        if self.config.trial.effects > 0.0 {
            next_due = next_due.min(self.next_trial_effect);
        }
        if self.audit_slots.is_some() {
            next_due = next_due.min(self.next_audit);
        }
        if !self.broker_outputs.is_empty() {
            return 0.0;
        }
        let lease_overdue = self
            .counter_router
            .as_ref()
            .map_or(f64::INFINITY, |counter_router| counter_router.next_due());
        next_due.min(self.broker.next_due()).min(lease_overdue)
    }

    pub(super) fn tick(&mut self, event_loop: &Rc<EventLoop>, now: f64) {
        let (mut role_outputs, mut gossip_outputs, mut relay_actions) =
            (Vec::new(), Vec::new(), Vec::new());
        // Trial effects are sent first, so that a process resumed after a stall sends one before it notices that its
        // leases expired.
        if self.config.trial.effects > 0.0 && now >= self.next_trial_effect {
            self.send_trial_effects(now);
        }
        if self.audit_slots.is_some() && now >= self.next_audit {
            self.exchange_usage(event_loop, now);
        }
        if self.role_client.next_due() <= now {
            self.role_client.tick(now, &mut role_outputs);
        }
        if let Some(voter) = self.voter.as_mut().filter(|voter| voter.next_due() <= now) {
            voter.tick(now, &mut role_outputs);
        }
        self.perform_role_outputs(role_outputs, now);
        if self.broker.next_due() <= now {
            self.broker.tick(now, &mut self.broker_outputs);
        }
        self.drive_broker(event_loop, now);
        self.publish_known_slots(now);
        for call in self
            .counter_router
            .as_ref()
            .map(|counter_router| counter_router.take_overdue())
            .unwrap_or_default()
        {
            event_loop.call_counter(call.call, call.name, call.add, call.lifetime);
        }
        if self.membership.next_due() <= now {
            self.membership.tick(now, &mut gossip_outputs);
            self.perform_gossip_outputs(gossip_outputs, now);
        }
        if let Some((relay, slot)) = self
            .relay
            .as_mut()
            .filter(|relay| relay.0.next_due() <= now)
        {
            let token = self.role_client.token(*slot, now);
            relay.tick(token, now, &mut relay_actions);
            if token.is_some() {
                self.role_client.record_progress(*slot, now);
            }
            self.perform_relay_actions(event_loop, relay_actions, now);
        }
    }

    /// Logs the statistics of the fleet member.
    pub(super) fn log_statistics(&self) {
        let transport_statistics = self.transport.statistics();
        let lease_counts = self
            .counter_router
            .as_ref()
            .map_or((0, 0, 0), |counter_router| counter_router.call_counts());
        let (leads, votes) = self.voter.as_ref().map_or((false, false), |voter| {
            (voter.is_leader(), voter.is_voting())
        });
        ::log::info!(
            "fleet: members={} held={} began={} ended={} votes={votes} leads={leads} doubled={} relayed={} \
             outcomes={} probes={} brokered={} direct={} late={} names={} unlent={:.1} audit agreed={} lost={} surplus={} fenced={} links={} sent={} sent_bytes={} came={} refused={} dropped={}",
            self.membership.count(),
            self.role_client.assignments(clock()).count(),
            self.roles_acquired,
            self.roles_lost,
            self.role_client.has_duplicate_name() || self.membership.is_duplicate(&self.identity.name),
            self.relayed_updates,
            self.observations,
            self.health_checker.checks,
            lease_counts.0,
            lease_counts.1,
            lease_counts.2,
            self.broker.name_count(),
            self.broker.unleased_units(),
            self.audit_results[0],
            self.audit_results[1],
            self.audit_results[2],
            self.fencing_check.rejected,
            self.transport.connections(),
            transport_statistics.sent,
            transport_statistics.sent_bytes,
            transport_statistics.received,
            transport_statistics.rejected() + self.membership.rejected_datagrams(),
            transport_statistics.dropped(),
        );
    }
}
