//! This process's part in the fleet: carries the state machines of members, duties and the relayed watch
//! over the peer links, and keeps the voter's disk on a thread of its own. Runs only where the operators'
//! file has a `fleet` section. It must never hold up an invocation: nothing that serves waits for it, and
//! what it can't do is left undone.

use crate::fault::Fault;
use crate::hub::Hub;
use crate::lending::{Lending, BROKER};
use crate::message::{decode_news, encode_count, take_counted};
use crate::operators::Plan;
use crate::reducer::{Effect, Event};
use bytes::BytesMut;
use dunespur_decisions::types::{Counted, Ending};
use dunespur_gossip_membership::{self as members, DuplicateName, Membership};
use dunespur_peer_transport::{FrameError, Kind, Received, Transport};
use dunespur_quota_sharing::{self as quota_sharing, Answer, Broker, LeaseRequest};
use dunespur_singleton_roles::audit::{self, Auditor, CallOutcome, UsageTally};
use dunespur_singleton_roles::client::RoleClient;
use dunespur_singleton_roles::discovery_relay::{self, Action, DiscoveryUpdate, Relay};
use dunespur_singleton_roles::fencing::FencingCheck;
use dunespur_singleton_roles::health_check::{
    self, Delivery, HealthChecker, Observation, ServerExperience,
};
use dunespur_singleton_roles::records::WriteBatch;
use dunespur_singleton_roles::table::Assignment;
use dunespur_singleton_roles::voter::Voter;
use dunespur_singleton_roles::{Identity, Message, Output, Severity, Slot, SlotRange};
use dunespur_voter_storage::{OpenedVoter, VoterStorage};
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::io::Write;
use std::net::{SocketAddr, SocketAddrV4};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use xxhash_rust::xxh3::xxh3_64;

/// Seconds on a clock that goes on while the process, or the whole machine, stands still.
#[must_use]
pub fn clock() -> f64 {
    let t = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    t.tv_sec as f64 + t.tv_nsec as f64 * 1e-9
}

/// What the rest of the process tells the fleet.
pub enum Told {
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

/// Listens to what passes through the hub. What the fleet can't take in time is dropped and counted: nothing
/// that serves waits for it.
pub struct Tap {
    to: mpsc::UnboundedSender<Told>,
    waiting: Rc<Cell<usize>>,
    dropped: Rc<Cell<u64>>,
    /// Deliveries and calls that are out.
    sent: RefCell<HashMap<(u64, usize), SocketAddr>>,
    calls: RefCell<HashMap<u64, (u64, f64)>>,
}

/// Reports that may wait for the fleet's task.
const MOST_WAITING: usize = 4096;

impl Tap {
    pub fn new(to: mpsc::UnboundedSender<Told>) -> Self {
        let (waiting, dropped) = (Rc::default(), Rc::default());
        Tap {
            to,
            waiting,
            dropped,
            sent: RefCell::default(),
            calls: RefCell::default(),
        }
    }

    fn tell(&self, told: Told) {
        if self.waiting.get() >= MOST_WAITING {
            self.dropped.set(self.dropped.get() + 1);
        } else if self.to.send(told).is_ok() {
            self.waiting.set(self.waiting.get() + 1);
        }
    }

    pub fn effect(&self, effect: &Effect) {
        match effect {
            Effect::Send(d) => _ = self.sent.borrow_mut().insert((d.num, d.n), d.address),
            Effect::Count {
                call, name, add, ..
            } => _ = self.calls.borrow_mut().insert(*call, (*name, *add)),
            _ => {}
        }
    }

