//! A seeded simulation of several limiters and one replicated counter. Messages are lost, duplicated and reordered, the
//! counter is unavailable at times, and limiters crash and restart. Each turn of a program uses a random limiter.
//!
//! The simulation keeps its own accounts of applied requests and received tokens, and checks the budget's guarantees
//! against them at every step.

use super::accounts::Accounts;
use super::digest::Digest;
use dunespur_budget::{
    Admission, CounterReply, CounterRequest, Counters, LeaseTable, LimiterId, Rejection,
    TurnOutcome,
};
use fastrand::Rng;
use std::collections::{BTreeMap, BTreeSet};

/// The parameters of a simulation.
#[derive(Clone, Debug)]
pub struct Plan {
    pub limiters: usize,
    pub programs: usize,
    /// Turns that each program starts, spread over `span_ms`.
    pub turns: usize,
    pub span_ms: u64,
    pub max_units: u64,
    pub budget: u64,
    /// Fraction of messages that are lost.
    pub lost: f64,
    /// Fraction of messages that arrive twice.
    pub duplicated: f64,
    /// Maximum delay of a message; different delays reorder messages.
    pub delay_ms: u64,
    /// Number of limiter crashes during the span.
    pub crashes: usize,
    /// Length of the counter's single outage, which begins in the middle of the span.
    pub outage_ms: u64,
    /// Maximum number of retries of a turn after temporary rejections.
    pub max_retries: u32,
}

/// The number of decisions and requests in a simulation.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Tally {
    pub admitted: u64,
    pub spent: u64,
    pub leased_elsewhere: u64,
    pub timed_out: u64,
    pub abandoned: u64,
    pub requests: u64,
}

#[derive(Clone, Debug)]
enum Event {
    Start(u64),
    Token(u64),
    Retry(u64),
    ToCounter(CounterRequest),
    ToLimiter(CounterRequest, CounterReply),
    Unanswered(CounterRequest),
    Crash(usize),
}

#[derive(Clone, Debug)]
struct Turn {
    program: String,
    limiter: usize,
    incarnation: u64,
    /// Tokens that this attempt has yet to generate.
    remaining: u64,
    /// Tokens after which the attempt fails; the turn is then retried once.
    fails_after: Option<u64>,
    retries_left: u32,
    waiting_since: Option<u64>,
}

pub struct Simulation {
    plan: Plan,
    rng: Rng,
    now: u64,
    counters: Counters,
    tables: Vec<LeaseTable>,
    incarnations: Vec<u64>,
    queue: BTreeMap<(u64, u64), Event>,
    queued: u64,
    turns: BTreeMap<u64, Turn>,
    accounts: Accounts,
    applied: BTreeSet<(LimiterId, u64)>,
    pub tally: Tally,
    digest: Digest,
}

/// Tolerance of the check that no turn waits longer than its timeout.
const TOLERANCE_MS: u64 = 50;
const NODES: [&str; 6] = ["a", "b", "c", "d", "e", "f"];

impl Simulation {
    pub fn new(plan: Plan, seed: u64) -> Self {
        let incarnations = vec![1; plan.limiters];
        let tables = (0..plan.limiters)
            .map(|index| LeaseTable::new(id(index, 1)))
            .collect();
        let mut simulation = Self {
            plan,
            rng: Rng::with_seed(seed),
            now: 0,
            counters: Counters::default(),
            tables,
            incarnations,
            queue: BTreeMap::new(),
            queued: 0,
            turns: BTreeMap::new(),
            accounts: Accounts::default(),
            applied: BTreeSet::new(),
            tally: Tally::default(),
            digest: Digest::default(),
        };
        simulation.schedule_turns();
        simulation
    }

