//! A seeded world of several limiters and one counter. Messages are lost, doubled and overtaken, the counter falls
//! silent at times, limiters die and start anew; programs take their turns through any of them.
//!
//! The world keeps books of its own, out of what it sees applied and what clients receive, and checks the
//! promises against them at every step.

use super::digest::Digest;
use dunespur_budget::{
    Admission, CounterChange, CounterReply, CounterRequest, Counters, LeaseBook, LimiterId,
    Refusal, TurnOutcome,
};
use fastrand::Rng;
use std::collections::{BTreeMap, BTreeSet};

/// What happens in a world.
#[derive(Clone, Debug)]
pub struct Plan {
    pub limiters: usize,
    pub programs: usize,
    /// Turns that each program starts, spread over `span_ms`.
    pub turns: usize,
    pub span_ms: u64,
    pub most: u64,
    pub budget: u64,
    /// Part of the messages that get lost, and that arrive twice.
    pub lost: f64,
    pub doubled: f64,
    /// Messages take up to this long, so they overtake each other.
    pub delay_ms: u64,
    /// Limiters that die during the span.
    pub deaths: usize,
    /// How long the counter is silent, once, in the middle of the span.
    pub outage_ms: u64,
    /// How often a turn that was put off asks again.
    pub asks_again: u32,
}

/// What came out of it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Tally {
    pub admitted: u64,
    pub spent: u64,
    pub elsewhere: u64,
    pub silent: u64,
    pub given_up: u64,
    pub requests: u64,
}

#[derive(Clone, Debug)]
enum Event {
    Start(u64),
    Token(u64),
    AskAgain(u64),
    ToCounter(CounterRequest),
    ToLimiter(CounterRequest, CounterReply),
    Unanswered(CounterRequest),
    Kill(usize),
}

#[derive(Clone, Debug)]
struct Turn {
    program: String,
    limiter: usize,
    incarnation: u64,
    /// Tokens that this try still makes.
    to_go: u64,
    /// Tokens after which the try breaks off and is begun anew, once.
    breaks_after: Option<u64>,
    asks_left: u32,
    waiting_since: Option<u64>,
}

/// What the counter has truly handed a limiter and had back, by the world's own count.
#[derive(Clone, Debug, Default)]
struct Ledger {
    granted: u64,
    returned: u64,
    used: u64,
}

impl Ledger {
    fn out(&self) -> u64 {
        self.granted - self.returned
    }
}

pub struct World {
    plan: Plan,
    rng: Rng,
    now: u64,
    counters: Counters,
    books: Vec<LeaseBook>,
    incarnations: Vec<u64>,
    queue: BTreeMap<(u64, u64), Event>,
    queued: u64,
    turns: BTreeMap<u64, Turn>,
    ledgers: BTreeMap<(String, LimiterId), Ledger>,
    applied: BTreeSet<(LimiterId, u64)>,
    pub tally: Tally,
    digest: Digest,
}

/// A counter that is silent for a turn's wait plus this has let the turn wait too long.
const SLACK_MS: u64 = 50;
const NODES: [&str; 6] = ["a", "b", "c", "d", "e", "f"];

impl World {
    pub fn new(plan: Plan, seed: u64) -> Self {
        let incarnations = vec![1; plan.limiters];
        let books = (0..plan.limiters)
            .map(|place| LeaseBook::new(id(place, 1)))
            .collect();
        let mut world = Self {
            plan,
            rng: Rng::with_seed(seed),
            now: 0,
            counters: Counters::default(),
            books,
            incarnations,
            queue: BTreeMap::new(),
            queued: 0,
            turns: BTreeMap::new(),
            ledgers: BTreeMap::new(),
            applied: BTreeSet::new(),
            tally: Tally::default(),
            digest: Digest::default(),
        };
        world.lay_out();
        world
    }