    pub fn event(&self, event: &Event) {
        match event {
            Event::Ended { num, n, answered } => {
                let Some(server) = self.sent.borrow_mut().remove(&(*num, *n)) else {
                    return;
                };
                match answered.ending {
                    Ending::Timeout | Ending::ConnectFailed => self.tell(Told::Delivered {
                        server,
                        answered: false,
                    }),
                    Ending::Succeeded | Ending::Error | Ending::Full => {
                        self.tell(Told::Delivered {
                            server,
                            answered: true,
                        });
                    }
                    Ending::Reset | Ending::Cancelled | Ending::Moot => {}
                }
            }
            Event::Counted { call, counted } => {
                if *call >= BROKER
                    && self
                        .to
                        .send(Told::Brokered {
                            call: *call,
                            counted: *counted,
                        })
                        .is_err()
                {
                    return;
                }
                let Some((name, add)) = self.calls.borrow_mut().remove(call) else {
                    return;
                };
                if *counted != Counted::Refused {
                    let answered = matches!(counted, Counted::Total(_));
                    self.tell(Told::Counted {
                        name,
                        add,
                        answered,
                    });
                }
            }
            _ => {}
        }
    }
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
const PLACES: usize = 3;
/// Shards of a duty whose holders each limiter keeps in mind.
const MOST_SHARDS: u32 = 32;
/// A probe waits this long for a connection, and again for any answer.
const PROBE: Duration = Duration::from_secs(1);
/// Names that are read from the counter at once.
const MOST_READ: usize = 256;
const FORGOTTEN: f64 = 30.0;

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
    list: BTreeMap<String, Value>,
    places: BTreeMap<String, Vec<(SocketAddrV4, f64)>>,
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
    lent: Vec<quota_sharing::Output>,
    tell: mpsc::UnboundedSender<Told>,
    next_effect: f64,
    turn: usize,
    began: u64,
    ended: u64,
    relayed: u64,
}

/// A voter's state machine, and the way of its writes to the disk.
type OpenVoter = (Voter, std::sync::mpsc::Sender<WriteBatch>);

/// The voter that this limiter is, if it is one; a thread of its own does the writes.
fn open_voter(
    plan: &Plan,
    name: &str,
    seed: u64,
    now: f64,
    saved: mpsc::UnboundedSender<Disk>,
    out: &mut Vec<Output>,
) -> Result<Option<OpenVoter>, Fault> {
    let votes = plan.voters.iter().any(|v| v.0 == name);
    let Some(path) = plan.disk.as_ref().filter(|_| votes) else {
        return Ok(None);
    };
    let opened = VoterStorage::open(path, &plan.roles.fleet, name);
    let OpenedVoter {
        storage,
        saved: head,
    } = opened.map_err(|error| Fault::Config(error.to_string()))?;
    let voter = Voter::new(plan.roles.clone(), name.to_owned(), head, seed, now, out);
    let voter = voter.map_err(|e| Fault::Config(e.to_string()))?;
    let (tx, rx) = std::sync::mpsc::channel::<WriteBatch>();
    let slow = plan.trial.slow_disk.clone();
    std::thread::spawn(move || write_batches(storage, rx, slow, saved));
    Ok(Some((voter, tx)))
}

/// Writes what comes, in order, and says so; the first write that fails is the last.
fn write_batches(
    storage: VoterStorage,
    batches: std::sync::mpsc::Receiver<WriteBatch>,
    slow: Option<PathBuf>,
    saved: mpsc::UnboundedSender<Disk>,
) {
    for batch in batches {
        let by = slow.as_ref().and_then(|p| std::fs::read_to_string(p).ok());
        let by = by.and_then(|t| t.trim().parse::<f64>().ok()).unwrap_or(0.0);
        std::thread::sleep(Duration::try_from_secs_f64(by).unwrap_or_default());
        let said = match storage.write(&batch) {
            Ok(()) => Disk::Saved(batch.number),
            Err(e) => Disk::Failed(e.to_string()),
        };
        let failed = matches!(said, Disk::Failed(_));
        if saved.send(said).is_err() || failed {
            return;
        }
    }
}

async fn open_links(
    plan: &Plan,
    name: &str,
    inbox: mpsc::Sender<Received>,
) -> Result<Rc<Transport>, Fault> {
    let links = Transport::open(
        plan.roles.fleet.clone(),
        name.to_owned(),
        plan.listen,
        plan.bounds.clone(),
        plan.via.clone(),
        inbox,
    );
    links
        .await
        .map_err(|e| Fault::Config(format!("fleet.listen: {}: {e}", plan.listen)))
}

fn open_history(plan: &Plan) -> Result<Option<std::io::BufWriter<std::fs::File>>, Fault> {
    let Some(path) = &plan.trial.history else {
        return Ok(None);
    };
    let file = std::fs::OpenOptions::new()
        .create(true)
        .append(true)
        .open(path);
    let file = file.map_err(|e| Fault::Config(format!("{}: {e}", path.display())))?;
    Ok(Some(std::io::BufWriter::new(file)))
}

/// The relay of discovery's list within the zone, and the slot it goes by.
fn open_relay(plan: &Plan, now: f64) -> Option<(Relay, Slot)> {
    let zone = plan
        .roles
        .zones
        .iter()
        .position(|z| *z == plan.zone)
        .unwrap_or(0) as u32;
    let slot = plan
        .roles
        .slots_of("watch")
        .filter(|range| zone < range.count)
        .map(|range| range.first + zone);
    let part = fastrand::f64();
    slot.map(|slot| (Relay::new(plan.watch.clone(), slot, 0, part, now), slot))
}

impl Fleet {
    /// Opens store and sockets; the error says what can't be used.
    async fn open(
        plan: Plan,
        name: String,
        seed: u64,
        inbox: mpsc::Sender<Received>,
        tell: mpsc::UnboundedSender<Told>,
    ) -> Result<(Self, mpsc::UnboundedReceiver<Disk>), Fault> {
        let now = clock();
        let wall = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let wall = ((wall.as_secs_f64() + plan.trial.wall).max(0.0) * 1e3) as u64;
        let run = seed ^ (wall << 20) ^ u64::from(std::process::id());
        let me = Identity {
            name: name.clone(),
            run,
            zone: plan.zone.clone(),
            machine: plan.machine.clone(),
        };
        let (saved_tx, saved_rx) = mpsc::unbounded_channel();
        let mut out = Vec::new();
        let (voter, disk) = open_voter(&plan, &name, seed, now, saved_tx, &mut out)?.unzip();
        let links = open_links(&plan, &name, inbox).await?;
        let version = plan
            .trial
            .version
            .unwrap_or(dunespur_peer_transport::VERSION);
        links.set_version(version);
        let member = members::Member {
            precedence: wall,
            address: plan.listen,
            version,
            voter: plan.voters.iter().any(|v| v.0 == name),
            name,
            instance: run,
            zone: plan.zone.clone(),
            machine: plan.machine.clone(),
        };
        let history = open_history(&plan)?;
        let relay = open_relay(&plan, now);
        let broker = Broker::new(plan.lend.clone(), BROKER);
        let lends = plan
            .roles
            .slots_of("lend")
            .map(|range| range.truncated(MOST_SHARDS))
            .filter(|range| range.count > 0);
        let lending = lends.map(|range| Lending::new(&plan.lend, range, tell.clone()));
        let probes = plan.roles.slots_of("probe").filter(|range| range.count > 0);
        let audits = plan.roles.slots_of("audit").filter(|range| range.count > 0);
        let lookups = [probes, audits, lends].into_iter().flatten();
        let lookups = lookups
            .flat_map(|range| range.truncated(MOST_SHARDS).slots())
            .collect();
        let mut fleet = Fleet {
            members: Membership::new(plan.members.clone(), member, seed, now),
            client: RoleClient::new(plan.roles.clone(), me.clone(), lookups, now),
            fencing: FencingCheck::new(plan.roles.slots()),
            probes,
            audits,
            plan,
            me,
            links,
            voter,
            relay,
            disk,
            list: BTreeMap::new(),
            places: BTreeMap::new(),
            history,
            experience: ServerExperience::default(),
            health_checker: HealthChecker::default(),
            tally: UsageTally::default(),
            auditor: Auditor::default(),
            next_audit: now,
            broker,
            lending,
            audited: [0; 3],
            outcomes: 0,
            lent: Vec::new(),
            tell,
            next_effect: now,
            turn: 0,
            began: 0,
            ended: 0,
            relayed: 0,
        };
        fleet.note(json!({"line": "started", "t": now, "who": fleet.me.name, "run": run}));
        fleet.take(out, now);
        Ok((fleet, saved_rx))
    }

