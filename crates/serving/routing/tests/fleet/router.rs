//! Ways to choose an engine, ours and the plain ones that it is compared with.

use std::collections::HashMap;
use std::rc::Rc;

use dunespur_routing::{Ask, Choice, Chooser, LoadReport, Millis, Outcome, Server};

/// Where a request goes.
#[derive(Debug, Clone)]
pub struct Sent {
    pub server: Rc<str>,
    pub key: u64,
    pub priority: u8,
}

/// What a router says to a request.
#[derive(Debug, Clone)]
pub enum Answer {
    Sent(Sent),
    ComeBack(Millis),
}

/// The choice in one gateway.
pub trait Router {
    fn choose(&mut self, ask: &Ask, now: Millis) -> Answer;
    fn first_event(&mut self, key: u64, now: Millis);
    fn finished(&mut self, key: u64, outcome: Outcome, now: Millis);
    fn reports(&self) -> Vec<LoadReport>;
    fn other_load(&mut self, reports: &[LoadReport], from: &str, now: Millis);
}

/// How a router that is compared with ours chooses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rule {
    Random,
    LeastLoaded,
    PrefixOnly,
}

/// The crate's chooser.
pub struct Ours(pub Chooser);

impl Router for Ours {
    fn choose(&mut self, ask: &Ask, now: Millis) -> Answer {
        match self.0.choose(ask, now) {
            Choice::Send(ticket) => Answer::Sent(Sent {
                server: ticket.server.id.clone(),
                key: ticket.key,
                priority: ticket.engine_priority.unwrap_or(5),
            }),
            Choice::Refuse { retry_after_ms } => Answer::ComeBack(retry_after_ms),
            Choice::NoServer => Answer::ComeBack(100),
        }
    }

    fn first_event(&mut self, key: u64, now: Millis) {
        self.0.first_event(key, now);
    }

    fn finished(&mut self, key: u64, outcome: Outcome, now: Millis) {
        self.0.finished(key, outcome, now);
    }

    fn reports(&self) -> Vec<LoadReport> {
        self.0.load_reports()
    }

    fn other_load(&mut self, reports: &[LoadReport], from: &str, now: Millis) {
        self.0.other_load(reports, from, now);
    }
}

/// A router that goes by one thing only.
pub struct Simple {
    rule: Rule,
    servers: Vec<Rc<str>>,
    own: Vec<u32>,
    others: HashMap<String, Vec<u32>>,
    sends: HashMap<u64, usize>,
    last_key: u64,
    random: fastrand::Rng,
}

impl Simple {
    pub fn new(rule: Rule, servers: &[Server], seed: u64) -> Self {
        Self {
            rule,
            servers: servers.iter().map(|server| server.id.clone()).collect(),
            own: vec![0; servers.len()],
            others: HashMap::new(),
            sends: HashMap::new(),
            last_key: 0,
            random: fastrand::Rng::with_seed(seed),
        }
    }

    fn load(&self, index: usize) -> u32 {
        self.own[index] + self.others.values().map(|loads| loads[index]).sum::<u32>()
    }

    fn pick(&mut self, ask: &Ask) -> Option<usize> {
        let left: Vec<usize> = (0..self.servers.len())
            .filter(|index| !ask.tried.contains(&self.servers[*index]))
            .collect();
        let start = self.random.usize(..left.len().max(1));
        let rotated = left.iter().cycle().skip(start).take(left.len()).copied();
        match self.rule {
            Rule::Random => left.get(start).copied(),
            Rule::LeastLoaded => rotated.min_by_key(|index| self.load(*index)),
            Rule::PrefixOnly => {
                let subject = ask.prefix[ask.prefix.len().min(2) - 1].id;
                left.into_iter()
                    .max_by_key(|index| subject_weight(&self.servers[*index], subject))
            }
        }
    }
}

fn subject_weight(server: &str, subject: u64) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(server.as_bytes(), subject)
}

impl Router for Simple {
    fn choose(&mut self, ask: &Ask, _now: Millis) -> Answer {
        let Some(index) = self.pick(ask) else {
            return Answer::ComeBack(100);
        };
        self.own[index] += 1;
        self.last_key += 1;
        self.sends.insert(self.last_key, index);
        Answer::Sent(Sent {
            server: self.servers[index].clone(),
            key: self.last_key,
            priority: 5,
        })
    }

    fn first_event(&mut self, _key: u64, _now: Millis) {}

    fn finished(&mut self, key: u64, _outcome: Outcome, _now: Millis) {
        if let Some(index) = self.sends.remove(&key) {
            self.own[index] -= 1;
        }
    }

    fn reports(&self) -> Vec<LoadReport> {
        let loads = self.servers.iter().zip(&self.own);
        loads
            .map(|(server, in_flight)| LoadReport {
                server: server.clone(),
                in_flight: *in_flight,
                waiting_tokens: 0,
            })
            .collect()
    }

    fn other_load(&mut self, reports: &[LoadReport], from: &str, _now: Millis) {
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
        self.others.insert(from.to_string(), loads);
    }
}
