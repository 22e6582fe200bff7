//! What the tests share: short ways to build requests and to play a limiter against a counter.
#![allow(dead_code)]

pub mod digest;
pub mod world;

use dunespur_budget::{
    Admission, CounterChange, CounterReply, CounterRequest, Counters, LeaseBook, LimiterId,
    TurnOutcome,
};

pub const PROGRAM: &str = "program";

pub fn limiter(node: &str, incarnation: u64) -> LimiterId {
    LimiterId {
        node: node.to_owned(),
        incarnation,
    }
}

/// A request of one limiter to the counter of [`PROGRAM`].
pub fn request(
    limiter: &LimiterId,
    sequence: u64,
    budget: u64,
    change: CounterChange,
) -> CounterRequest {
    CounterRequest {
        program: PROGRAM.to_owned(),
        budget,
        limiter: limiter.clone(),
        sequence,
        used: 0,
        change,
        at_ms: 0,
    }
}

pub fn lease(needed: u64, wanted: u64) -> CounterChange {
    CounterChange::Lease {
        needed,
        wanted,
        returned: 0,
    }
}

pub fn granted(reply: &CounterReply) -> u64 {
    match reply {
        CounterReply::Granted { units, .. } => *units,
        other => panic!("no grant: {other:?}"),
    }
}

/// The request that a turn asks the counter with.
pub fn asked(admission: Admission) -> CounterRequest {
    match admission {
        Admission::Ask(request) => request,
        other => panic!("the counter is not asked: {other:?}"),
    }
}

/// Asks for a turn and, if the counter is needed, lets it answer until there is a verdict.
pub fn admit(
    book: &mut LeaseBook,
    counters: &mut Counters,
    most: u64,
    turn: u64,
    now: u64,
) -> Admission {
    admit_within(book, counters, BUDGET, most, turn, now)
}

pub const BUDGET: u64 = 1_000;

pub fn admit_within(
    book: &mut LeaseBook,
    counters: &mut Counters,
    budget: u64,
    most: u64,
    turn: u64,
    now: u64,
) -> Admission {
    let mut admission = book.admit(PROGRAM, budget, most, turn, now);
    while let Admission::Ask(request) = admission {
        let reply = counters.apply(&request, 0);
        let outcomes = book.replied(&request, Some(&reply), now);
        admission = verdict(outcomes, turn);
    }
    admission
}

/// The one verdict in `outcomes`, which is to be on this turn.
pub fn verdict(outcomes: Vec<TurnOutcome>, turn: u64) -> Admission {
    assert_eq!(outcomes.len(), 1, "one verdict: {outcomes:?}");
    let outcome = outcomes.into_iter().next().expect("one verdict");
    assert_eq!(outcome.turn, turn);
    outcome.admission
}

/// Lets the counter answer everything that is due at a limiter up to `now`.
pub fn settle(book: &mut LeaseBook, counters: &mut Counters, now: u64) {
    while book.next_due().is_some_and(|at| at <= now) {
        for request in book.due(now) {
            let reply = counters.apply(&request, 0);
            book.replied(&request, Some(&reply), now);
        }
    }
}

/// A limiter that keeps the counters' time going with reports about a program of its own.
pub struct Ticker {
    limiter: LimiterId,
    sequence: u64,
    at_ms: u64,
}

/// Time between a ticker's reports.
const TICK_MS: u64 = 5_000;

impl Ticker {
    pub fn new() -> Self {
        Self {
            limiter: limiter("ticker", 1),
            sequence: 0,
            at_ms: 0,
        }
    }

    /// Lets time pass at the counters, in short steps.
    pub fn pass(&mut self, counters: &mut Counters, ms: u64) {
        let until = self.at_ms + ms;
        while self.at_ms < until {
            self.at_ms = until.min(self.at_ms + TICK_MS);
            self.sequence += 1;
            let report = CounterRequest {
                program: "ticking".to_owned(),
                used: 1,
                at_ms: self.at_ms,
                ..request(
                    &self.limiter,
                    self.sequence,
                    BUDGET,
                    CounterChange::Return { units: 0 },
                )
            };
            counters.apply(&report, 0);
        }
    }
}
