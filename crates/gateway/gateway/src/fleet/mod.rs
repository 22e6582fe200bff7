//! This process's part in the fleet: carries the state machines of gossip membership, singleton roles and the
//! discovery relay over the peer transport. Runs only where the operators' file has a `fleet` section. It must
//! never hold up an invocation: nothing that serves waits for it, and what it can't do is left undone.
//!
//! - `open`: the voter's disk on a thread of its own, links, history.
//! - `outputs`: what roles and membership want done.
//! - `quota`, `health`, `counter_audit`, `relay`: the work of the four roles.
//! - `tap`: what the rest of the process shows the fleet.

mod counter_audit;
mod health;
mod open;
mod outputs;
mod quota;
mod relay;
mod tap;

use crate::fault::Fault;
use crate::hub::Hub;
use crate::lending::Lending;
use crate::operators::Plan;
use dunespur_decisions::types::Counted;
use dunespur_gossip_membership::Membership;
use dunespur_peer_transport::{FrameError, Kind, Received, Transport};
use dunespur_quota_sharing::{self as quota_sharing, Broker, LeaseRequest};
use dunespur_singleton_roles::audit::{self, Auditor, CallOutcome, UsageTally};
use dunespur_singleton_roles::client::RoleClient;
use dunespur_singleton_roles::discovery_relay::Relay;
use dunespur_singleton_roles::fencing::FencingCheck;
use dunespur_singleton_roles::health_check::{
    self, Delivery, HealthChecker, Observation, ServerExperience,
};
use dunespur_singleton_roles::records::WriteBatch;
use dunespur_singleton_roles::table::Assignment;
use dunespur_singleton_roles::voter::Voter;
use dunespur_singleton_roles::{Identity, Slot, SlotRange};
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;

pub use tap::Tap;

/// Seconds on a clock that goes on while the process, or the whole machine, stands still.
#[must_use]
pub fn clock() -> f64 {
    let t = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    t.tv_sec as f64 + t.tv_nsec as f64 * 1e-9
}

/// What the fleet hears from the rest of the process and from its own tasks.
pub enum FleetEvent {
    /// Discovery's own watch brought a line, or a sign of life.
    Line(Option<Value>),
    /// SIGTERM: hand over and say goodbye.
    Leave,
    /// SIGUSR1.
    Report,
    /// A delivery to this server ended, with any answer or with none.
    Delivered { server: SocketAddr, answered: bool },
    /// A call to the counter ended: answered, or nobody knows.
    Counted { name: u64, add: f64, answered: bool },
    /// A probe of this server is over.
    Probed {
        server: String,
        observation: Observation,
    },
    /// The counter's total for a name, read for the audit.
    Total { name: u64, total: f64 },
    /// This limiter asks the broker of a slot.
    Borrow { slot: Slot, request: LeaseRequest },
    /// A call of this process's own broker has ended.
    Brokered { call: u64, counted: Counted },
}

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

enum Disk {
    Saved(u64),
    Failed(String),
}

/// Names are reached where they were last heard; two of one name both.
const MAX_ADDRESSES: usize = 3;
/// Shards of a duty whose holders each limiter keeps in mind.
const MAX_SHARDS: u32 = 32;
/// A probe waits this long for a connection, and again for any answer.
const CHECK_TIMEOUT: Duration = Duration::from_secs(1);
/// Names that are read from the counter at once.
const MAX_READS: usize = 256;
const ADDRESS_RETENTION: f64 = 30.0;

pub struct Fleet {
    plan: Plan,
    me: Identity,
    links: Rc<Transport>,
    members: Membership,
    client: RoleClient,
    voter: Option<Voter>,
    fencing: FencingCheck,
    relay: Option<(Relay, Slot)>,
    disk: Option<std::sync::mpsc::Sender<WriteBatch>>,
    /// The whole list as the own or the relayed watch gave it, by server.
    endpoints: BTreeMap<String, Value>,
    addresses: BTreeMap<String, Vec<(SocketAddrV4, f64)>>,
    history: Option<std::io::BufWriter<std::fs::File>>,
    /// First slot and number of shards of the duties that are asked for by key.
    probes: Option<SlotRange>,
    audits: Option<SlotRange>,
    experience: ServerExperience,
    health_checker: HealthChecker,
    tally: UsageTally,
    auditor: Auditor,
    next_audit: f64,
    broker: Broker,
    /// None where the duty `lend` is not on.
    lending: Option<Rc<Lending>>,
    /// Agreed, lost, surplus.
    audited: [u64; 3],
    outcomes: u64,
    /// What the broker wants done, until the hub is at hand.
    broker_outputs: Vec<quota_sharing::Output>,
    events: mpsc::UnboundedSender<FleetEvent>,
    next_effect: f64,
    next_target: usize,
    began: u64,
    ended: u64,
    relayed: u64,
}