    fn note(&mut self, line: Value) {
        if let Some(to) = &mut self.history {
            let _ = writeln!(to, "{line}");
            let _ = to.flush();
        }
    }

    fn heard(&mut self, name: &str, at: SocketAddrV4, now: f64) {
        if name == self.me.name && at == self.plan.listen {
            return;
        }
        // Bounded by the fleet's size in the file, and by time.
        let most = self.plan.members.expected_members as usize * 2 + 16;
        if !self.places.contains_key(name) && self.places.len() >= most {
            self.places
                .retain(|_, p| p.iter().any(|p| p.1 > now - FORGOTTEN));
            if self.places.len() >= most {
                return;
            }
        }
        let places = self.places.entry(name.to_owned()).or_default();
        places.retain(|p| p.0 != at && p.1 > now - FORGOTTEN);
        places.insert(0, (at, now));
        places.truncate(PLACES);
    }

    /// Where a name is reached.
    fn places(&self, name: &str) -> Vec<SocketAddrV4> {
        let heard = self.places.get(name).into_iter().flatten().map(|p| p.0);
        let mut places: Vec<SocketAddrV4> = heard.collect();
        if places.is_empty() {
            let listed = self.plan.voters.iter().find(|v| v.0 == name).map(|v| v.1);
            places.extend(listed.or_else(|| self.members.find(name).map(|m| m.address)));
        }
        places
    }

    fn take(&mut self, out: Vec<Output>, now: f64) {
        let mut own = Vec::new();
        for o in out {
            let (who, run) = (self.me.name.clone(), self.me.run);
            match o {
                Output::Send { to, message } if to == self.me.name => own.push(message),
                Output::Send { to, message } => {
                    let body = postcard::to_stdvec(&message).unwrap_or_default();
                    for at in self.places(&to) {
                        self.links.send(at, Kind::SingletonRoles, body.clone());
                    }
                }
                Output::Write(batch) => {
                    if let Some(disk) = &self.disk {
                        let _ = disk.send(batch);
                    }
                }
                Output::Tokens(tokens) => self.fencing.initialize(&tokens),
                Output::Acquired { slot, token } => {
                    self.began += 1;
                    let info = self.plan.roles.slot_info(slot);
                    let (role, shard) = (info.role, info.shard);
                    ::log::info!("fleet: begins {role} {shard} under {token}");
                    self.note(json!({"line": "began", "t": now, "who": who, "run": run, "slot": slot, "token": token}));
                }
                Output::Lost { slot, token } => {
                    self.ended += 1;
                    if self.plan.roles.slot_info(slot).role == "probe" {
                        self.health_checker.clear();
                    } else if self.plan.roles.slot_info(slot).role == "audit" {
                        self.auditor.clear();
                    } else if self.plan.roles.slot_info(slot).role == "lend" {
                        self.broker.slot_lost(slot, &mut self.lent);
                    }
                    let info = self.plan.roles.slot_info(slot);
                    let (role, shard) = (info.role, info.shard);
                    ::log::info!("fleet: ends {role} {shard} under {token}");
                    let until = self.client.last_expiry();
                    self.note(
                        json!({"line": "ended", "t": now, "who": who, "run": run, "slot": slot,
                        "token": token, "until": until}),
                    );
                }
                Output::Report { severity, text } => {
                    match severity {
                        Severity::Warning => ::log::warn!("fleet: {text}"),
                        Severity::Info => ::log::info!("fleet: {text}"),
                    }
                    let loud = severity.is_warning();
                    self.note(
                        json!({"line": "report", "t": now, "who": who, "loud": loud, "text": text}),
                    );
                }
            }
        }
        for message in own {
            self.receive_role_message(self.me.name.clone(), message, now);
        }
    }

