//! A simulated cluster of gateways. Its network delivers their messages, may lose, duplicate and delay them, and the
//! actual loads are known for comparison.
// Each test file is a separate crate that uses only some of these.
#![allow(dead_code)]

use dunespur_load_distribution::{
    Call, Gateway, Identity, LoadDistribution, Millis, ServerLoad, Update, REPORT_TIMEOUT_MS,
};
use fastrand::Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use xxhash_rust::xxh3::Xxh3;

/// Latency of a message.
const LATENCY_MS: u64 = 2;

/// Creates a load on a server that no gateway has ejected.
pub fn load(server: &str, in_flight: u32) -> ServerLoad {
    let prefill_tokens = u64::from(in_flight) * 100;
    ServerLoad {
        server: server.into(),
        in_flight,
        prefill_tokens,
        ejected_by: 0,
    }
}

/// Creates a gateway whose address ends in `number`.
pub fn gateway(name: &str, zone: &str, number: u8, incarnation: u64) -> Gateway {
    let address = SocketAddr::from(([10, 0, 0, number], 7_000));
    Gateway {
        name: name.into(),
        zone: zone.into(),
        address,
        incarnation,
    }
}

/// A message in flight, or the timeout of a call.
#[derive(Clone, Debug)]
enum Message {
    Report {
        from: Rc<str>,
        call: Call,
    },
    Update {
        to: Rc<str>,
        to_incarnation: u64,
        number: u64,
        update: Update,
    },
    Failed {
        to: Rc<str>,
        to_incarnation: u64,
        number: u64,
    },
}

/// The faults of the simulated network.
#[derive(Clone, Copy, Debug, Default)]
pub struct NetworkFaults {
    /// Percentage of messages that are lost.
    pub lost: u32,
    /// Percentage of messages that arrive twice.
    pub duplicated: u32,
    /// Percentage of messages that are delayed by up to two seconds.
    pub delayed: u32,
}

/// One simulated gateway.
pub struct Node {
    pub identity: Identity,
    pub distribution: LoadDistribution,
    pub address: SocketAddr,
    /// The gateway's actual loads by service.
    pub actual_loads: BTreeMap<Rc<str>, Vec<ServerLoad>>,
    /// The other gateways' loads by service, from the last update.
    pub remote_loads: BTreeMap<Rc<str>, Vec<ServerLoad>>,
    /// Number of calls that the gateway made.
    pub calls: u64,
    /// Number of reports that the gateway answered with an update.
    pub updates: u64,
    /// Whether the gateway is frozen: it neither sends nor handles messages.
    pub frozen: bool,
    /// A digest of all updates of the other gateways' loads.
    digest: Xxh3,
}

/// All gateways and the network between them.
pub struct Cluster {
    pub now: Millis,
    pub network: NetworkFaults,
    pub nodes: BTreeMap<Rc<str>, Node>,
    /// Pairs of gateways, sender first, between which all messages are lost.
    pub partitions: BTreeSet<(Rc<str>, Rc<str>)>,
    random: Rng,
    messages: BTreeMap<(Millis, u64), Message>,
    last_message: u64,
    next_incarnation: u64,
    digest: Xxh3,
}

impl Cluster {
    /// Creates `gateways_per_zone` gateways in each zone, named by zone and number.
    pub fn new(seed: u64, zones: &[&str], gateways_per_zone: usize) -> Cluster {
        let mut cluster = Cluster {
            now: 1_000,
            network: NetworkFaults::default(),
            nodes: BTreeMap::new(),
            partitions: BTreeSet::new(),
            random: Rng::with_seed(seed),
            messages: BTreeMap::new(),
            last_message: 0,
            next_incarnation: 1,
            digest: Xxh3::new(),
        };
        for zone in zones {
            for number in 1..=gateways_per_zone {
                cluster.start(&format!("{zone}-{number}"), zone);
            }
        }
        cluster.announce_members();
        cluster
    }

    /// Starts or restarts a gateway with a new incarnation. The other gateways are not notified.
    pub fn start(&mut self, name: &str, zone: &str) {
        self.next_incarnation += 1;
        let number = self
            .nodes
            .get(name)
            .map_or(self.nodes.len() as u8 + 1, |node| {
                last_address_byte(node.address)
            });
        let identity = Identity {
            name: name.into(),
            zone: zone.into(),
            incarnation: self.next_incarnation,
        };
        let node = Node {
            distribution: LoadDistribution::new(identity.clone()),
            identity,
            address: SocketAddr::from(([10, 0, 0, number], 7_000)),
            actual_loads: BTreeMap::new(),
            remote_loads: BTreeMap::new(),
            calls: 0,
            updates: 0,
            frozen: false,
            digest: Xxh3::new(),
        };
        self.nodes.insert(name.into(), node);
    }