impl Fleet {
    fn write_history(&mut self, line: Value) {
        if let Some(to) = &mut self.history {
            let _ = writeln!(to, "{line}");
            let _ = to.flush();
        }
    }

    fn record_address(&mut self, name: &str, at: SocketAddrV4, now: f64) {
        if name == self.me.name && at == self.plan.listen {
            return;
        }
        // Bounded by the fleet's size in the file, and by time.
        let most = self.plan.members.expected_members as usize * 2 + 16;
        if !self.addresses.contains_key(name) && self.addresses.len() >= most {
            self.addresses
                .retain(|_, p| p.iter().any(|p| p.1 > now - ADDRESS_RETENTION));
            if self.addresses.len() >= most {
                return;
            }
        }
        let places = self.addresses.entry(name.to_owned()).or_default();
        places.retain(|p| p.0 != at && p.1 > now - ADDRESS_RETENTION);
        places.insert(0, (at, now));
        places.truncate(MAX_ADDRESSES);
    }

    /// Where a name is reached.
    fn addresses(&self, name: &str) -> Vec<SocketAddrV4> {
        let heard = self.addresses.get(name).into_iter().flatten().map(|p| p.0);
        let mut addresses: Vec<SocketAddrV4> = heard.collect();
        if addresses.is_empty() {
            let listed = self.plan.voters.iter().find(|v| v.0 == name).map(|v| v.1);
            addresses.extend(listed.or_else(|| self.members.find(name).map(|m| m.address)));
        }
        addresses
    }

    fn receive_frame(&mut self, hub: &Rc<Hub>, came: Received, now: f64) {
        let Received { kind, frame } = came;
        self.record_address(&frame.sender, frame.sender_address, now);
        let spoilt = |links: &Transport| links.reject(FrameError::UnknownKind);
        match kind {
            Kind::Gossip => {
                let mut out = Vec::new();
                self.members.receive(&frame.body, now, &mut out);
                self.carry_out_membership(out, now);
            }
            Kind::SingletonRoles => match postcard::from_bytes(&frame.body) {
                Ok(message) => self.receive_role_message(frame.sender, message, now),
                Err(_) => spoilt(&self.links),
            },
            Kind::Watch => match postcard::from_bytes(&frame.body) {
                Ok(message) => self.receive_relay_message(hub, frame.sender, message, now),
                Err(_) => spoilt(&self.links),
            },
            Kind::Work => match postcard::from_bytes::<Work>(&frame.body) {
                Ok(work) => self.receive_work(hub, &frame.sender, work, now),
                Err(_) => spoilt(&self.links),
            },
        }
    }

