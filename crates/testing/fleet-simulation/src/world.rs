//! The simulated world: the same state machines as the gateway drives, under one seed. Owns true time, the
//! machines' clocks, the network, the disks and the faults. The same trial and seed give the same bytes. It
//! must never tell a machine what is true, only what its links, clock and disk tell it.

mod events;
mod faults;
mod network;
mod outputs;
mod quota_service;

use crate::error::PlayError;
use crate::history::Line;
use crate::service::{self, Service};
use crate::trial::{Active, Disk, Kind, Trial};
use dunespur_gossip_membership as members;
use dunespur_singleton_roles::client::RoleClient;
use dunespur_singleton_roles::fencing::FencingCheck;
use dunespur_singleton_roles::records::{DiskState, WriteBatch};
use dunespur_singleton_roles::table::Assignment;
use dunespur_singleton_roles::voter::Voter;
use dunespur_singleton_roles::{Identity, Message, Output, Severity, SlotRange};
pub use events::Packet;
use events::{Event, ScheduledEvent};
use rand::{RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::net::SocketAddrV4;

/// One process. A twin is one more node under the same name.
struct Node {
    name: String,
    number: usize,
    address: SocketAddrV4,
    up: bool,
    stalled: bool,
    idle: bool,
    slow: f64,
    slow_disk: f64,
    version: u16,
    epoch: u64,
    run: u64,
    skew: f64,
    offset: f64,
    members: Option<members::Membership>,
    client: Option<RoleClient>,
    voter: Option<Voter>,
    votes: bool,
    disk: DiskState,
    /// Written, not yet synced.
    writing: VecDeque<WriteBatch>,
    old_disks: VecDeque<(f64, DiskState)>,
    fencing: FencingCheck,
    inbox: VecDeque<(usize, Packet)>,
    late: Vec<(u32, u64, usize)>,
    wake: f64,
    busy: f64,
}

/// What the trial's side counts, for measurements.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    pub messages: u64,
    pub bytes: u64,
    pub gossip_messages: u64,
    pub gossip_bytes: u64,
    /// Members that were reported down while they lived, and each report of a death: who, by whom, when.
    pub false_downs: u64,
    /// The same before counting began.
    pub early_downs: u64,
    pub downs: Vec<(String, String, f64)>,
    pub events: u64,
}

pub struct World<'a> {
    trial: &'a Trial,
    rng: Xoshiro256PlusPlus,
    now: f64,
    queue: BinaryHeap<ScheduledEvent>,
    count: u64,
    nodes: Vec<Node>,
    receivers: Vec<FencingCheck>,
    active: Vec<Active>,
    downed: BTreeMap<usize, Vec<usize>>,
    pub lines: Vec<Line>,
    pub tally: Tally,
    /// From when on messages, bytes and false reports are counted; never, unless it is set.
    pub measure_from: f64,
    runs: u64,
    /// What the limiters serve, where the trial says so.
    pub service: Option<Service>,
    /// Slots of the duty `lend`.
    broker_slots: Option<SlotRange>,
    /// Some fault puts an older disk back.
    keeps_old_disks: bool,
    /// Off, receivers take everything: for the test that the checker finds it.
    pub fenced: bool,
    pub gossip: bool,
}

/// Events of one trial; the largest measured fleet takes a tenth of it.
const MAX_EVENTS: u64 = 200_000_000;

/// What a stalled process's sockets keep.
const MAX_INBOX: usize = 256;