    /// A message about duties, from a peer or from this process to itself.
    fn receive_role_message(&mut self, from: String, message: Message, now: f64) {
        let mut out = Vec::new();
        let mut renewed = None;
        match &message {
            Message::Renewed { response, run } => {
                renewed = (*run == self.me.run).then_some((response.seq, response.index));
                self.client.receive(&from, message, now, &mut out);
            }
            Message::NotLeader { .. }
            | Message::DuplicateName { .. }
            | Message::AssignmentsChanged { .. } => {
                self.client.receive(&from, message, now, &mut out);
            }
            _ => {
                if let Some(voter) = &mut self.voter {
                    voter.receive(&from, message, now, &mut out);
                }
            }
        }
        if let Some((seq, index)) = renewed.filter(|_| self.history.is_some()) {
            if let Some(asked) = self.client.granted_renewal_sent_at(seq) {
                let who = self.me.name.clone();
                self.note(
                    json!({"line": "told", "asked": asked, "t": now, "who": who, "index": index}),
                );
            }
        }
        self.take(out, now);
    }

    fn take_members(&mut self, out: Vec<members::Output>, now: f64) {
        for o in out {
            match o {
                members::Output::Datagram { to, bytes } => {
                    self.links.send_datagram(to, Kind::Gossip, bytes)
                }
                members::Output::Up(m) => ::log::info!("fleet: {} is up at {}", m.name, m.address),
                members::Output::Down(m) => {
                    ::log::info!("fleet: {} at {} is gone", m.name, m.address)
                }
                members::Output::DuplicateName(duplicate) => {
                    let DuplicateName {
                        name,
                        first_instance,
                        second_instance,
                    } = duplicate;
                    let text = format!("two living processes have the name {name}");
                    ::log::error!(
                        "fleet: {text} (runs {first_instance:x} and {second_instance:x})"
                    );
                    let who = self.me.name.clone();
                    self.note(
                        json!({"line": "report", "t": now, "who": who, "loud": true, "text": text}),
                    );
                }
                members::Output::Stalled { seconds } => {
                    ::log::warn!("fleet: this process was stalled for {seconds:.1} s")
                }
            }
        }
    }

    fn came(&mut self, hub: &Rc<Hub>, came: Received, now: f64) {
        let Received { kind, frame } = came;
        self.heard(&frame.sender, frame.sender_address, now);
        let spoilt = |links: &Transport| links.reject(FrameError::UnknownKind);
        match kind {
            Kind::Gossip => {
                let mut out = Vec::new();
                self.members.receive(&frame.body, now, &mut out);
                self.take_members(out, now);
            }
            Kind::SingletonRoles => match postcard::from_bytes(&frame.body) {
                Ok(message) => self.receive_role_message(frame.sender, message, now),
                Err(_) => spoilt(&self.links),
            },
            Kind::Watch => match postcard::from_bytes(&frame.body) {
                Ok(message) => self.watch(hub, frame.sender, message, now),
                Err(_) => spoilt(&self.links),
            },
            Kind::Work => match postcard::from_bytes::<Work>(&frame.body) {
                Ok(work) => self.work(hub, &frame.sender, work, now),
                Err(_) => spoilt(&self.links),
            },
        }
    }

    /// What the broker wants done; its answers under the token that it holds at this moment.
    fn lend(&mut self, hub: &Rc<Hub>, now: f64) {
        while !self.lent.is_empty() {
            for o in std::mem::take(&mut self.lent) {
                match o {
                    quota_sharing::Output::Respond {
                        to,
                        run,
                        slot,
                        seq,
                        answer,
                    } => {
                        let token = self.client.token(slot, now);
                        let answer = token.map_or(Answer::Unavailable, |_| answer);
                        let msg = quota_sharing::Message::Response {
                            slot,
                            token: token.unwrap_or(0),
                            run,
                            seq,
                            answer,
                        };
                        if to == self.me.name {
                            self.told(hub, msg, now);
                        } else if let Some(at) = self.places(&to).first() {
                            let body = postcard::to_stdvec(&Work::Lend(msg)).unwrap_or_default();
                            self.links.send(*at, Kind::Work, body);
                        }
                    }
                    quota_sharing::Output::CallCounter {
                        call,
                        name,
                        add,
                        lifetime,
                    } => {
                        hub.call_counter(call, name, add, lifetime);
                    }
                    quota_sharing::Output::AbandonCall { call } => hub.counter.abandon(hub, call),
                }
            }
        }
    }

    /// A broker's answer. One under an older token than was seen is refused; a no changes nothing.
    fn told(&mut self, hub: &Rc<Hub>, msg: quota_sharing::Message, now: f64) {
        let quota_sharing::Message::Response {
            slot,
            token,
            run,
            seq,
            answer,
        } = msg
        else {
            return;
        };
        let total = matches!(answer, Answer::Total(_));
        let fits = run == self.me.run && (!total || self.fencing.accept(slot, token));
        let Some(lending) = self.lending.as_ref().filter(|_| fits) else {
            return;
        };
        if let Some(counted) = lending.told(seq, answer) {
            self.client.record_progress(slot, now);
            hub.tell(Event::Counted { call: seq, counted });
        }
    }

