//! Discrete-event simulation, from a seed, of gateways and of servers that are not model engines.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use dunespur_routing::{Balancer, Choice, LoadReport, Outcome, Server};

use crate::common::digest::Digest;
use crate::common::{plain_request, plain_server};

pub const SERVERS: usize = 7;
const SLOTS_PER_SERVER: usize = 6;
/// Requests that wait at a server when all its slots are taken.
const QUEUE_PER_SERVER: usize = 4;
const GATEWAYS: usize = 9;
const ZONES: [&str; 3] = ["a", "b", "c"];
const REPORT_INTERVAL_US: u64 = 300_000;
pub const SIMULATION_US: u64 = 20_000_000;
/// Delay of a request to a server and of a response to the gateway.
const NETWORK_DELAY_US: u64 = 1_000;
/// Delay before another attempt after a failure or rejection.
const RETRY_DELAY_US: u64 = 1_000;
const US_PER_MS: u64 = 1_000;
const MAX_ATTEMPTS: usize = 3;
/// Mean work and latency target of each kind of request, in milliseconds.
const REQUEST_KINDS: [(f64, u64); 3] = [(26.0, 150), (104.0, 500), (69.0, 300)];
/// Ratio of taken slots from which a server slows down.
const NEARLY_FULL_RATIO: f64 = 0.8;
/// Factor by which a server that is nearly full slows down.
const NEARLY_FULL_SLOWDOWN: f64 = 1.3;

/// The policy by which servers are chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    Balanced,
    Random,
    /// The server with the fewest requests of the gateway itself.
    LeastOwnRequests,
}

/// The parameters of a simulation.
#[derive(Debug, Clone)]
pub struct Scenario {
    pub seed: u64,
    pub requests_per_s: f64,
    /// Factor on the work of each request, by server.
    pub slowness: [f64; SERVERS],
    /// A server that responds with errors, and the time range in microseconds.
    pub failing: Option<(usize, std::ops::Range<u64>)>,
    pub length_us: u64,
}

/// The measured results of a simulation.
#[derive(Debug, Default)]
pub struct ScenarioResult {
    pub requests: usize,
    pub not_served: usize,
    /// Requests served after their latency target.
    pub late: usize,
    /// Sum of the response times of all served requests, in microseconds.
    pub total_us: u64,
    pub served: usize,
    /// Dispatches to a server of another zone.
    pub cross_zone: usize,
    /// Dispatches to the failing server during its fault.
    pub failed_dispatches: usize,
    /// Dispatches to the failing server after it has recovered.
    pub dispatches_after_fault: usize,
}

impl ScenarioResult {
    pub fn mean_ms(&self) -> f64 {
        self.total_us as f64 / self.served.max(1) as f64 / US_PER_MS as f64
    }
}

#[derive(Debug, Clone)]
struct Request {
    gateway: usize,
    kind: usize,
    work_ms: f64,
    started_at: u64,
    tried: Vec<usize>,
    key: u64,
}

/// An event of the simulation. Requests, servers and gateways are given by number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum SimEvent {
    /// A gateway dispatches a request.
    Dispatch(usize),
    /// A request arrives at a server.
    Arrive { request: usize, server: usize },
    /// A server has completed a request.
    Done { request: usize, server: usize },
    /// A gateway sends its load report to the others.
    SendReport(usize),
}

struct Fleet {
    scenario: Scenario,
    policy: Policy,
    servers: Vec<Server>,
    running: Vec<usize>,
    waiting: Vec<VecDeque<usize>>,
    balancers: Vec<Balancer>,
    own_in_flight: Vec<[u32; SERVERS]>,
    requests: Vec<Request>,
    queue: BinaryHeap<Reverse<(u64, u64, SimEvent)>>,
    order: u64,
    random: fastrand::Rng,
    result: ScenarioResult,
    digest: Digest,
}

/// Simulates a scenario with the given policy.
pub fn simulate(scenario: &Scenario, policy: Policy) -> ScenarioResult {
    simulate_fleet(scenario, policy).result
}