impl<'a> World<'a> {
    pub fn new(trial: &'a Trial, seed: u64) -> Self {
        let mut world = World {
            trial,
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
            now: 0.0,
            queue: BinaryHeap::new(),
            count: 0,
            nodes: Vec::new(),
            receivers: Vec::new(),
            active: Vec::new(),
            downed: BTreeMap::new(),
            lines: Vec::new(),
            tally: Tally::default(),
            measure_from: f64::INFINITY,
            runs: 0,
            service: None,
            broker_slots: trial
                .roles()
                .slots_of("lend")
                .map(|range| range.truncated(MAX_BROKER_SLOTS)),
            keeps_old_disks: trial.faults.iter().any(|f| f.disk == Disk::Older),
            fenced: true,
            gossip: true,
        };
        if let Some(quota) = &trial.quota {
            let lends = world.broker_slots;
            world.service = Some(Service::new(quota, trial.fleet.limiters, lends, seed));
            world.push(1.0, Event::Service(service::Event::ClientArrives));
        }
        let slots = trial.roles().slots();
        world.receivers =
            vec![FencingCheck::restored(vec![0; slots as usize]); trial.fleet.receivers];
        for n in 0..trial.fleet.limiters {
            world.add(n, trial.limiter(n), n < trial.fleet.voters);
        }
        for n in 0..trial.fleet.limiters {
            let at = world.rng.random_range(0.0..0.3);
            world.start(n, at);
        }
        for (n, fault) in trial.faults.iter().enumerate() {
            world.push(fault.at, Event::Fault { n, on: true });
        }
        world
    }

    fn add(&mut self, number: usize, name: String, votes: bool) -> usize {
        let at = self.nodes.len();
        let address = SocketAddrV4::new([10, 0, (at >> 8) as u8, at as u8].into(), 7000);
        let skew = self.trial.fleet.skew;
        self.nodes.push(Node {
            name,
            number,
            address,
            up: false,
            stalled: false,
            idle: false,
            slow: 0.0,
            slow_disk: 0.0,
            version: 1,
            epoch: 0,
            run: 0,
            skew: if skew > 0.0 {
                self.rng.random_range(-skew..skew)
            } else {
                0.0
            },
            offset: self.rng.random_range(0.0..1e4),
            members: None,
            client: None,
            voter: None,
            votes,
            disk: DiskState::default(),
            writing: VecDeque::new(),
            old_disks: VecDeque::new(),
            fencing: FencingCheck::new(self.trial.roles().slots()),
            inbox: VecDeque::new(),
            late: Vec::new(),
            wake: f64::INFINITY,
            busy: 0.0,
        });
        at
    }

    fn push(&mut self, t: f64, ev: Event) {
        self.count += 1;
        self.queue.push(ScheduledEvent(t, self.count, ev));
    }

    fn local(&self, node: usize, t: f64) -> f64 {
        t * (1.0 + self.nodes[node].skew) + self.nodes[node].offset
    }

    fn truth(&self, node: usize, local: f64) -> f64 {
        (local - self.nodes[node].offset) / (1.0 + self.nodes[node].skew)
    }

    fn start(&mut self, n: usize, at: f64) {
        self.runs += 1;
        let run = self.runs;
        let trial = self.trial;
        let seed = self.rng.random();
        let now = self.local(n, at);
        let zone = trial.fleet.zones[trial.zone(self.nodes[n].number)].clone();
        let seeds = self
            .nodes
            .iter()
            .take(trial.fleet.voters)
            .map(|v| v.address)
            .collect();
        let node = &mut self.nodes[n];
        let identity = Identity {
            name: node.name.clone(),
            run,
            zone: zone.clone(),
            machine: format!("m{}", node.number),
        };
        node.epoch += 1;
        node.up = true;
        node.stalled = false;
        node.run = run;
        node.fencing = FencingCheck::new(trial.roles().slots());
        node.inbox.clear();
        node.late.clear();
        node.wake = f64::INFINITY;
        node.busy = 0.0;
        let member = members::Member {
            name: node.name.clone(),
            instance: run,
            precedence: 1_000_000 + (at * 1e3) as u64,
            address: node.address,
            zone,
            machine: identity.machine.clone(),
            version: node.version,
            voter: node.votes,
        };
        let settings = member_settings(trial, seeds);
        node.members = self
            .gossip
            .then(|| members::Membership::new(settings, member, seed, now));
        let lookups = self
            .broker_slots
            .into_iter()
            .flat_map(SlotRange::slots)
            .collect();
        node.client = Some(RoleClient::new(trial.roles(), identity, lookups, now));
        let mut out = Vec::new();
        if node.votes {
            let (saved, name) = (node.disk.clone(), node.name.clone());
            match Voter::new(trial.roles(), name, saved, seed, now, &mut out) {
                Ok(voter) => node.voter = Some(voter),
                Err(error) => out.push(Output::Report {
                    severity: Severity::Warning,
                    text: error.to_string(),
                }),
            }
        }
        let (who, epoch) = (node.name.clone(), node.epoch);
        if let Some(service) = &mut self.service {
            service.start(n, epoch, at);
        }
        self.lines.push(Line::Started { t: at, who, run });
        self.take(n, out, at);
        self.push(at, Event::Wake { node: n, epoch });
        let first = self.rng.random_range(0.0..0.1);
        self.push(at + first, Event::Work { node: n, epoch });
    }

