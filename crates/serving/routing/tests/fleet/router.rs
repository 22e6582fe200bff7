//! The routers of a simulation: the balancer, and the baselines with which it is compared.

use std::collections::HashMap;
use std::rc::Rc;

use dunespur_routing::{Balancer, Choice, LoadReport, Millis, Outcome, RoutingRequest, Server};

/// The server to which a request is dispatched.
#[derive(Debug, Clone)]
pub struct DispatchTarget {
    pub server: Rc<str>,
    pub key: u64,
    pub priority: u8,
}

/// A router's decision on a request.
#[derive(Debug, Clone)]
pub enum RoutingDecision {
    Dispatch(DispatchTarget),
    RetryAfter(Millis),
}

/// The router of one gateway.
pub trait Router {
    fn choose(&mut self, request: &RoutingRequest, now: Millis) -> RoutingDecision;
    fn record_first_event(&mut self, key: u64, now: Millis);
    fn record_outcome(&mut self, key: u64, outcome: Outcome, now: Millis);
    fn reports(&self) -> Vec<LoadReport>;
    fn apply_peer_load(&mut self, reports: &[LoadReport], from: &str, now: Millis);
}

/// The criterion of a baseline router.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BaselinePolicy {
    Random,
    LeastLoaded,
    PrefixOnly,
}

/// The router under test.
pub struct Balanced(pub Balancer);

impl Router for Balanced {
    fn choose(&mut self, request: &RoutingRequest, now: Millis) -> RoutingDecision {
        match self.0.choose(request, now) {
            Choice::Send(ticket) => RoutingDecision::Dispatch(DispatchTarget {
                server: ticket.server.id.clone(),
                key: ticket.key,
                priority: ticket.engine_priority.unwrap_or(5),
            }),
            Choice::Reject { retry_after_ms } => RoutingDecision::RetryAfter(retry_after_ms),
            Choice::NoServer => RoutingDecision::RetryAfter(100),
        }
    }

    fn record_first_event(&mut self, key: u64, now: Millis) {
        self.0.record_first_event(key, now);
    }

    fn record_outcome(&mut self, key: u64, outcome: Outcome, now: Millis) {
        self.0.record_outcome(key, outcome, now);
    }

    fn reports(&self) -> Vec<LoadReport> {
        self.0.load_reports()
    }

    fn apply_peer_load(&mut self, reports: &[LoadReport], from: &str, now: Millis) {
        self.0.apply_peer_load(reports, from, now);
    }
}

/// A router that chooses by a single criterion.
pub struct Baseline {
    policy: BaselinePolicy,
    servers: Vec<Rc<str>>,
    own_in_flight: Vec<u32>,
    peers_in_flight: HashMap<String, Vec<u32>>,
    assignments: HashMap<u64, usize>,
    last_key: u64,
    random: fastrand::Rng,
}

impl Baseline {
    pub fn new(policy: BaselinePolicy, servers: &[Server], seed: u64) -> Self {
        Self {
            policy,
            servers: servers.iter().map(|server| server.id.clone()).collect(),
            own_in_flight: vec![0; servers.len()],
            peers_in_flight: HashMap::new(),
            assignments: HashMap::new(),
            last_key: 0,
            random: fastrand::Rng::with_seed(seed),
        }
    }

    fn load(&self, index: usize) -> u32 {
        self.own_in_flight[index]
            + self
                .peers_in_flight
                .values()
                .map(|loads| loads[index])
                .sum::<u32>()
    }

    fn choose_index(&mut self, request: &RoutingRequest) -> Option<usize> {
        let untried: Vec<usize> = (0..self.servers.len())
            .filter(|index| !request.tried.contains(&self.servers[*index]))
            .collect();
        let start = self.random.usize(..untried.len().max(1));
        let rotated = untried
            .iter()
            .cycle()
            .skip(start)
            .take(untried.len())
            .copied();
        match self.policy {
            BaselinePolicy::Random => untried.get(start).copied(),
            BaselinePolicy::LeastLoaded => rotated.min_by_key(|index| self.load(*index)),
            BaselinePolicy::PrefixOnly => {
                let shared_prefix = request.prefix[request.prefix.len().min(2) - 1].id;
                untried
                    .into_iter()
                    .max_by_key(|index| prefix_weight(&self.servers[*index], shared_prefix))
            }
        }
    }
}

fn prefix_weight(server: &str, shared_prefix: u64) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(server.as_bytes(), shared_prefix)
}

impl Router for Baseline {
    fn choose(&mut self, request: &RoutingRequest, _now: Millis) -> RoutingDecision {
        let Some(index) = self.choose_index(request) else {
            return RoutingDecision::RetryAfter(100);
        };
        self.own_in_flight[index] += 1;
        self.last_key += 1;
        self.assignments.insert(self.last_key, index);
        RoutingDecision::Dispatch(DispatchTarget {
            server: self.servers[index].clone(),
            key: self.last_key,
            priority: 5,
        })
    }

    fn record_first_event(&mut self, _key: u64, _now: Millis) {}

    fn record_outcome(&mut self, key: u64, _outcome: Outcome, _now: Millis) {
        if let Some(index) = self.assignments.remove(&key) {
            self.own_in_flight[index] -= 1;
        }
    }

    fn reports(&self) -> Vec<LoadReport> {
        let loads = self.servers.iter().zip(&self.own_in_flight);
        loads
            .map(|(server, in_flight)| LoadReport {
                server: server.clone(),
                in_flight: *in_flight,
                prefill_tokens: 0,
            })
            .collect()
    }

    fn apply_peer_load(&mut self, reports: &[LoadReport], from: &str, _now: Millis) {
        let mut loads = vec![0; self.servers.len()];
        for report in reports {
            if let Some(index) = self
                .servers
                .iter()
                .position(|server| *server == report.server)
            {
                loads[index] = report.in_flight;
            }
        }
        self.peers_in_flight.insert(from.to_string(), loads);
    }
}