    /// Runs until no event and no timer is left.
    pub fn run(&mut self) {
        loop {
            let event_at = self.queue.first_key_value().map(|((at, _), _)| *at);
            let due_at = self
                .tables
                .iter()
                .filter_map(LeaseTable::next_timeout)
                .min();
            let Some(at) = event_at.into_iter().chain(due_at).min() else {
                break;
            };
            assert!(at < 10_000_000, "the simulation still runs at {at} ms");
            self.now = self.now.max(at);
            if event_at.is_some_and(|event_at| event_at <= due_at.unwrap_or(u64::MAX)) {
                let (_, event) = self.queue.pop_first().expect("the queue has an event");
                self.handle_event(event);
            } else {
                self.run_due_steps();
            }
        }
        assert!(self.turns.is_empty(), "turns did not end: {:?}", self.turns);
        assert!(
            self.tables.iter().all(|table| table.programs() == 0),
            "a limiter did not remove its idle programs"
        );
    }

    pub fn programs(&self) -> Vec<String> {
        (0..self.plan.programs)
            .map(|program| format!("program-{program}"))
            .collect()
    }

    /// Units that clients received.
    pub fn received(&self, program: &str) -> u64 {
        self.accounts.received(program)
    }

    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// The digest of the simulation so far, including the counters' state and the tally.
    pub fn digest(&mut self) -> u64 {
        self.digest.hash_encoded(&self.counters);
        let Tally {
            admitted,
            spent,
            leased_elsewhere,
            timed_out,
            abandoned,
            requests,
        } = self.tally;
        self.digest.hash_encoded(&(
            admitted,
            spent,
            leased_elsewhere,
            timed_out,
            abandoned,
            requests,
            self.now,
        ));
        self.digest.finish()
    }

    /// Disables message faults from now on and runs one more turn of a program.
    pub fn run_fault_free_turn(&mut self, program: &str) {
        self.plan.lost = 0.0;
        self.plan.duplicated = 0.0;
        let turn = 1_000_000 + self.queued;
        let limiter = self.rng.usize(..self.plan.limiters);
        self.add_turn(turn, program.to_owned(), limiter, self.now);
        self.run();
    }

    fn schedule_turns(&mut self) {
        let programs = self.programs();
        for (index, program) in programs.iter().enumerate() {
            for turn in 0..self.plan.turns {
                let at = self.rng.u64(..self.plan.span_ms);
                let limiter = self.rng.usize(..self.plan.limiters);
                self.add_turn(
                    (index * self.plan.turns + turn) as u64,
                    program.clone(),
                    limiter,
                    at,
                );
            }
        }
        for _ in 0..self.plan.crashes {
            let at = self.rng.u64(..self.plan.span_ms);
            let limiter = self.rng.usize(..self.plan.limiters);
            self.schedule(at, Event::Crash(limiter));
        }
    }