    fn kill(&mut self, n: usize) {
        let t = self.now;
        let node = &mut self.nodes[n];
        if !node.up {
            return;
        }
        node.up = false;
        node.epoch += 1;
        // What was under way to the disk may have come there, in order, up to any point.
        let synced = self.rng.random_range(0..=node.writing.len());
        let writes: Vec<WriteBatch> = node.writing.drain(..).collect();
        writes.iter().take(synced).for_each(|b| node.disk.apply(b));
        let until = node.client.as_ref().map_or(0.0, RoleClient::last_expiry);
        node.members = None;
        node.voter = None;
        node.client = None;
        let (who, run) = (node.name.clone(), node.run);
        let until = self.truth(n, until);
        if let Some(service) = &mut self.service {
            service.stop(n);
        }
        self.lines.push(Line::Died { t, who, run, until });
    }

    /// Plays the trial to its end.
    pub fn run(&mut self) {
        while let Some(ScheduledEvent(t, _, ev)) = self.queue.pop() {
            if t > self.trial.seconds {
                break;
            }
            self.now = t;
            self.tally.events += 1;
            // Guards against a world that makes events without end: that is a defect, and reported as one.
            if self.tally.events > MAX_EVENTS {
                let text = "the world does not come to an end".to_owned();
                self.lines.push(Line::Report {
                    t,
                    who: "world".into(),
                    loud: true,
                    text,
                });
                break;
            }
            self.step(ev);
        }
    }

    fn step(&mut self, ev: Event) {
        let t = self.now;
        match ev {
            Event::Wake { node, epoch } => {
                let n = &mut self.nodes[node];
                if n.epoch != epoch || !n.up {
                    return;
                }
                n.wake = f64::INFINITY;
                if !n.stalled {
                    self.turn(node, None);
                }
            }
            Event::Arrive { to, from, packet } => self.arrive(to, from, packet),
            Event::Disk {
                node,
                epoch,
                number,
            } => self.disk_written(node, epoch, number),
            Event::Work { node, epoch } => {
                if self.nodes[node].epoch != epoch || !self.nodes[node].up {
                    return;
                }
                if !self.nodes[node].stalled {
                    self.work(node, epoch);
                }
                let pause = self.rng.random_range(0.5..1.5) / self.trial.load.effects;
                self.push(t + pause, Event::Work { node, epoch });
            }
            Event::Finish {
                node,
                epoch,
                slot,
                token,
                to,
            } => {
                let n = &mut self.nodes[node];
                if n.epoch != epoch || !n.up {
                    return;
                }
                if n.stalled {
                    n.late.push((slot, token, to));
                } else {
                    self.send(node, to, Packet::Effect { slot, token });
                }
            }
            Event::Fault { n, on } => self.fault(n, on),
            Event::Service(ev) => {
                let still = ev.gate().is_some_and(|g| self.nodes[g].stalled);
                if still {
                    // The process hears of it when it goes on.
                    return self.push(t + 0.02, Event::Service(ev));
                }
                self.serve(|service, out| service.step(ev, t, out));
            }
        }
    }