fn simulate_fleet(scenario: &Scenario, policy: Policy) -> Fleet {
    let servers: Vec<Server> = (0..SERVERS)
        .map(|number| plain_server(number, ZONES[number % 3]))
        .collect();
    let balancers = (0..GATEWAYS)
        .map(|gateway| balancer(&servers, gateway, scenario.seed))
        .collect();
    let mut fleet = Fleet {
        random: fastrand::Rng::with_seed(scenario.seed),
        scenario: scenario.clone(),
        policy,
        servers,
        running: vec![0; SERVERS],
        waiting: vec![VecDeque::new(); SERVERS],
        balancers,
        own_in_flight: vec![[0; SERVERS]; GATEWAYS],
        requests: vec![],
        queue: BinaryHeap::new(),
        order: 0,
        result: ScenarioResult::default(),
        digest: Digest::new(),
    };
    fleet.schedule_requests();
    while let Some(Reverse((now, _, event))) = fleet.queue.pop() {
        fleet.handle(now, event);
    }
    fleet
}

fn balancer(servers: &[Server], gateway: usize, seed: u64) -> Balancer {
    let mut balancer = Balancer::new(ZONES[gateway % 3].into(), seed * 100 + gateway as u64);
    balancer.set_servers(servers.to_vec(), 0);
    balancer
}

impl Fleet {
    /// Schedules all requests, which are the same for every policy, and the load reports.
    fn schedule_requests(&mut self) {
        let mut random = fastrand::Rng::with_seed(self.scenario.seed * 7 + 1);
        let mut now = 0;
        while now < self.scenario.length_us {
            let gap = -random.f64().max(1e-12).ln() * 1_000_000.0 / self.scenario.requests_per_s;
            now += gap as u64;
            let kind = random.usize(..REQUEST_KINDS.len());
            let work_ms = REQUEST_KINDS[kind].0 * (0.5 + random.f64());
            let gateway = random.usize(..GATEWAYS);
            self.requests.push(Request {
                gateway,
                kind,
                work_ms,
                started_at: now,
                tried: vec![],
                key: 0,
            });
            self.schedule(now, SimEvent::Dispatch(self.requests.len() - 1));
        }
        for gateway in 0..GATEWAYS {
            self.schedule(
                gateway as u64 * REPORT_INTERVAL_US / GATEWAYS as u64,
                SimEvent::SendReport(gateway),
            );
        }
    }

    fn schedule(&mut self, time: u64, event: SimEvent) {
        self.order += 1;
        self.queue.push(Reverse((time, self.order, event)));
    }

    fn handle(&mut self, now: u64, event: SimEvent) {
        match event {
            SimEvent::Dispatch(request) => self.dispatch(request, now),
            SimEvent::Arrive { request, server } => self.arrive(request, server, now),
            SimEvent::Done { request, server } => self.done(request, server, now),
            SimEvent::SendReport(gateway) => self.send_report(gateway, now),
        }
    }

    fn dispatch(&mut self, number: usize, now: u64) {
        if self.requests[number].tried.is_empty() {
            self.result.requests += 1;
        }
        if self.requests[number].tried.len() >= MAX_ATTEMPTS {
            self.result.not_served += 1;
            return;
        }
        let Some(server) = self.choose(number, now) else {
            self.result.not_served += 1;
            return;
        };
        let request = &mut self.requests[number];
        request.tried.push(server);
        if server % 3 != request.gateway % 3 {
            self.result.cross_zone += 1;
        }
        self.own_in_flight[request.gateway][server] += 1;
        let arrival = SimEvent::Arrive {
            request: number,
            server,
        };
        self.schedule(now + NETWORK_DELAY_US, arrival);
    }

    fn choose(&mut self, number: usize, now: u64) -> Option<usize> {
        let request = self.requests[number].clone();
        let remaining: Vec<usize> = (0..SERVERS)
            .filter(|server| !request.tried.contains(server))
            .collect();
        let start = self.random.usize(..remaining.len());
        match self.policy {
            Policy::Random => Some(remaining[start]),
            Policy::LeastOwnRequests => {
                let rotated = remaining
                    .iter()
                    .cycle()
                    .skip(start)
                    .take(remaining.len())
                    .copied();
                rotated.min_by_key(|server| self.own_in_flight[request.gateway][*server])
            }
            Policy::Balanced => self.choose_balanced(number, &request, now),
        }
    }

    fn choose_balanced(&mut self, number: usize, request: &Request, now: u64) -> Option<usize> {
        let tried: Vec<_> = request
            .tried
            .iter()
            .map(|server| self.servers[*server].id.clone())
            .collect();
        let mut routing_request = plain_request();
        routing_request.tried = &tried;
        routing_request.target_ms = REQUEST_KINDS[request.kind].1;
        self.digest.hash_number(now);
        match self.balancers[request.gateway].choose(&routing_request, now / US_PER_MS) {
            Choice::Send(ticket) => {
                self.digest.hash_text(&ticket.server.id);
                self.digest.hash_number(ticket.key);
                self.requests[number].key = ticket.key;
                self.servers
                    .iter()
                    .position(|server| server.id == ticket.server.id)
            }
            Choice::Reject { retry_after_ms } => {
                self.digest.hash_number(retry_after_ms);
                None
            }
            Choice::NoServer => None,
        }
    }