    /// Plays until nothing is left to happen but what rests forever.
    pub fn play(&mut self) {
        loop {
            let event_at = self.queue.first_key_value().map(|((at, _), _)| *at);
            let due_at = self.books.iter().filter_map(LeaseBook::next_due).min();
            let Some(at) = event_at.into_iter().chain(due_at).min() else {
                break;
            };
            assert!(at < 10_000_000, "the world comes to rest");
            self.now = self.now.max(at);
            if event_at.is_some_and(|event_at| event_at <= due_at.unwrap_or(u64::MAX)) {
                let (_, event) = self.queue.pop_first().expect("an event is there");
                self.happen(event);
            } else {
                self.all_due();
            }
        }
        assert!(
            self.turns.is_empty(),
            "every turn came to an end: {:?}",
            self.turns
        );
        assert!(
            self.books.iter().all(|book| book.programs() == 0),
            "idle programs are forgotten"
        );
    }

    pub fn programs(&self) -> Vec<String> {
        (0..self.plan.programs)
            .map(|program| format!("program-{program}"))
            .collect()
    }

    /// Units that clients received.
    pub fn received(&self, program: &str) -> u64 {
        self.of(program).map(|(_, ledger)| ledger.used).sum()
    }

    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// The digest of the world up to now, with the counters' state and the tally.
    pub fn digest(&mut self) -> u64 {
        self.digest.encoded(&self.counters);
        let Tally {
            admitted,
            spent,
            elsewhere,
            silent,
            given_up,
            requests,
        } = self.tally;
        self.digest.encoded(&(
            admitted, spent, elsewhere, silent, given_up, requests, self.now,
        ));
        self.digest.finish()
    }

    /// Starts one more turn of a program, with all messages arriving from now on.
    pub fn calm_turn(&mut self, program: &str) {
        self.plan.lost = 0.0;
        self.plan.doubled = 0.0;
        let turn = 1_000_000 + self.queued;
        let limiter = self.rng.usize(..self.plan.limiters);
        self.enter(turn, program.to_owned(), limiter, self.now);
        self.play();
    }

    fn lay_out(&mut self) {
        let programs = self.programs();
        for (place, program) in programs.iter().enumerate() {
            for turn in 0..self.plan.turns {
                let at = self.rng.u64(..self.plan.span_ms);
                let limiter = self.rng.usize(..self.plan.limiters);
                self.enter(
                    (place * self.plan.turns + turn) as u64,
                    program.clone(),
                    limiter,
                    at,
                );
            }
        }
        for _ in 0..self.plan.deaths {
            let at = self.rng.u64(..self.plan.span_ms);
            let limiter = self.rng.usize(..self.plan.limiters);
            self.put(at, Event::Kill(limiter));
        }
    }

    fn enter(&mut self, turn: u64, program: String, limiter: usize, at: u64) {
        let most = self.plan.most;
        let breaks = self.rng.f64() < 0.2;
        let entry = Turn {
            program,
            limiter,
            incarnation: 0,
            to_go: self.rng.u64(0..=most),
            breaks_after: breaks.then(|| self.rng.u64(..most)),
            asks_left: self.plan.asks_again,
            waiting_since: None,
        };
        self.turns.insert(turn, entry);
        self.put(at, Event::Start(turn));
    }

