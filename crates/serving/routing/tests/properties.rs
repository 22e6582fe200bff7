//! What holds after any row of calls.

mod common;

use std::collections::{BTreeSet, HashMap};

use common::{engine_ask, engine_server, plain_ask, plain_server};
use dunespur_routing::{Choice, Chooser, LoadReport, Outcome, Part, Server, ServerId};
use quickcheck::{Gen, QuickCheck, TestResult};

const SEED: u64 = 20_261_202;
const ROWS: u64 = 200;
const LONGEST_ROW: usize = 400;
const ZONES: [&str; 3] = ["a", "b", "c"];
const OUTCOMES: [Outcome; 7] = [
    Outcome::Served { tokens_out: 20 },
    Outcome::Failed,
    Outcome::Silent,
    Outcome::Shed,
    Outcome::Moved,
    Outcome::Unreachable,
    Outcome::Abandoned,
];

/// The chooser beside a plain record of what was sent.
struct Record {
    chooser: Chooser,
    random: fastrand::Rng,
    servers: Vec<Server>,
    gone: BTreeSet<ServerId>,
    open: HashMap<u64, ServerId>,
    keys: BTreeSet<u64>,
    now: u64,
}

impl Record {
    fn new(seed: u64) -> Self {
        let mut record = Self {
            chooser: Chooser::new("a".into(), seed),
            random: fastrand::Rng::with_seed(seed),
            servers: vec![],
            gone: BTreeSet::new(),
            open: HashMap::new(),
            keys: BTreeSet::new(),
            now: 0,
        };
        record.list();
        record
    }

    fn call(&mut self, call: u8) -> Result<(), String> {
        self.now += self.random.u64(..200);
        match call % 16 {
            0 => self.list(),
            1 => self.report(),
            2..=5 => return self.choose_plain(),
            6..=9 => return self.choose_engine(),
            10 | 11 => self.first_event(),
            _ => self.finish(),
        }
        Ok(())
    }

    fn list(&mut self) {
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
        self.gone.retain(|id| listed.contains(id));
        self.open.retain(|_, id| listed.contains(id));
        self.chooser.set_servers(servers.clone(), self.now);
        self.servers = servers;
    }

    fn report(&mut self) {
        let mut reports = vec![];
        for server in &self.servers {
            let (in_flight, waiting_tokens) = (self.random.u32(..40), self.random.u64(..50_000));
            reports.push(LoadReport {
                server: server.id.clone(),
                in_flight,
                waiting_tokens,
            });
        }
        let from = format!("gateway-{}", self.random.u8(..4));
        self.chooser.other_load(&reports, &from, self.now);
    }

    fn tried(&mut self) -> Vec<ServerId> {
        let mut tried: Vec<ServerId> = self
            .servers
            .iter()
            .map(|server| server.id.clone())
            .collect();
        let keep = self.random.usize(..3);
        self.random.shuffle(&mut tried);
        tried.truncate(keep);
        tried
    }

    fn choose_plain(&mut self) -> Result<(), String> {
        let tried = self.tried();
        let mut ask = plain_ask();
        ask.tried = &tried;
        let choice = self.chooser.choose(&ask, self.now);
        self.check(choice, "plain", &tried)
    }

    fn choose_engine(&mut self) -> Result<(), String> {
        let tried = self.tried();
        let program = format!("program-{}", self.random.u8(..20));
        let prefix = [
            Part {
                id: self.random.u64(..5),
                tokens: 800,
            },
            Part {
                id: self.random.u64(100..),
                tokens: self.random.u32(..2_000),
            },
        ];
        let mut ask = engine_ask(&program, &prefix);
        ask.tried = &tried;
        ask.priority = self.random.u8(..);
        let choice = self.chooser.choose(&ask, self.now);
        self.check(choice, "engines", &tried)
    }

    fn check(&mut self, choice: Choice, backend: &str, tried: &[ServerId]) -> Result<(), String> {
        let may_take = |server: &&Server| {
            *server.backend == *backend
                && !server.draining
                && !tried.contains(&server.id)
                && !self.gone.contains(&server.id)
        };
        let allowed: BTreeSet<ServerId> = self
            .servers
            .iter()
            .filter(may_take)
            .map(|server| server.id.clone())
            .collect();
        match choice {
            Choice::Send(ticket) => {
                if !allowed.contains(&ticket.server.id) {
                    return Err(format!("{} must not be chosen", ticket.server.id));
                }
                if !self.keys.insert(ticket.key) {
                    return Err(format!("key {} is given twice", ticket.key));
                }
                if ticket.engine_priority.is_some_and(|priority| priority > 9) {
                    return Err(format!("no such priority: {:?}", ticket.engine_priority));
                }
                if ticket.engine_priority.is_some() != ticket.server.engine.is_some() {
                    return Err("only engines have priorities".to_string());
                }
                self.open.insert(ticket.key, ticket.server.id.clone());
            }
            Choice::Refuse { retry_after_ms: 0 } => {
                return Err("a refusal names a time".to_string());
            }
            Choice::Refuse { .. } => {}
            Choice::NoServer if !allowed.is_empty() => {
                return Err(format!("{allowed:?} were left"));
            }
            Choice::NoServer => {}
        }
        Ok(())
    }

    fn any_key(&mut self) -> Option<u64> {
        let mut keys: Vec<u64> = self.open.keys().copied().collect();
        keys.sort_unstable();
        self.random.choice(keys)
    }

    fn first_event(&mut self) {
        if let Some(key) = self.any_key() {
            self.chooser.first_event(key, self.now);
        }
    }

    fn finish(&mut self) {
        let Some(key) = self.any_key() else {
            return;
        };
        let outcome = OUTCOMES[self.random.usize(..OUTCOMES.len())];
        self.chooser.finished(key, outcome, self.now);
        if let (Some(id), Outcome::Moved) = (self.open.remove(&key), outcome) {
            self.gone.insert(id);
        }
    }

    /// What is reported is what is open.
    fn check_reports(&self) -> Result<(), String> {
        let mut open: HashMap<ServerId, u32> = HashMap::new();
        for id in self.open.values() {
            *open.entry(id.clone()).or_default() += 1;
        }
        let reports = self.chooser.load_reports();
        let reported: HashMap<ServerId, u32> = reports
            .into_iter()
            .map(|report| (report.server, report.in_flight))
            .collect();
        if open == reported {
            return Ok(());
        }
        Err(format!("open {open:?}, reported {reported:?}"))
    }
}

fn keeps_the_books_and_the_bounds(seed: u64, calls: Vec<u8>) -> TestResult {
    let mut record = Record::new(seed);
    for call in calls {
        if let Err(what) = record.call(call).and_then(|()| record.check_reports()) {
            return TestResult::error(what);
        }
    }
    TestResult::passed()
}

fn gives_the_same_choices_again(seed: u64, calls: Vec<u8>) -> bool {
    let (mut first, mut second) = (Record::new(seed), Record::new(seed));
    calls
        .into_iter()
        .all(|call| first.call(call) == second.call(call) && first.open == second.open)
}

/// Rows of calls from a fixed seed: the same ones in every run.
fn rows() -> QuickCheck {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(LONGEST_ROW, SEED))
        .tests(ROWS)
}

#[test]
fn any_row_of_calls_keeps_the_books_and_the_bounds() {
    rows().quickcheck(keeps_the_books_and_the_bounds as fn(u64, Vec<u8>) -> TestResult);
}

#[test]
fn the_same_calls_give_the_same_choices() {
    rows().quickcheck(gives_the_same_choices_again as fn(u64, Vec<u8>) -> bool);
}
