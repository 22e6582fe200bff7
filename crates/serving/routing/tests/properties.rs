//! Invariants of the balancer after random sequences of calls.

mod common;

use std::collections::{BTreeSet, HashMap};

use common::digest::{assert_digests, Digest};
use common::{engine_request, engine_server, plain_request, plain_server};
use dunespur_routing::{Balancer, Choice, LoadReport, Outcome, PromptSegment, Server, ServerId};
use quickcheck::{Gen, QuickCheck, TestResult};

/// Seed of the generated call sequences.
const SEED: u64 = 20_261_202;
const CALL_SEQUENCES: u64 = 200;
const MAX_CALLS: usize = 400;
const ZONES: [&str; 3] = ["a", "b", "c"];
const OUTCOMES: [Outcome; 7] = [
    Outcome::Served { tokens_out: 20 },
    Outcome::Failed,
    Outcome::TimedOut,
    Outcome::Rejected,
    Outcome::Misdirected,
    Outcome::Unreachable,
    Outcome::Cancelled,
];

/// A balancer, with a reference model of its servers and requests in flight.
struct CheckedBalancer {
    balancer: Balancer,
    random: fastrand::Rng,
    servers: Vec<Server>,
    /// Listed servers that answered with a misdirected request.
    replaced: BTreeSet<ServerId>,
    /// The server of each attempt in flight, by ticket key.
    in_flight: HashMap<u64, ServerId>,
    /// All ticket keys issued so far.
    keys: BTreeSet<u64>,
    now: u64,
    digest: Digest,
}

impl CheckedBalancer {
    fn new(seed: u64) -> Self {
        let mut checked = Self {
            balancer: Balancer::new("a".into(), seed),
            random: fastrand::Rng::with_seed(seed),
            servers: vec![],
            replaced: BTreeSet::new(),
            in_flight: HashMap::new(),
            keys: BTreeSet::new(),
            now: 0,
            digest: Digest::new(),
        };
        checked.update_servers();
        checked
    }

    fn call(&mut self, call: u8) -> Result<(), String> {
        self.now += self.random.u64(..200);
        match call % 16 {
            0 => self.update_servers(),
            1 => self.apply_random_report(),
            2..=5 => return self.choose_plain(),
            6..=9 => return self.choose_engine(),
            10 | 11 => self.record_first_event(),
            _ => self.end_attempt(),
        }
        Ok(())
    }

    fn update_servers(&mut self) {
        let mut servers = vec![];
        for number in 0..6 {
            for mut server in [
                plain_server(number, ZONES[number % 3]),
                engine_server(number, ZONES[number % 3]),
            ] {
                server.draining = self.random.u8(..6) == 0;
                if self.random.u8(..6) > 0 {
                    servers.push(server);
                }
            }
        }
        let listed: BTreeSet<ServerId> = servers.iter().map(|server| server.id.clone()).collect();
        self.replaced.retain(|id| listed.contains(id));
        self.in_flight.retain(|_, id| listed.contains(id));
        self.balancer.set_servers(servers.clone(), self.now);
        self.servers = servers;
    }

    /// Passes a random load report of another gateway to the balancer.
    fn apply_random_report(&mut self) {
        let mut reports = vec![];
        for server in &self.servers {
            let (in_flight, prefill_tokens) = (self.random.u32(..40), self.random.u64(..50_000));
            reports.push(LoadReport {
                server: server.id.clone(),
                in_flight,
                prefill_tokens,
            });
        }
        let from = format!("gateway-{}", self.random.u8(..4));
        self.balancer.apply_peer_load(&reports, &from, self.now);
    }

    /// Up to two random servers, to be excluded as tried.
    fn random_tried(&mut self) -> Vec<ServerId> {
        let mut tried: Vec<ServerId> = self
            .servers
            .iter()
            .map(|server| server.id.clone())
            .collect();
        let tried_count = self.random.usize(..3);
        self.random.shuffle(&mut tried);
        tried.truncate(tried_count);
        tried
    }

    fn choose_plain(&mut self) -> Result<(), String> {
        let tried = self.random_tried();
        let mut request = plain_request();
        request.tried = &tried;
        let choice = self.balancer.choose(&request, self.now);
        self.check(choice, "plain", &tried)
    }

    fn choose_engine(&mut self) -> Result<(), String> {
        let tried = self.random_tried();
        let program = format!("program-{}", self.random.u8(..20));
        let prefix = [
            PromptSegment {
                id: self.random.u64(..5),
                tokens: 800,
            },
            PromptSegment {
                id: self.random.u64(100..),
                tokens: self.random.u32(..2_000),
            },
        ];
        let mut request = engine_request(&program, &prefix);
        request.tried = &tried;
        request.priority = self.random.u8(..);
        let choice = self.balancer.choose(&request, self.now);
        self.check(choice, "engines", &tried)
    }