    /// This limiter's own ask goes to whoever holds the slot.
    fn borrow(&mut self, hub: &Rc<Hub>, slot: Slot, request: LeaseRequest, now: f64) {
        let (me, run) = (self.me.name.clone(), self.me.run);
        if self.client.token(slot, now).is_some() {
            self.broker
                .request(&me, run, slot, request, now, &mut self.lent);
            return self.lend(hub, now);
        }
        let holder = self
            .client
            .owners()
            .get(&slot)
            .filter(|h| **h != me)
            .cloned();
        match holder.and_then(|h| self.places(&h).first().copied()) {
            Some(at) => {
                let work = Work::Lend(quota_sharing::Message::Request { slot, run, request });
                self.links.send(
                    at,
                    Kind::Work,
                    postcard::to_stdvec(&work).unwrap_or_default(),
                );
            }
            None => {
                let msg = quota_sharing::Message::Response {
                    slot,
                    token: 0,
                    run,
                    seq: request.seq,
                    answer: Answer::Unavailable,
                };
                self.told(hub, msg, now);
            }
        }
    }

    /// Another limiter asks this one, or its broker answers.
    fn lend_msg(&mut self, hub: &Rc<Hub>, from: &str, msg: quota_sharing::Message, now: f64) {
        match msg {
            quota_sharing::Message::Request { slot, run, request } => {
                let ours = self.lending.is_some() && self.plan.roles.slot_info(slot).role == "lend";
                if ours && self.client.token(slot, now).is_some() {
                    self.client.record_progress(slot, now);
                    self.broker
                        .request(from, run, slot, request, now, &mut self.lent);
                } else {
                    let (to, seq) = (from.to_owned(), request.seq);
                    self.lent.push(quota_sharing::Output::Respond {
                        to,
                        run,
                        slot,
                        seq,
                        answer: Answer::Unavailable,
                    });
                }
                self.lend(hub, now);
            }
            told => self.told(hub, told, now),
        }
    }

    /// Which slots have a holder that is known here.
    fn know(&self, now: f64) {
        let Some(lending) = &self.lending else { return };
        let held = self.client.assignments(now).map(|held| held.slot);
        let known = self
            .client
            .owners()
            .iter()
            .filter(|h| *h.1 != self.me.name)
            .map(|h| *h.0);
        *lending.known.borrow_mut() = held.chain(known).collect();
    }