    /// The gateways that are not frozen.
    pub fn members(&self) -> Vec<Gateway> {
        let up = self.nodes.values().filter(|node| !node.frozen);
        up.map(|node| {
            let identity = &node.identity;
            gateway(
                &identity.name,
                &identity.zone,
                last_address_byte(node.address),
                identity.incarnation,
            )
        })
        .collect()
    }

    /// Freezes or thaws a gateway.
    pub fn set_frozen(&mut self, name: &str, frozen: bool) {
        self.nodes.get_mut(name).expect("a known gateway").frozen = frozen;
    }

    /// Sets the membership that one gateway knows.
    pub fn set_members(&mut self, name: &str, members: Vec<Gateway>) {
        let node = self.nodes.get_mut(name).expect("a known gateway");
        node.distribution.set_gateways(members);
    }

    /// Sets the membership of all gateways to those that are not frozen.
    pub fn announce_members(&mut self) {
        let members = self.members();
        for node in self.nodes.values_mut() {
            node.distribution.set_gateways(members.clone());
        }
    }

    pub fn node(&self, name: &str) -> &Node {
        &self.nodes[name]
    }

    /// Replaces the actual loads of a gateway.
    pub fn set_loads(&mut self, name: &str, service: &str, loads: &[ServerLoad]) {
        let now = self.now;
        let node = self.nodes.get_mut(name).expect("a known gateway");
        node.actual_loads.insert(service.into(), loads.to_vec());
        node.distribution.set_own_loads(&service.into(), loads, now);
    }

    /// Starts or ends a network partition between two gateways.
    pub fn set_partitioned(&mut self, one: &str, other: &str, partitioned: bool) {
        for pair in [(one, other), (other, one)] {
            let pair = (pair.0.into(), pair.1.into());
            match partitioned {
                true => self.partitions.insert(pair),
                false => self.partitions.remove(&pair),
            };
        }
    }

    /// The aggregator of a service in a zone, by the membership that the gateway `by` knows.
    pub fn aggregator(&self, by: &str, service: &str, zone: &str) -> Rc<str> {
        let aggregator = self
            .node(by)
            .distribution
            .membership()
            .aggregator(service, zone);
        aggregator.expect("a gateway must be present").name.clone()
    }

    /// The actual requests in flight of the other gateways, by server.
    pub fn actual_loads(&self, name: &str, service: &str) -> BTreeMap<Rc<str>, u32> {
        let mut actual_loads = BTreeMap::new();
        let others = self
            .nodes
            .values()
            .filter(|node| *node.identity.name != *name && !node.frozen);
        for load in others
            .filter_map(|node| node.actual_loads.get(service))
            .flatten()
        {
            *actual_loads.entry(load.server.clone()).or_default() += load.in_flight;
        }
        actual_loads
    }

    /// The requests in flight of the other gateways that the gateway knows of, by server.
    pub fn known_loads(&self, name: &str, service: &str) -> BTreeMap<Rc<str>, u32> {
        let remote_loads = self
            .node(name)
            .remote_loads
            .get(service)
            .into_iter()
            .flatten();
        remote_loads
            .map(|load| (load.server.clone(), load.in_flight))
            .collect()
    }

    /// Number of calls made by all gateways.
    pub fn calls(&self) -> u64 {
        self.nodes.values().map(|node| node.calls).sum()
    }

    /// A digest of all messages and updates, with their times.
    pub fn digest(&self) -> u64 {
        let mut digest = self.digest.clone();
        for (name, node) in &self.nodes {
            digest.update(name.as_bytes());
            digest.update(&node.calls.to_le_bytes());
            digest.update(&node.updates.to_le_bytes());
            digest.update(&node.digest.digest().to_le_bytes());
            digest.update(
                &node
                    .distribution
                    .next_due()
                    .unwrap_or(u64::MAX)
                    .to_le_bytes(),
            );
        }
        digest.digest()
    }

    /// Advances the time in steps of a millisecond.
    pub fn advance(&mut self, time: Millis) {
        for _ in 0..time {
            self.now += 1;
            self.deliver_due_messages();
            self.send_due_calls();
        }
    }

    fn send_due_calls(&mut self) {
        let names: Vec<Rc<str>> = self.nodes.keys().cloned().collect();
        for name in names {
            while let Some(call) = self.next_call(&name) {
                let failed = Message::Failed {
                    to: name.clone(),
                    to_incarnation: self.node(&name).identity.incarnation,
                    number: call.number,
                };
                self.send_at(self.now + REPORT_TIMEOUT_MS, failed);
                self.send(
                    &name.clone(),
                    call.address,
                    Message::Report {
                        from: name.clone(),
                        call,
                    },
                );
            }
        }
    }