    /// A packet comes out of a link.
    fn arrive(&mut self, to: usize, from: usize, packet: Packet) {
        if to >= self.nodes.len() {
            return self.receive(to, from, packet);
        }
        let t = self.now;
        let node = &mut self.nodes[to];
        if !node.up {
            return;
        }
        if node.stalled {
            if node.inbox.len() < MAX_INBOX {
                node.inbox.push_back((from, packet));
            }
            return;
        }
        // Little processor time: what comes waits behind what came before.
        if node.slow > 0.0 && t < node.busy {
            let at = node.busy;
            node.busy += node.slow;
            return self.push(at, Event::Arrive { to, from, packet });
        }
        if node.slow > 0.0 {
            node.busy = t + node.slow;
        }
        self.turn(to, Some((from, packet)));
    }

    /// A disk has written all batches up to this number.
    fn disk_written(&mut self, node: usize, epoch: u64, number: u64) {
        let t = self.now;
        let n = &mut self.nodes[node];
        if n.epoch != epoch {
            return;
        }
        while let Some(batch) = n.writing.pop_front_if(|b| b.number <= number) {
            n.disk.apply(&batch);
        }
        if self.keeps_old_disks && n.old_disks.back().is_none_or(|d| t > d.0 + 0.5) {
            n.old_disks.push_back((t, n.disk.clone()));
        }
        if n.stalled {
            // The disk did it; the process hears of it when it goes on.
            let again = Event::Disk {
                node,
                epoch,
                number,
            };
            return self.push(t + 0.05, again);
        }
        let now = self.local(node, t);
        let mut out = Vec::new();
        if let Some(voter) = &mut self.nodes[node].voter {
            voter.written(number, now, &mut out);
        }
        self.take(node, out, t);
        self.set_wake(node);
    }

    /// One turn of a node: a message or just its timers.
    fn turn(&mut self, node: usize, mail: Option<(usize, Packet)>) {
        let t = self.now;
        let now = self.local(node, t);
        let mut out = Vec::new();
        let mut membership_outputs = Vec::new();
        let (mut told, mut lent) = (None, None);
        if let Some((from, packet)) = mail {
            let from_name = self.nodes[from].name.clone();
            let n = &mut self.nodes[node];
            match packet {
                Packet::Gossip(bytes) => {
                    if let Some(m) = &mut n.members {
                        m.receive(&bytes, now, &mut membership_outputs);
                    }
                }
                Packet::Lend(msg) => lent = Some((from, *msg)),
                Packet::Effect { slot, token } => {
                    let took = n.fencing.accept(slot, token) || !self.fenced;
                    // A twin is another receiver, though it has the same name.
                    let twin = node >= self.trial.fleet.limiters;
                    let at = if twin {
                        format!("{}'{}", n.name, n.run)
                    } else {
                        n.name.clone()
                    };
                    self.effect(at, from, slot, token, took);
                }
                Packet::Peer(msg) => match &*msg {
                    Message::Renewed { response, run } => {
                        // What was meant for an earlier run has its numbers too.
                        told = (*run == n.run).then_some((response.seq, response.index));
                        if let Some(h) = &mut n.client {
                            h.receive(&from_name, *msg, now, &mut out);
                        }
                    }
                    Message::NotLeader { .. }
                    | Message::DuplicateName { .. }
                    | Message::AssignmentsChanged { .. } => {
                        if let Some(h) = &mut n.client {
                            h.receive(&from_name, *msg, now, &mut out);
                        }
                    }
                    _ => {
                        if let Some(v) = &mut n.voter {
                            v.receive(&from_name, *msg, now, &mut out);
                        }
                    }
                },
            }
        }
        let n = &mut self.nodes[node];
        if let Some(h) = n.client.as_mut().filter(|h| h.next_due() <= now) {
            h.tick(now, &mut out);
        }
        if let Some(v) = n.voter.as_mut().filter(|v| v.next_due() <= now) {
            v.tick(now, &mut out);
        }
        if let Some(m) = n.members.as_mut().filter(|m| m.next_due() <= now) {
            m.tick(now, &mut membership_outputs);
        }
        if let Some((seq, index)) = told {
            if let Some(asked) = n
                .client
                .as_mut()
                .and_then(|h| h.granted_renewal_sent_at(seq))
            {
                let (who, asked) = (n.name.clone(), self.truth(node, asked));
                self.lines.push(Line::Told {
                    asked,
                    t,
                    who,
                    index,
                });
            }
        }
        let asks = told.is_some();
        self.take(node, out, t);
        self.take_members(node, membership_outputs);
        if let Some((from, msg)) = lent {
            self.receive_quota_message(node, from, msg);
        }
        if asks {
            self.update_known_brokers(node);
        }
        self.set_wake(node);
    }