    fn check(&mut self, choice: Choice, backend: &str, tried: &[ServerId]) -> Result<(), String> {
        let is_eligible = |server: &&Server| {
            *server.backend == *backend
                && !server.draining
                && !tried.contains(&server.id)
                && !self.replaced.contains(&server.id)
                && self
                    .in_flight
                    .values()
                    .filter(|id| **id == server.id)
                    .count()
                    < server.max_conns as usize
        };
        let eligible: BTreeSet<ServerId> = self
            .servers
            .iter()
            .filter(is_eligible)
            .map(|server| server.id.clone())
            .collect();
        self.hash_choice(&choice);
        match choice {
            Choice::Send(ticket) => {
                if !eligible.contains(&ticket.server.id) {
                    return Err(format!(
                        "server {} was chosen but is not eligible",
                        ticket.server.id
                    ));
                }
                if !self.keys.insert(ticket.key) {
                    return Err(format!("ticket key {} was issued twice", ticket.key));
                }
                if ticket.engine_priority.is_some_and(|priority| priority > 9) {
                    return Err(format!(
                        "the engine priority is above 9: {:?}",
                        ticket.engine_priority
                    ));
                }
                if ticket.engine_priority.is_some() != ticket.server.engine.is_some() {
                    return Err(
                        "a priority must be set for engines and only for engines".to_string()
                    );
                }
                self.in_flight.insert(ticket.key, ticket.server.id.clone());
            }
            Choice::Reject { retry_after_ms: 0 } => {
                return Err("a rejection must have a retry time above 0".to_string());
            }
            Choice::Reject { .. } => {}
            Choice::NoServer if !eligible.is_empty() => {
                return Err(format!(
                    "no server was chosen, but {eligible:?} are eligible"
                ));
            }
            Choice::NoServer => {}
        }
        Ok(())
    }

    fn hash_choice(&mut self, choice: &Choice) {
        self.digest.hash_number(self.now);
        match choice {
            Choice::Send(ticket) => {
                self.digest.hash_text(&ticket.server.id);
                self.digest.hash_number(ticket.key);
                self.digest
                    .hash_number(ticket.engine_priority.map_or(u64::MAX, u64::from));
            }
            Choice::Reject { retry_after_ms } => self.digest.hash_number(*retry_after_ms),
            Choice::NoServer => self.digest.hash_text("none"),
        }
    }

    /// Passes a fault hint of another gateway to the balancer, or makes a server warm up and limits its connections.
    fn inject_hint_or_server_change(&mut self) {
        let number = self.random.usize(..self.servers.len().max(1));
        let Some(server) = self.servers.get_mut(number) else {
            return;
        };
        if self.random.bool() {
            let id = server.id.clone();
            self.balancer.hint_fault(&id, self.now);
            return;
        }
        server.warmup_left_ms = self.random.u64(..3_000);
        server.max_conns = self.random.u32(1..6);
        self.balancer.set_servers(self.servers.clone(), self.now);
    }

    fn any_key(&mut self) -> Option<u64> {
        let mut keys: Vec<u64> = self.in_flight.keys().copied().collect();
        keys.sort_unstable();
        self.random.choice(keys)
    }

    fn record_first_event(&mut self) {
        if let Some(key) = self.any_key() {
            self.balancer.record_first_event(key, self.now);
        }
    }

    /// Ends a random attempt with a random outcome.
    fn end_attempt(&mut self) {
        let Some(key) = self.any_key() else {
            return;
        };
        let outcome = OUTCOMES[self.random.usize(..OUTCOMES.len())];
        self.balancer.record_outcome(key, outcome, self.now);
        if let (Some(id), Outcome::Misdirected) = (self.in_flight.remove(&key), outcome) {
            self.replaced.insert(id);
        }
    }

    /// Checks that the reported load equals the reference model's requests in flight.
    fn check_reports(&self) -> Result<(), String> {
        let mut in_flight: HashMap<ServerId, u32> = HashMap::new();
        for id in self.in_flight.values() {
            *in_flight.entry(id.clone()).or_default() += 1;
        }
        let reports = self.balancer.load_reports();
        let reported: HashMap<ServerId, u32> = reports
            .into_iter()
            .map(|report| (report.server, report.in_flight))
            .collect();
        if in_flight == reported {
            return Ok(());
        }
        Err(format!("in flight {in_flight:?}, reported {reported:?}"))
    }
}

fn reports_and_choices_are_valid(seed: u64, calls: Vec<u8>) -> TestResult {
    let mut checked = CheckedBalancer::new(seed);
    for call in calls {
        if let Err(violation) = checked.call(call).and_then(|()| checked.check_reports()) {
            return TestResult::error(violation);
        }
    }
    TestResult::passed()
}

fn choices_are_deterministic(seed: u64, calls: Vec<u8>) -> bool {
    let (mut first, mut second) = (CheckedBalancer::new(seed), CheckedBalancer::new(seed));
    calls
        .into_iter()
        .all(|call| first.call(call) == second.call(call) && first.in_flight == second.in_flight)
}

/// Generates random sequences of calls from a fixed seed, so that every run has the same sequences.
fn call_sequences() -> QuickCheck {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(MAX_CALLS, SEED))
        .tests(CALL_SEQUENCES)
}

#[test]
fn after_any_sequence_of_calls_reports_and_choices_are_valid() {
    call_sequences().quickcheck(reports_and_choices_are_valid as fn(u64, Vec<u8>) -> TestResult);
}

#[test]
fn the_same_calls_give_the_same_choices() {
    call_sequences().quickcheck(choices_are_deterministic as fn(u64, Vec<u8>) -> bool);
}

/// Makes random calls, with fault hints, servers that warm up and few connections, and hashes the choices, reports and
/// ejections.
fn digest_of_calls(seed: u64) -> u64 {
    let mut checked = CheckedBalancer::new(seed);
    for _ in 0..600 {
        let call = checked.random.u8(..);
        if call >= 240 {
            checked.inject_hint_or_server_change();
            continue;
        }
        checked.call(call).expect("every choice must be valid");
        let faulty = checked.balancer.ejected_for_faults(checked.now);
        faulty.iter().for_each(|id| checked.digest.hash_text(id));
        let reports = checked.balancer.load_reports();
        checked.digest.hash_reports(&reports);
    }
    checked.digest.value()
}

/// Detects unintended changes of choices: each seed must have the digest in `fixtures/call_digests.txt`, which was
/// recorded with an earlier version of the code.
#[test]
fn calls_keep_their_digests() {
    assert_digests(digest_of_calls, include_str!("fixtures/call_digests.txt"));
}