    fn add_turn(&mut self, turn: u64, program: String, limiter: usize, at: u64) {
        let max_units = self.plan.max_units;
        let fails = self.rng.f64() < 0.2;
        let entry = Turn {
            program,
            limiter,
            incarnation: 0,
            remaining: self.rng.u64(0..=max_units),
            fails_after: fails.then(|| self.rng.u64(..max_units)),
            retries_left: self.plan.max_retries,
            waiting_since: None,
        };
        self.turns.insert(turn, entry);
        self.schedule(at, Event::Start(turn));
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.queued += 1;
        self.queue.insert((at, self.queued), event);
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Start(turn) | Event::Retry(turn) => self.start_attempt(turn),
            Event::Token(turn) => self.generate_token(turn),
            Event::ToCounter(request) => self.deliver_to_counter(request),
            Event::ToLimiter(request, reply) => self.deliver_to_limiter(&request, Some(&reply)),
            Event::Unanswered(request) => self.deliver_to_limiter(&request, None),
            Event::Crash(limiter) => self.crash(limiter),
        }
    }

    fn start_attempt(&mut self, key: u64) {
        let Some(turn) = self.turns.get_mut(&key) else {
            return;
        };
        turn.incarnation = self.incarnations[turn.limiter];
        let (limiter, program) = (turn.limiter, turn.program.clone());
        let (budget, max_units) = (self.plan.budget, self.plan.max_units);
        let admission = self.tables[limiter].admit(&program, budget, max_units, key, self.now);
        self.handle_outcome(
            limiter,
            TurnOutcome {
                turn: key,
                admission,
            },
        );
    }

    fn handle_outcome(&mut self, limiter: usize, outcome: TurnOutcome) {
        let key = outcome.turn;
        self.digest.hash_decision(self.now, limiter, &outcome);
        self.record_wait(key, &outcome.admission);
        match outcome.admission {
            Admission::Admitted => {
                self.tally.admitted += 1;
                self.schedule(self.now + 1, Event::Token(key));
            }
            Admission::Request(request) => self.send(request),
            Admission::Waiting => {}
            Admission::Rejected(rejection) => self.handle_rejection(limiter, key, rejection),
        }
    }

    fn record_wait(&mut self, key: u64, admission: &Admission) {
        let Some(turn) = self.turns.get_mut(&key) else {
            return;
        };
        let since = turn.waiting_since;
        match admission {
            Admission::Request(_) | Admission::Waiting => {
                turn.waiting_since = since.or(Some(self.now))
            }
            Admission::Admitted | Admission::Rejected(_) => {
                turn.waiting_since = None;
                self.check_wait(key, since);
            }
        }
    }

    fn handle_rejection(&mut self, limiter: usize, key: u64, rejection: Rejection) {
        let Some(turn) = self.turns.get_mut(&key) else {
            panic!("turn {key} was rejected after it ended")
        };
        let delay = match rejection {
            Rejection::Spent => {
                let turn = self.turns.remove(&key).expect("the turn is recorded");
                self.check_spent(&turn.program);
                self.tally.spent += 1;
                return;
            }
            Rejection::LeasedElsewhere { retry_after_ms } => {
                self.tally.leased_elsewhere += 1;
                retry_after_ms
            }
            Rejection::CounterTimeout => {
                self.tally.timed_out += 1;
                300
            }
            Rejection::AtCapacity => {
                panic!("limiter {limiter} rejected turn {key} for lack of capacity")
            }
        };
        if turn.retries_left == 0 {
            self.turns.remove(&key);
            self.tally.abandoned += 1;
            return;
        }
        turn.retries_left -= 1;
        turn.limiter = self.rng.usize(..self.plan.limiters);
        self.schedule(self.now + delay, Event::Retry(key));
    }

    fn generate_token(&mut self, key: u64) {
        let Some(turn) = self.turns.get_mut(&key) else {
            return;
        };
        let limiter = turn.limiter;
        if turn.incarnation != self.incarnations[limiter] {
            self.turns.remove(&key);
            return;
        }
        if turn.fails_after == Some(0) {
            turn.fails_after = None;
            turn.remaining = self.rng.u64(0..=self.plan.max_units);
            self.schedule(self.now, Event::Start(key));
            return;
        }
        if turn.remaining == 0 {
            self.turns.remove(&key);
            self.tables[limiter].finish(key, self.now);
            self.handle_outcomes(limiter);
            return;
        }
        turn.remaining -= 1;
        turn.fails_after = turn.fails_after.map(|left| left - 1);
        let program = turn.program.clone();
        self.accounts
            .record_use(&program, id(limiter, turn.incarnation));
        self.check_program(&program);
        self.tables[limiter].record_use(key, 1);
        let delay = self.rng.u64(1..20);
        self.schedule(self.now + delay, Event::Token(key));
    }

    fn run_due_steps(&mut self) {
        for limiter in 0..self.tables.len() {
            for request in self.tables[limiter].handle_timeout(self.now) {
                self.send(request);
            }
            self.handle_outcomes(limiter);
        }
    }

    fn handle_outcomes(&mut self, limiter: usize) {
        for outcome in self.tables[limiter].take_outcomes() {
            self.handle_outcome(limiter, outcome);
        }
    }

    fn send(&mut self, request: CounterRequest) {
        self.tally.requests += 1;
        self.digest.hash_encoded(&(self.now, &request));
        self.transmit(Event::ToCounter(request));
    }

    /// Sends a message, which may be lost or duplicated. The sender of a lost request may be notified of the loss.
    fn transmit(&mut self, event: Event) {
        let deliveries = if self.rng.f64() < self.plan.duplicated {
            2
        } else {
            1
        };
        for _ in 0..deliveries {
            let at = self.now + 1 + self.rng.u64(..self.plan.delay_ms);
            if self.rng.f64() >= self.plan.lost {
                self.schedule(at, event.clone());
            } else if let Event::ToCounter(request) = &event {
                if self.rng.bool() {
                    self.schedule(at, Event::Unanswered(request.clone()));
                }
            }
        }
    }

    fn deliver_to_counter(&mut self, request: CounterRequest) {
        let middle = self.plan.span_ms / 2;
        if (middle..middle + self.plan.outage_ms).contains(&self.now) {
            return;
        }
        let is_duplicate = self
            .applied
            .contains(&(request.limiter.clone(), request.sequence));
        let before = is_duplicate.then(|| self.counters.clone());
        let reply = self.counters.apply(&request, self.plan.limiters as u32);
        self.digest.hash_encoded(&(self.now, &request, &reply));
        if let Some(before) = before {
            assert_eq!(
                before, self.counters,
                "a duplicate request changed the counters"
            );
        } else {
            self.applied
                .insert((request.limiter.clone(), request.sequence));
            self.accounts.record_applied(&request, &reply);
            self.check_program(&request.program);
        }
        self.transmit(Event::ToLimiter(request, reply));
    }

    fn deliver_to_limiter(&mut self, request: &CounterRequest, reply: Option<&CounterReply>) {
        let limiter = NODES
            .iter()
            .position(|node| *node == request.limiter.node)
            .expect("the request comes from a known node");
        if request.limiter.incarnation != self.incarnations[limiter] {
            return;
        }
        for outcome in self.tables[limiter].handle_reply(request, reply, self.now) {
            self.handle_outcome(limiter, outcome);
        }
    }

    fn crash(&mut self, limiter: usize) {
        self.incarnations[limiter] += 1;
        self.tables[limiter] = LeaseTable::new(id(limiter, self.incarnations[limiter]));
        let dead = self
            .turns
            .iter()
            .filter(|(_, turn)| turn.limiter == limiter && turn.incarnation != 0);
        let dead: Vec<u64> = dead.map(|(key, _)| *key).collect();
        for key in dead {
            self.turns.remove(&key);
        }
    }

    /// Checks a program's accounts. Called after each change of granted or received units.
    fn check_program(&self, program: &str) {
        self.accounts.check(program, self.plan.budget, self.now);
    }

    /// Checks that a turn did not wait longer than its timeout. Called when the turn gets its decision.
    fn check_wait(&self, key: u64, since: Option<u64>) {
        let waited = since.map_or(0, |since| self.now - since);
        assert!(
            waited <= 1_000 + TOLERANCE_MS,
            "turn {key} waited for {waited} ms, longer than its timeout"
        );
    }

    /// Checks that a turn is rejected as spent only if it would not fit even after all current incarnations returned
    /// their unused units.
    fn check_spent(&self, program: &str) {
        let is_current = |limiter: &LimiterId| self.is_current(limiter);
        let left = self
            .accounts
            .left_after_return(program, self.plan.budget, is_current);
        assert!(
            left < self.plan.max_units,
            "{program}: rejected as spent at {} ms with {left} units left",
            self.now
        );
    }

    fn is_current(&self, limiter: &LimiterId) -> bool {
        (0..self.plan.limiters).any(|index| id(index, self.incarnations[index]) == *limiter)
    }
}

fn id(index: usize, incarnation: u64) -> LimiterId {
    LimiterId {
        node: NODES[index].to_owned(),
        incarnation,
    }
}