    fn next_call(&mut self, name: &Rc<str>) -> Option<Call> {
        let now = self.now;
        let node = self.nodes.get_mut(name).filter(|node| !node.frozen)?;
        let is_due = node.distribution.next_due().is_some_and(|at| at <= now);
        let call = if is_due {
            node.distribution.poll(now)
        } else {
            None
        };
        node.take_remote_loads();
        node.calls += u64::from(call.is_some());
        call
    }

    fn deliver_due_messages(&mut self) {
        while let Some(entry) = self.messages.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            let message = entry.remove();
            self.handle_message(message);
        }
    }

    fn handle_message(&mut self, message: Message) {
        let now = self.now;
        match message {
            Message::Report { from, call } => self.handle_report_message(&from, &call),
            Message::Update {
                to,
                to_incarnation,
                number,
                update,
            } => {
                if let Some(node) = self.running_node(&to, to_incarnation) {
                    node.distribution.handle_update(number, &update, now);
                    node.take_remote_loads();
                }
            }
            Message::Failed {
                to,
                to_incarnation,
                number,
            } => {
                if self.nodes[&to].frozen {
                    // The timer of a frozen process expires when the process thaws.
                    return self.send_at(
                        now + 1,
                        Message::Failed {
                            to,
                            to_incarnation,
                            number,
                        },
                    );
                }
                if let Some(node) = self.running_node(&to, to_incarnation) {
                    node.distribution.handle_failure(number, now);
                }
            }
        }
    }

    fn handle_report_message(&mut self, from: &Rc<str>, call: &Call) {
        let now = self.now;
        let to = self
            .nodes
            .values_mut()
            .find(|node| node.address == call.address && !node.frozen);
        let Some(node) = to else { return };
        node.updates += 1;
        let update = node.distribution.handle_report(&call.report, now);
        let address = self.nodes[from].address;
        let by = self.name_at(call.address);
        let to_incarnation = call.report.incarnation;
        let update = Message::Update {
            to: from.clone(),
            to_incarnation,
            number: call.number,
            update,
        };
        self.send(&by, address, update);
    }

    fn running_node(&mut self, name: &Rc<str>, incarnation: u64) -> Option<&mut Node> {
        self.nodes
            .get_mut(name)
            .filter(|node| !node.frozen && node.identity.incarnation == incarnation)
    }

    fn name_at(&self, address: SocketAddr) -> Rc<str> {
        let node = self.nodes.values().find(|node| node.address == address);
        node.expect("a gateway must have this address")
            .identity
            .name
            .clone()
    }

    fn send(&mut self, from: &Rc<str>, to: SocketAddr, message: Message) {
        let pair = (from.clone(), self.name_at(to));
        self.hash_message(&pair.0, &pair.1, &message);
        if self.partitions.contains(&pair) || self.occurs(self.network.lost) {
            return;
        }
        let deliveries = if self.occurs(self.network.duplicated) {
            2
        } else {
            1
        };
        for _ in 0..deliveries {
            let delayed = if self.occurs(self.network.delayed) {
                self.random.u64(0..2_000)
            } else {
                0
            };
            self.send_at(self.now + LATENCY_MS + delayed, message.clone());
        }
    }

    fn hash_message(&mut self, from: &str, to: &str, message: &Message) {
        let (kind, number, bytes) = match message {
            Message::Report { call, .. } => (0, call.number, postcard::to_stdvec(&call.report)),
            Message::Update { number, update, .. } => (1, *number, postcard::to_stdvec(update)),
            Message::Failed { number, .. } => (2, *number, Ok(Vec::new())),
        };
        self.digest.update(&self.now.to_le_bytes());
        self.digest.update(from.as_bytes());
        self.digest.update(to.as_bytes());
        self.digest.update(&[kind]);
        self.digest.update(&number.to_le_bytes());
        self.digest
            .update(&bytes.expect("every message must be encodable"));
    }

    fn send_at(&mut self, at: Millis, message: Message) {
        self.last_message += 1;
        self.messages.insert((at, self.last_message), message);
    }

    fn occurs(&mut self, percent: u32) -> bool {
        percent > 0 && self.random.u32(0..100) < percent
    }
}

impl Node {
    fn take_remote_loads(&mut self) {
        for remote in self.distribution.take_remote_loads() {
            self.digest.update(remote.service.as_bytes());
            self.digest
                .update(&postcard::to_stdvec(&remote.loads).expect("loads must be encodable"));
            self.remote_loads.insert(remote.service, remote.loads);
        }
    }
}

fn last_address_byte(address: SocketAddr) -> u8 {
    match address {
        SocketAddr::V4(address) => address.ip().octets()[3],
        SocketAddr::V6(_) => 0,
    }
}