    fn work(&mut self, hub: &Rc<Hub>, from: &str, work: Work, now: f64) {
        match work {
            Work::Lend(msg) => self.lend_msg(hub, from, msg, now),
            Work::Effect { slot, token } => _ = self.accept(from, slot, token, now),
            Work::Probe(health_check::Message::Complaint { server, .. }) => {
                self.complaint(from, server, now)
            }
            Work::Probe(health_check::Message::Observed {
                slot,
                token,
                server,
                observation,
                age,
            }) => {
                let known = (0.0..60.0).contains(&age) && server.len() < 64;
                if known && self.accept(from, slot, token, now) {
                    self.outcome(hub, &server, observation, age, now);
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
    fn shard(of: Option<SlotRange>, key: u64) -> Option<Slot> {
        of.map(|range| {
            let count = range.truncated(MOST_SHARDS).count;
            range.first + (key % u64::from(count)) as Slot
        })
    }

    fn probe_slot(&self, server: &str) -> Option<Slot> {
        Fleet::shard(self.probes, xxh3_64(server.as_bytes()))
    }

    /// To whoever holds the slot, as far as it is known; this process included. False where nobody is known.
    fn tell_holder(&mut self, hub: &Rc<Hub>, slot: Slot, work: Work, now: f64) -> bool {
        if self.client.token(slot, now).is_some() {
            let me = self.me.name.clone();
            self.work(hub, &me, work, now);
            true
        } else if let Some(name) = self.client.owner(slot).cloned() {
            let body = postcard::to_stdvec(&work).unwrap_or_default();
            self.places(&name)
                .into_iter()
                .for_each(|at| self.links.send(at, Kind::Work, body.clone()));
            true
        } else {
            false
        }
    }

    /// As the duty's holder: someone gave up on a server.
    fn complaint(&mut self, from: &str, server: String, now: f64) {
        let Some(slot) = self.probe_slot(&server) else {
            return;
        };
        let Ok(address) = server.parse::<SocketAddr>() else {
            return;
        };
        let listed = self
            .list
            .values()
            .any(|m| m["host_port"] == server.as_str());
        // Evidence about a server that is not on the list is none.
        if !listed || self.client.token(slot, now).is_none() {
            return;
        }
        if self
            .health_checker
            .receive_complaint(from, &server, now, &self.plan.probe)
        {
            let tell = self.tell.clone();
            tokio::task::spawn_local(async move {
                let observation = probe(address).await;
                let _ = tell.send(Told::Probed {
                    server,
                    observation,
                });
            });
        }
    }

    /// As the holder: the probe is over; all that are up hear of it, if this one still holds the duty.
    fn probed(&mut self, hub: &Rc<Hub>, server: String, observation: Observation, now: f64) {
        let Some(slot) = self.probe_slot(&server) else {
            return;
        };
        let Some(token) = self.client.token(slot, now) else {
            return;
        };
        self.client.record_progress(slot, now);
        self.outcome(hub, &server, observation, 0.0, now);
        let work = Work::Probe(health_check::Message::Observed {
            slot,
            token,
            server,
            observation,
            age: 0.0,
        });
        let body = postcard::to_stdvec(&work).unwrap_or_default();
        let to: Vec<_> = self.members.alive().map(|m| m.address).collect();
        to.into_iter()
            .for_each(|at| self.links.send_datagram(at, Kind::Work, body.clone()));
    }

    /// What a probe saw goes to the module, as far as this limiter's own experience lets it.
    fn outcome(
        &mut self,
        hub: &Rc<Hub>,
        server: &str,
        observation: Observation,
        age: f64,
        now: f64,
    ) {
        let judged = self.experience.judge(
            server,
            observation,
            age,
            fastrand::f64(),
            now,
            &self.plan.probe,
        );
        if let (Some(judged), Ok(address)) = (judged, server.parse()) {
            let (bad, pause) = match judged {
                health_check::Verdict::Unhealthy(pause) => (true, pause),
                health_check::Verdict::Healthy(pause) => (false, pause),
            };
            hub.tell(Event::Told {
                address,
                bad,
                pause,
            });
        }
        self.outcomes += 1;
        ::log::info!("fleet: a probe of {server}: {observation:?}");
        let what = format!("probe {observation:?} {server}");
        self.note(json!({"line": "counted", "t": now, "what": what, "value": 1.0}));
    }

    /// What was added and is quiet goes to the auditor; what an auditor holds and is quiet is read.
    fn audit(&mut self, hub: &Rc<Hub>, now: f64) {
        self.next_audit = now + self.plan.audit.quiet_period / 4.0;
        let mut by: BTreeMap<Slot, Vec<audit::Usage>> = BTreeMap::new();
        for u in self.tally.take_due(now, &self.plan.audit) {
            if let Some(slot) = Fleet::shard(self.audits, u.name) {
                by.entry(slot).or_default().push(u);
            }
        }
        for (slot, uses) in by {
            let names: Vec<u64> = uses.iter().map(|u| u.name).collect();
            let message = audit::Message::Usages {
                run: self.me.run,
                usages: uses,
            };
            if !self.tell_holder(hub, slot, Work::Audit { slot, message }, now) {
                self.tally.mark_unreported(names.into_iter());
            }
        }
        let due = self.auditor.take_due(now, &self.plan.audit);
        let Some(counter) = hub.counter.address().filter(|_| !due.is_empty()) else {
            return;
        };
        let tell = self.tell.clone();
        tokio::task::spawn_local(async move {
            for names in due.chunks(MOST_READ) {
                let read = totals(counter, names, &tell);
                if !matches!(tokio::time::timeout(PROBE, read).await, Ok(Ok(()))) {
                    return;
                }
            }
        });
    }

    fn total(&mut self, name: u64, total: f64, now: f64) {
        let Some(slot) =
            Fleet::shard(self.audits, name).filter(|s| self.client.token(*s, now).is_some())
        else {
            return;
        };
        self.client.record_progress(slot, now);
        let Some(verdict) = self.auditor.judge(name, total, &self.plan.audit) else {
            return;
        };
        let (n, what, value) = match verdict {
            audit::Verdict::Agrees => (0, "agrees", 0.0),
            audit::Verdict::Lost(units) => (1, "lost", units),
            audit::Verdict::Surplus(units) => (2, "surplus", units),
        };
        self.audited[n] += 1;
        if n > 0 {
            ::log::warn!(
                "fleet: audit of {name:016x}: the counter holds {total}, {what} {value:.3} units"
            );
        }
        self.note(
            json!({"line": "counted", "t": now, "what": format!("audit {what}"), "value": value}),
        );
    }

    /// The receiver's check, whatever the effect.
    fn accept(&mut self, from: &str, slot: Slot, token: u64, now: f64) -> bool {
        let took = self.fencing.accept(slot, token);
        let line = if took { "accepted" } else { "refused" };
        let at = self.me.name.clone();
        self.note(
            json!({"line": line, "t": now, "at": at, "who": from, "slot": slot, "token": token}),
        );
        took
    }

    fn watch(&mut self, hub: &Rc<Hub>, from: String, message: discovery_relay::Message, now: f64) {
        let Some(slot) = self.relay.as_ref().map(|r| r.1) else {
            return;
        };
        let fits = match &message {
            discovery_relay::Message::RequestEndpoints { slot: s } => *s == slot,
            discovery_relay::Message::Heartbeat { slot: s, token, .. }
            | discovery_relay::Message::Update { slot: s, token, .. } => {
                let (s, token) = (*s, *token);
                s == slot && self.accept(&from, s, token, now)
            }
        };
        if !fits {
            return;
        }
        let token = self.client.token(slot, now);
        let mut actions = Vec::new();
        if let Some((relay, _)) = &mut self.relay {
            relay.receive(&from, message, token, now, &mut actions);
        }
        self.act(hub, actions, now);
    }

    /// Takes a list into the whole one; says whether it was complete, and its revision.
    fn merge(&mut self, value: &Value) -> Option<(u64, bool)> {
        let revision = value["revision"].as_u64()?;
        let complete = value["complete"].as_bool().unwrap_or(false);
        if complete {
            self.list.clear();
        }
        for m in value["members"].as_array().into_iter().flatten() {
            let Some(id) = m["id"].as_str() else { continue };
            if m["phase"] == "Gone" {
                self.list.remove(id);
            } else {
                self.list.insert(id.to_owned(), m.clone());
            }
        }
        Some((revision, complete))
    }

    fn act(&mut self, hub: &Rc<Hub>, actions: Vec<Action>, now: f64) {
        for action in actions {
            match action {
                Action::OpenWatch | Action::CloseWatch => {
                    let own = action == Action::OpenWatch;
                    ::log::info!(
                        "fleet: its own watch {}",
                        if own { "opens" } else { "closes" }
                    );
                    let who = self.me.name.clone();
                    let value = if own { 1.0 } else { 0.0 };
                    self.note(
                        json!({"line": "counted", "t": now, "what": format!("watch {who}"), "value": value}),
                    );
                    hub.discovery.hold(own);
                }
                Action::Broadcast(message) => {
                    let body = postcard::to_stdvec(&message).unwrap_or_default();
                    let zone =
                        |m: &&members::Member| m.zone == self.me.zone && m.name != self.me.name;
                    let to: Vec<_> = self
                        .members
                        .alive()
                        .filter(zone)
                        .map(|m| m.address)
                        .collect();
                    to.into_iter()
                        .for_each(|at| self.links.send(at, Kind::Watch, body.clone()));
                }
                Action::Send { to, message } => {
                    let body = postcard::to_stdvec(&message).unwrap_or_default();
                    for at in self.places(&to) {
                        self.links.send(at, Kind::Watch, body.clone());
                    }
                }
                Action::SendEndpoints { to, token } => {
                    let Some((relay, slot)) = &self.relay else {
                        continue;
                    };
                    let members: Vec<&Value> = self.list.values().collect();
                    let revision = relay.revision();
                    let whole = json!({"revision": revision, "complete": true, "members": members});
                    let endpoints = whole.to_string().into_bytes();
                    let message = discovery_relay::Message::Update {
                        slot: *slot,
                        token,
                        since: None,
                        revision,
                        endpoints,
                    };
                    let body = postcard::to_stdvec(&message).unwrap_or_default();
                    for at in self.places(&to) {
                        self.links.send(at, Kind::Watch, body.clone());
                    }
                }
                Action::ApplyEndpoints {
                    endpoints,
                    revision,
                } => {
                    let Ok(value) = serde_json::from_slice::<Value>(&endpoints) else {
                        continue;
                    };
                    let Ok(news) = decode_news(&value, &hub.names) else {
                        continue;
                    };
                    self.merge(&value);
                    self.relayed += 1;
                    // Its own watch would go on from here.
                    hub.discovery.heard(revision);
                    hub.tell(Event::Endpoints(news));
                }
            }
        }
    }

    fn line(&mut self, hub: &Rc<Hub>, line: Option<Value>, now: f64) {
        let list = line.and_then(|value| {
            let (revision, complete) = self.merge(&value)?;
            Some(DiscoveryUpdate {
                revision,
                complete,
                endpoints: value.to_string().into_bytes(),
            })
        });
        let token = self
            .relay
            .as_ref()
            .and_then(|r| self.client.token(r.1, now));
        let mut actions = Vec::new();
        if let Some((relay, slot)) = &mut self.relay {
            relay.receive_update(list, token, now, &mut actions);
            self.client.record_progress(*slot, now);
        }
        self.act(hub, actions, now);
    }

    fn due(&self) -> f64 {
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
        if !self.lent.is_empty() {
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
            self.effects(now);
        }
        if self.audits.is_some() && now >= self.next_audit {
            self.audit(hub, now);
        }
        if self.client.next_due() <= now {
            self.client.tick(now, &mut out);
        }
        if let Some(voter) = self.voter.as_mut().filter(|v| v.next_due() <= now) {
            voter.tick(now, &mut out);
        }
        self.take(out, now);
        if self.broker.next_due() <= now {
            self.broker.tick(now, &mut self.lent);
        }
        self.lend(hub, now);
        self.know(now);
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
            self.take_members(said, now);
        }
        if let Some((relay, slot)) = self.relay.as_mut().filter(|r| r.0.next_due() <= now) {
            let token = self.client.token(*slot, now);
            relay.tick(token, now, &mut actions);
            if token.is_some() {
                self.client.record_progress(*slot, now);
            }
            self.act(hub, actions, now);
        }
    }

    /// For trials: each held slot has an effect at the next member and the next receiver.
    fn effects(&mut self, now: f64) {
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
            self.turn += 1;
            let body = postcard::to_stdvec(&Work::Effect { slot, token }).unwrap_or_default();
            if !members.is_empty() {
                self.links
                    .send(members[self.turn % members.len()], Kind::Work, body.clone());
            }
            if !self.plan.trial.receivers.is_empty() {
                let at = self.plan.trial.receivers[self.turn % self.plan.trial.receivers.len()];
                self.links.send_datagram(at, Kind::Work, body);
            }
        }
    }

    fn report(&self) {
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

/// Tries a server with a request that is no invocation: any answer at all tells that it lives.
async fn probe(at: SocketAddr) -> Observation {
    let Ok(Ok(stream)) = tokio::time::timeout(PROBE, TcpStream::connect(at)).await else {
        return Observation::Refused;
    };
    let answered = async {
        let io = hyper_util::rt::TokioIo::new(stream);
        let (mut sender, connection) = hyper::client::conn::http1::handshake(io).await.ok()?;
        let request = hyper::Request::get("/").header("host", at.to_string());
        let request = request
            .body(http_body_util::Empty::<bytes::Bytes>::new())
            .ok()?;
        tokio::select! {
            answer = sender.send_request(request) => answer.ok().map(|_| ()),
            _ = connection => None,
        }
    };
    match tokio::time::timeout(PROBE, answered).await {
        Ok(Some(())) => Observation::Answered,
        _ => Observation::Silent,
    }
}

/// Reads names by adding nothing to them; one that is gone comes to be for a millisecond.
async fn totals(
    at: SocketAddr,
    names: &[u64],
    tell: &mpsc::UnboundedSender<Told>,
) -> std::io::Result<()> {
    let mut stream = TcpStream::connect(at).await?;
    let mut calls = BytesMut::new();
    names
        .iter()
        .for_each(|n| calls.extend_from_slice(&encode_count(*n, 0.0, 0.001)));
    stream.write_all(&calls).await?;
    let mut answers = BytesMut::new();
    for name in names {
        let counted = loop {
            match take_counted(&mut answers) {
                Ok(Some(counted)) => break counted,
                Ok(None) => {}
                Err(_) => return Err(std::io::ErrorKind::InvalidData.into()),
            }
            if stream.read_buf(&mut answers).await? == 0 {
                return Err(std::io::ErrorKind::UnexpectedEof.into());
            }
        };
        if let Counted::Total(total) = counted {
            let _ = tell.send(Told::Total { name: *name, total });
        }
    }
    Ok(())
}

/// Opens what the plan names, then plays this process's part for as long as it lives.
pub async fn start(
    hub: Rc<Hub>,
    plan: Plan,
    name: String,
    seed: u64,
    tell: mpsc::UnboundedSender<Told>,
    mut told: mpsc::UnboundedReceiver<Told>,
) -> Result<(), Fault> {
    let (tx, mut inbox) = mpsc::channel(1024);
    let (mut fleet, mut saved) = Fleet::open(plan, name, seed, tx, tell.clone()).await?;
    let tap = Tap::new(tell);
    let waiting = tap.waiting.clone();
    *hub.tap.borrow_mut() = Some(tap);
    *hub.lending.borrow_mut() = fleet.lending.clone();
    let own = hub.clone();
    let task = tokio::task::spawn_local(async move {
        let mut disk = true;
        loop {
            let wait = (fleet.due() - clock()).clamp(0.0, 1.0);
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
                    fleet.take(out, clock());
                }
                () = tokio::time::sleep(Duration::from_secs_f64(wait)), if wait > 0.0 => {}
                came = inbox.recv() => {
                    if let Some(came) = came {
                        fleet.came(&hub, came, clock());
                    }
                }
                said = told.recv() => match said {
                    Some(Told::Line(line)) => fleet.line(&hub, line, clock()),
                    Some(Told::Report) => fleet.report(),
                    Some(Told::Delivered { server, answered }) => {
                        waiting.set(waiting.get().saturating_sub(1));
                        let (now, server) = (clock(), server.to_string());
                        let delivery = if answered { Delivery::Answered } else { Delivery::Unanswered };
                        let said = fleet.experience.record_delivery(&server, delivery, now, &fleet.plan.probe);
                        if let (Some(msg), Some(slot)) = (said, fleet.probe_slot(&server)) {
                            fleet.tell_holder(&hub, slot, Work::Probe(msg), now);
                        }
                    }
                    Some(Told::Counted { name, add, answered }) => {
                        waiting.set(waiting.get().saturating_sub(1));
                        if fleet.audits.is_some() {
                            let outcome = if answered { CallOutcome::Answered } else { CallOutcome::Unknown };
                            fleet.tally.record_call(name, add, outcome, clock(), &fleet.plan.audit);
                        }
                    }
                    Some(Told::Probed { server, observation }) => fleet.probed(&hub, server, observation, clock()),
                    Some(Told::Total { name, total }) => fleet.total(name, total, clock()),
                    Some(Told::Borrow { slot, request }) => {
                        if let Some(lending) = &fleet.lending {
                            lending.waiting.set(lending.waiting.get().saturating_sub(1));
                        }
                        fleet.borrow(&hub, slot, request, clock());
                    }
                    Some(Told::Brokered { call, counted }) => {
                        let now = clock();
                        fleet.broker.counter_answered(call, counted, now, &mut fleet.lent);
                        fleet.lend(&hub, now);
                    }
                    Some(Told::Leave) => {
                        let now = clock();
                        let (mut out, mut said) = (Vec::new(), Vec::new());
                        fleet.client.leave(now, &mut out);
                        fleet.members.leave(now, &mut said);
                        fleet.take(out, now);
                        fleet.lend(&hub, now);
                        fleet.take_members(said, now);
                    }
                    None => return,
                },
                () = std::future::ready(()), if wait <= 0.0 => {}
            }
            let now = clock();
            if fleet.due() <= now {
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