    fn arrive(&mut self, number: usize, server: usize, now: u64) {
        if self.is_failing(server, now) {
            self.result.failed_dispatches += 1;
            self.end(number, server, Outcome::Failed, now);
            self.schedule(now + RETRY_DELAY_US, SimEvent::Dispatch(number));
            return;
        }
        if self
            .scenario
            .failing
            .as_ref()
            .is_some_and(|(failing, when)| *failing == server && now >= when.end)
        {
            self.result.dispatches_after_fault += 1;
        }
        if self.running[server] < SLOTS_PER_SERVER {
            self.start(number, server, now);
        } else if self.waiting[server].len() < QUEUE_PER_SERVER {
            self.waiting[server].push_back(number);
        } else {
            self.end(number, server, Outcome::Rejected, now);
            self.schedule(now + RETRY_DELAY_US, SimEvent::Dispatch(number));
        }
    }

    fn is_failing(&self, server: usize, now: u64) -> bool {
        self.scenario
            .failing
            .as_ref()
            .is_some_and(|(failing, when)| *failing == server && when.contains(&now))
    }

    fn start(&mut self, number: usize, server: usize, now: u64) {
        self.running[server] += 1;
        let is_nearly_full =
            self.running[server] as f64 >= NEARLY_FULL_RATIO * SLOTS_PER_SERVER as f64;
        let slowdown = self.scenario.slowness[server]
            * if is_nearly_full {
                NEARLY_FULL_SLOWDOWN
            } else {
                1.0
            };
        let took_us = (self.requests[number].work_ms * slowdown * US_PER_MS as f64) as u64;
        let completion = SimEvent::Done {
            request: number,
            server,
        };
        self.schedule(now + took_us, completion);
    }

    fn done(&mut self, number: usize, server: usize, now: u64) {
        self.running[server] -= 1;
        if let Some(next) = self.waiting[server].pop_front() {
            self.start(next, server, now);
        }
        self.end(
            number,
            server,
            Outcome::Served { tokens_out: 0 },
            now + NETWORK_DELAY_US,
        );
        let request = &self.requests[number];
        let took_us = now + NETWORK_DELAY_US - request.started_at;
        self.result.served += 1;
        self.result.total_us += took_us;
        if took_us > REQUEST_KINDS[request.kind].1 * US_PER_MS {
            self.result.late += 1;
        }
    }

    fn end(&mut self, number: usize, server: usize, outcome: Outcome, now: u64) {
        let (gateway, key) = (self.requests[number].gateway, self.requests[number].key);
        self.own_in_flight[gateway][server] -= 1;
        if self.policy == Policy::Balanced {
            if matches!(outcome, Outcome::Served { .. }) {
                self.balancers[gateway].record_first_event(key, now / US_PER_MS);
            }
            self.balancers[gateway].record_outcome(key, outcome, now / US_PER_MS);
        }
    }

    fn send_report(&mut self, gateway: usize, now: u64) {
        if self.policy != Policy::Balanced {
            return;
        }
        let reports: Vec<LoadReport> = self.balancers[gateway].load_reports();
        self.digest.hash_number(now);
        self.digest.hash_reports(&reports);
        for faulty in self.balancers[gateway].ejected_for_faults(now / US_PER_MS) {
            self.digest.hash_text(&faulty);
        }
        let name = format!("gateway-{gateway}");
        for (other, balancer) in self.balancers.iter_mut().enumerate() {
            if other != gateway {
                balancer.apply_peer_load(&reports, &name, now / US_PER_MS);
            }
        }
        if now < self.scenario.length_us {
            self.schedule(now + REPORT_INTERVAL_US, SimEvent::SendReport(gateway));
        }
    }
}

/// A digest of the choices, their times, the load reports, the ejected servers and the final counts of a simulation
/// with [`Policy::Balanced`].
pub fn digest(scenario: &Scenario) -> u64 {
    let Fleet {
        mut digest, result, ..
    } = simulate_fleet(scenario, Policy::Balanced);
    let counts = [
        result.not_served,
        result.late,
        result.served,
        result.cross_zone,
        result.failed_dispatches,
    ];
    for count in counts {
        digest.hash_number(count as u64);
    }
    digest.hash_number(result.total_us);
    digest.value()
}