    fn put(&mut self, at: u64, event: Event) {
        self.queued += 1;
        self.queue.insert((at, self.queued), event);
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Start(turn) | Event::AskAgain(turn) => self.start(turn),
            Event::Token(turn) => self.token(turn),
            Event::ToCounter(request) => self.at_counter(request),
            Event::ToLimiter(request, reply) => self.at_limiter(&request, Some(&reply)),
            Event::Unanswered(request) => self.at_limiter(&request, None),
            Event::Kill(limiter) => self.kill(limiter),
        }
    }

    fn start(&mut self, key: u64) {
        let Some(turn) = self.turns.get_mut(&key) else {
            return;
        };
        turn.incarnation = self.incarnations[turn.limiter];
        let (limiter, program) = (turn.limiter, turn.program.clone());
        let (budget, most) = (self.plan.budget, self.plan.most);
        let admission = self.books[limiter].admit(&program, budget, most, key, self.now);
        self.judge(
            limiter,
            TurnOutcome {
                turn: key,
                admission,
            },
        );
    }

    fn judge(&mut self, limiter: usize, outcome: TurnOutcome) {
        let key = outcome.turn;
        self.digest.verdict(self.now, limiter, &outcome);
        self.note_wait(key, &outcome.admission);
        match outcome.admission {
            Admission::Admitted => {
                self.tally.admitted += 1;
                self.put(self.now + 1, Event::Token(key));
            }
            Admission::Ask(request) => self.send(request),
            Admission::Waiting => {}
            Admission::Refused(refusal) => self.refused(limiter, key, refusal),
        }
    }

    fn note_wait(&mut self, key: u64, admission: &Admission) {
        let Some(turn) = self.turns.get_mut(&key) else {
            return;
        };
        let since = turn.waiting_since;
        match admission {
            Admission::Ask(_) | Admission::Waiting => turn.waiting_since = since.or(Some(self.now)),
            Admission::Admitted | Admission::Refused(_) => {
                turn.waiting_since = None;
                self.check_wait(key, since);
            }
        }
    }

    fn refused(&mut self, limiter: usize, key: u64, refusal: Refusal) {
        let Some(turn) = self.turns.get_mut(&key) else {
            panic!("a turn that ended is refused")
        };
        let pause = match refusal {
            Refusal::Spent => {
                let turn = self.turns.remove(&key).expect("the turn is there");
                self.check_spent(&turn.program);
                self.tally.spent += 1;
                return;
            }
            Refusal::Elsewhere { retry_after_ms } => {
                self.tally.elsewhere += 1;
                retry_after_ms
            }
            Refusal::Silent => {
                self.tally.silent += 1;
                300
            }
            Refusal::Crowded => panic!("there is room at limiter {limiter}"),
        };
        if turn.asks_left == 0 {
            self.turns.remove(&key);
            self.tally.given_up += 1;
            return;
        }
        turn.asks_left -= 1;
        turn.limiter = self.rng.usize(..self.plan.limiters);
        self.put(self.now + pause, Event::AskAgain(key));
    }

    fn token(&mut self, key: u64) {
        let Some(turn) = self.turns.get_mut(&key) else {
            return;
        };
        let limiter = turn.limiter;
        if turn.incarnation != self.incarnations[limiter] {
            self.turns.remove(&key);
            return;
        }
        if turn.breaks_after == Some(0) {
            turn.breaks_after = None;
            turn.to_go = self.rng.u64(0..=self.plan.most);
            self.put(self.now, Event::Start(key));
            return;
        }
        if turn.to_go == 0 {
            self.turns.remove(&key);
            self.books[limiter].finish(key, self.now);
            self.hand_out(limiter);
            return;
        }
        turn.to_go -= 1;
        turn.breaks_after = turn.breaks_after.map(|left| left - 1);
        let program = turn.program.clone();
        let place = (program.clone(), id(limiter, turn.incarnation));
        self.ledgers.entry(place).or_default().used += 1;
        self.check_program(&program);
        self.books[limiter].used(key, 1);
        let pause = self.rng.u64(1..20);
        self.put(self.now + pause, Event::Token(key));
    }

    fn all_due(&mut self) {
        for limiter in 0..self.books.len() {
            for request in self.books[limiter].due(self.now) {
                self.send(request);
            }
            self.hand_out(limiter);
        }
    }

    fn hand_out(&mut self, limiter: usize) {
        for outcome in self.books[limiter].outcomes() {
            self.judge(limiter, outcome);
        }
    }

    fn send(&mut self, request: CounterRequest) {
        self.tally.requests += 1;
        self.digest.encoded(&(self.now, &request));
        self.carry(Event::ToCounter(request));
    }

    /// Carries a message: it may be lost, in which case its sender may be told, or arrive twice.
    fn carry(&mut self, event: Event) {
        let copies = if self.rng.f64() < self.plan.doubled {
            2
        } else {
            1
        };
        for _ in 0..copies {
            let at = self.now + 1 + self.rng.u64(..self.plan.delay_ms);
            if self.rng.f64() >= self.plan.lost {
                self.put(at, event.clone());
            } else if let Event::ToCounter(request) = &event {
                if self.rng.bool() {
                    self.put(at, Event::Unanswered(request.clone()));
                }
            }
        }
    }

    fn at_counter(&mut self, request: CounterRequest) {
        let middle = self.plan.span_ms / 2;
        if (middle..middle + self.plan.outage_ms).contains(&self.now) {
            return;
        }
        let again = self
            .applied
            .contains(&(request.limiter.clone(), request.sequence));
        let before = again.then(|| self.counters.clone());
        let reply = self.counters.apply(&request, self.plan.limiters as u32);
        self.digest.encoded(&(self.now, &request, &reply));
        if let Some(before) = before {
            assert_eq!(
                before, self.counters,
                "a request that comes again changes nothing"
            );
        } else {
            self.applied
                .insert((request.limiter.clone(), request.sequence));
            self.write_down(&request, &reply);
        }
        self.carry(Event::ToLimiter(request, reply));
    }

    fn write_down(&mut self, request: &CounterRequest, reply: &CounterReply) {
        let place = (request.program.clone(), request.limiter.clone());
        let ledger = self.ledgers.entry(place).or_default();
        ledger.returned += match request.change {
            CounterChange::Lease { returned, .. } => returned,
            CounterChange::Return { units } => units,
        };
        if let CounterReply::Granted { units, .. } = reply {
            ledger.granted += units;
        }
        self.check_program(&request.program);
    }

    fn at_limiter(&mut self, request: &CounterRequest, reply: Option<&CounterReply>) {
        let limiter = NODES
            .iter()
            .position(|node| *node == request.limiter.node)
            .expect("the node is known");
        if request.limiter.incarnation != self.incarnations[limiter] {
            return;
        }
        for outcome in self.books[limiter].replied(request, reply, self.now) {
            self.judge(limiter, outcome);
        }
    }

    fn kill(&mut self, limiter: usize) {
        self.incarnations[limiter] += 1;
        self.books[limiter] = LeaseBook::new(id(limiter, self.incarnations[limiter]));
        let dead = self
            .turns
            .iter()
            .filter(|(_, turn)| turn.limiter == limiter && turn.incarnation != 0);
        let dead: Vec<u64> = dead.map(|(key, _)| *key).collect();
        for key in dead {
            self.turns.remove(&key);
        }
    }

    fn of<'a>(&'a self, program: &'a str) -> impl Iterator<Item = (&'a LimiterId, &'a Ledger)> {
        self.ledgers
            .iter()
            .filter(move |((name, _), _)| name == program)
            .map(|((_, limiter), ledger)| (limiter, ledger))
    }

    /// To be called after each change of what was granted or received.
    fn check_program(&self, program: &str) {
        let out: u64 = self.of(program).map(|(_, ledger)| ledger.out()).sum();
        assert!(
            out <= self.plan.budget,
            "{program}: {out} granted at {}",
            self.now
        );
        let received = self.received(program);
        assert!(
            received <= self.plan.budget,
            "{program}: {received} received at {}",
            self.now
        );
        for (limiter, ledger) in self.of(program) {
            assert!(
                ledger.used <= ledger.out(),
                "{limiter:?} uses what it holds: {ledger:?}"
            );
        }
    }

    /// To be called when a turn gets its verdict.
    fn check_wait(&self, key: u64, since: Option<u64>) {
        let waited = since.map_or(0, |since| self.now - since);
        assert!(
            waited <= 1_000 + SLACK_MS,
            "turn {key} waited for {waited} ms"
        );
    }

    /// A turn is refused as spent only if it would not fit even with all that living limiters have not used.
    fn check_spent(&self, program: &str) {
        let out: u64 = self.of(program).map(|(_, ledger)| ledger.out()).sum();
        let living = self.of(program).filter(|(limiter, _)| self.lives(limiter));
        let unused: u64 = living.map(|(_, ledger)| ledger.out() - ledger.used).sum();
        let left = self.plan.budget - out + unused;
        assert!(
            left < self.plan.most,
            "{program}: {left} could still be used at {}",
            self.now
        );
    }

    fn lives(&self, limiter: &LimiterId) -> bool {
        (0..self.plan.limiters).any(|place| id(place, self.incarnations[place]) == *limiter)
    }
}

fn id(place: usize, incarnation: u64) -> LimiterId {
    LimiterId {
        node: NODES[place].to_owned(),
        incarnation,
    }
}