    fn receive_work(&mut self, hub: &Rc<Hub>, from: &str, work: Work, now: f64) {
        match work {
            Work::Lend(msg) => self.receive_quota_message(hub, from, msg, now),
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
    fn slot_of_key(of: Option<SlotRange>, key: u64) -> Option<Slot> {
        of.map(|range| {
            let count = range.truncated(MAX_SHARDS).count;
            range.first + (key % u64::from(count)) as Slot
        })
    }

    /// To whoever holds the slot, as far as it is known; this process included. False where nobody is known.
    fn send_to_owner(&mut self, hub: &Rc<Hub>, slot: Slot, work: Work, now: f64) -> bool {
        if self.client.token(slot, now).is_some() {
            let me = self.me.name.clone();
            self.receive_work(hub, &me, work, now);
            true
        } else if let Some(name) = self.client.owner(slot).cloned() {
            let body = postcard::to_stdvec(&work).unwrap_or_default();
            self.addresses(&name)
                .into_iter()
                .for_each(|at| self.links.send(at, Kind::Work, body.clone()));
            true
        } else {
            false
        }
    }

    /// The receiver's check, whatever the effect.
    fn accept_token(&mut self, from: &str, slot: Slot, token: u64, now: f64) -> bool {
        let took = self.fencing.accept(slot, token);
        let line = if took { "accepted" } else { "refused" };
        let at = self.me.name.clone();
        self.write_history(
            json!({"line": line, "t": now, "at": at, "who": from, "slot": slot, "token": token}),
        );
        took
    }

    fn next_due(&self) -> f64 {
        let mut due = self.client.next_due().min(self.members.next_due());
        if let Some(voter) = &self.voter {
            due = due.min(voter.next_due());
        }
        if let Some((relay, _)) = &self.relay {
            due = due.min(relay.next_due());
        }
        if self.plan.trial.effects > 0.0 {
            due = due.min(self.next_effect);
        }
        if self.audits.is_some() {
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

    fn tick(&mut self, hub: &Rc<Hub>, now: f64) {
        let (mut out, mut said, mut actions) = (Vec::new(), Vec::new(), Vec::new());
        // The trial's effect first: a process that stood still is in the middle of one.
        if self.plan.trial.effects > 0.0 && now >= self.next_effect {
            self.send_trial_effects(now);
        }
        if self.audits.is_some() && now >= self.next_audit {
            self.report_and_read(hub, now);
        }
        if self.client.next_due() <= now {
            self.client.tick(now, &mut out);
        }
        if let Some(voter) = self.voter.as_mut().filter(|v| v.next_due() <= now) {
            voter.tick(now, &mut out);
        }
        self.carry_out(out, now);
        if self.broker.next_due() <= now {
            self.broker.tick(now, &mut self.broker_outputs);
        }
        self.carry_out_broker(hub, now);
        self.update_known_brokers(now);
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
            self.carry_out_membership(said, now);
        }
        if let Some((relay, slot)) = self.relay.as_mut().filter(|r| r.0.next_due() <= now) {
            let token = self.client.token(*slot, now);
            relay.tick(token, now, &mut actions);
            if token.is_some() {
                self.client.record_progress(*slot, now);
            }
            self.carry_out_relay(hub, actions, now);
        }
    }

    /// For trials: each held slot has an effect at the next member and the next receiver.
    fn send_trial_effects(&mut self, now: f64) {
        self.next_effect = now + (0.5 + fastrand::f64()) / self.plan.trial.effects;
        let held: Vec<Assignment> = self.client.assignments(now).collect();
        let members: Vec<SocketAddrV4> = self.members.alive().map(|m| m.address).collect();
        if self.links.version() > dunespur_peer_transport::VERSION {
            members
                .iter()
                .for_each(|at| self.links.send_unknown_kind(*at));
        }
        for Assignment { slot, token } in held {
            self.client.record_progress(slot, now);
            self.next_target += 1;
            let body = postcard::to_stdvec(&Work::Effect { slot, token }).unwrap_or_default();
            if !members.is_empty() {
                self.links.send(
                    members[self.next_target % members.len()],
                    Kind::Work,
                    body.clone(),
                );
            }
            if !self.plan.trial.receivers.is_empty() {
                let at =
                    self.plan.trial.receivers[self.next_target % self.plan.trial.receivers.len()];
                self.links.send_datagram(at, Kind::Work, body);
            }
        }
    }

    fn log_status(&self) {
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
            self.began,
            self.ended,
            self.client.has_duplicate_name() || self.members.is_duplicate(&self.me.name),
            self.relayed,
            self.outcomes,
            self.health_checker.checks,
            lent.0,
            lent.1,
            lent.2,
            self.broker.name_count(),
            self.broker.unleased_units(),
            self.audited[0],
            self.audited[1],
            self.audited[2],
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

/// Opens what the plan names, then plays this process's part for as long as it lives.
pub async fn start(
    hub: Rc<Hub>,
    plan: Plan,
    name: String,
    seed: u64,
    events: mpsc::UnboundedSender<FleetEvent>,
    mut told: mpsc::UnboundedReceiver<FleetEvent>,
) -> Result<(), Fault> {
    let (tx, mut inbox) = mpsc::channel(1024);
    let (mut fleet, mut saved) = Fleet::open(plan, name, seed, tx, events.clone()).await?;
    let tap = Tap::new(events);
    let waiting = tap.waiting();
    *hub.tap.borrow_mut() = Some(tap);
    *hub.lending.borrow_mut() = fleet.lending.clone();
    let own = hub.clone();
    let task = tokio::task::spawn_local(async move {
        let mut disk = true;
        loop {
            let wait = (fleet.next_due() - clock()).clamp(0.0, 1.0);
            tokio::select! {
                biased;
                said = saved.recv(), if disk => {
                    let mut out = Vec::new();
                    match (said, &mut fleet.voter) {
                        (Some(Disk::Saved(number)), Some(voter)) => voter.written(number, clock(), &mut out),
                        (Some(Disk::Failed(e)), Some(voter)) => {
                            ::log::error!("fleet: {e}");
                            voter.disk_failed(&mut out);
                        }
                        _ => disk = false,
                    }
                    fleet.carry_out(out, clock());
                }
                () = tokio::time::sleep(Duration::from_secs_f64(wait)), if wait > 0.0 => {}
                came = inbox.recv() => {
                    if let Some(came) = came {
                        fleet.receive_frame(&hub, came, clock());
                    }
                }
                said = told.recv() => match said {
                    Some(FleetEvent::Line(line)) => fleet.discovery_changed(&hub, line, clock()),
                    Some(FleetEvent::Report) => fleet.log_status(),
                    Some(FleetEvent::Delivered { server, answered }) => {
                        waiting.set(waiting.get().saturating_sub(1));
                        let (now, server) = (clock(), server.to_string());
                        let delivery = if answered { Delivery::Answered } else { Delivery::Unanswered };
                        let said = fleet.experience.record_delivery(&server, delivery, now, &fleet.plan.probe);
                        if let (Some(msg), Some(slot)) = (said, fleet.health_check_slot(&server)) {
                            fleet.send_to_owner(&hub, slot, Work::Probe(msg), now);
                        }
                    }
                    Some(FleetEvent::Counted { name, add, answered }) => {
                        waiting.set(waiting.get().saturating_sub(1));
                        if fleet.audits.is_some() {
                            let outcome = if answered { CallOutcome::Answered } else { CallOutcome::Unknown };
                            fleet.tally.record_call(name, add, outcome, clock(), &fleet.plan.audit);
                        }
                    }
                    Some(FleetEvent::Probed { server, observation }) => fleet.check_finished(&hub, server, observation, clock()),
                    Some(FleetEvent::Total { name, total }) => fleet.compare_total(name, total, clock()),
                    Some(FleetEvent::Borrow { slot, request }) => {
                        if let Some(lending) = &fleet.lending {
                            lending.waiting.set(lending.waiting.get().saturating_sub(1));
                        }
                        fleet.request_lease(&hub, slot, request, clock());
                    }
                    Some(FleetEvent::Brokered { call, counted }) => {
                        let now = clock();
                        fleet.broker.counter_answered(call, counted, now, &mut fleet.broker_outputs);
                        fleet.carry_out_broker(&hub, now);
                    }
                    Some(FleetEvent::Leave) => {
                        let now = clock();
                        let (mut out, mut said) = (Vec::new(), Vec::new());
                        fleet.client.leave(now, &mut out);
                        fleet.members.leave(now, &mut said);
                        fleet.carry_out(out, now);
                        fleet.carry_out_broker(&hub, now);
                        fleet.carry_out_membership(said, now);
                    }
                    None => return,
                },
                () = std::future::ready(()), if wait <= 0.0 => {}
            }
            let now = clock();
            if fleet.next_due() <= now {
                fleet.tick(&hub, now);
            }
        }
    });
    // Guards against a defect of the fleet's part: it ends alone, and the own watch stands again.
    tokio::task::spawn_local(async move {
        if let Err(e) = task.await {
            *own.lending.borrow_mut() = None;
            ::log::error!("fleet: {e}; this limiter serves on without it");
            own.discovery.hold(true);
        }
    });
    Ok(())
}