    fn set_wake(&mut self, node: usize) {
        let n = &self.nodes[node];
        let due = [
            n.client
                .as_ref()
                .map_or(f64::INFINITY, RoleClient::next_due),
            n.voter.as_ref().map_or(f64::INFINITY, Voter::next_due),
            n.members
                .as_ref()
                .map_or(f64::INFINITY, members::Membership::next_due),
        ];
        let due = due.into_iter().fold(f64::INFINITY, f64::min);
        let at = (self.truth(node, due) + 1e-6).max(self.now + 1e-6 + n.slow);
        if at < n.wake {
            let epoch = n.epoch;
            self.nodes[node].wake = at;
            self.push(at, Event::Wake { node, epoch });
        }
    }

    /// A holder does its duties: looks whether it holds, and carries the effect out a little later.
    fn work(&mut self, node: usize, epoch: u64) {
        let now = self.local(node, self.now);
        let Some(client) = &self.nodes[node].client else {
            return;
        };
        if self.nodes[node].idle {
            return;
        }
        // A few of what it holds, in turn by chance: thousands of duties must not make the trial long.
        let mut held: Vec<Assignment> = client.assignments(now).collect();
        while held.len() > 4 {
            let at = self.rng.random_range(0..held.len());
            held.swap_remove(at);
        }
        for Assignment { slot, token } in held {
            if let Some(h) = &mut self.nodes[node].client {
                h.record_progress(slot, now);
            }
            let receivers = self.receivers.len();
            let to = match self.rng.random_range(0..2 + receivers) {
                r if r < receivers => FIRST_RECEIVER + r,
                _ => self.rng.random_range(0..self.nodes.len()),
            };
            let later = self.rng.random_range(0.0..0.02);
            self.push(
                self.now + later,
                Event::Finish {
                    node,
                    epoch,
                    slot,
                    token,
                    to,
                },
            );
        }
    }
}

/// Whether the simulated world can play this trial.
pub fn check(trial: &Trial) -> Result<(), PlayError> {
    let only =
        |k: Kind| matches!(k, Kind::Hang | Kind::Forget | Kind::Silence) && trial.quota.is_none();
    match trial.faults.iter().find(|f| only(f.kind)) {
        Some(f) => Err(PlayError::NotSimulated {
            kind: f.kind,
            at: f.at,
        }),
        None => Ok(()),
    }
}

/// Slots of the duty `lend` that limiters look up, as the gateway does.
const MAX_BROKER_SLOTS: u32 = 32;
/// Up to so many limiters each answer is a line of the history.
const MAX_SHOWN_LIMITERS: usize = 30;

/// Receivers are numbered from here on.
const FIRST_RECEIVER: usize = 1 << 20;

pub fn member_settings(trial: &Trial, seeds: Vec<SocketAddrV4>) -> members::Settings {
    let size = trial.fleet.limiters as u32;
    members::Settings {
        expected_members: size,
        seeds,
        probe_interval: 1.0,
        probe_timeout: 0.3,
        // A suspect has as long as news takes to go round, and some.
        suspicion_timeout: 2.0 + (size as f64).log10(),
        gossip_interval: 0.2,
        rejoin_interval: 5.0,
        max_datagram_bytes: 1400,
    }
}

#[cfg(test)]
mod tests;
