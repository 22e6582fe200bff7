//! Helpers of the tests: builders of requests, and a limiter run against a counter.
#![allow(dead_code)]

pub mod accounts;
pub mod digest;
pub mod world;

use dunespur_budget::{
    Admission, CounterChange, CounterReply, CounterRequest, Counters, LeaseTable, LimiterId,
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

/// The request with which a turn waits for the counter.
pub fn request_of(admission: Admission) -> CounterRequest {
    match admission {
        Admission::Request(request) => request,
        other => panic!("no request to the counter: {other:?}"),
    }
}

/// Admits a turn and, if the counter is needed, lets it answer until there is a decision.
pub fn admit(
    table: &mut LeaseTable,
    counters: &mut Counters,
    max_units: u64,
    turn: u64,
    now: u64,
) -> Admission {
    admit_within(table, counters, BUDGET, max_units, turn, now)
}

pub const BUDGET: u64 = 1_000;

pub fn admit_within(
    table: &mut LeaseTable,
    counters: &mut Counters,
    budget: u64,
    max_units: u64,
    turn: u64,
    now: u64,
) -> Admission {
    let mut admission = table.admit(PROGRAM, budget, max_units, turn, now);
    while let Admission::Request(request) = admission {
        let reply = counters.apply(&request, 0);
        let outcomes = table.handle_reply(&request, Some(&reply), now);
        admission = decision(outcomes, turn);
    }
    admission
}

/// The one decision in `outcomes`, which is to be on this turn.
pub fn decision(outcomes: Vec<TurnOutcome>, turn: u64) -> Admission {
    assert_eq!(outcomes.len(), 1, "one decision: {outcomes:?}");
    let outcome = outcomes.into_iter().next().expect("one decision");
    assert_eq!(outcome.turn, turn);
    outcome.admission
}

/// Lets the counter answer everything that is due at a limiter up to `now`.
pub fn answer_all_due(table: &mut LeaseTable, counters: &mut Counters, now: u64) {
    while table.next_timeout().is_some_and(|at| at <= now) {
        for request in table.handle_timeout(now) {
            let reply = counters.apply(&request, 0);
            table.handle_reply(&request, Some(&reply), now);
        }
    }
}

/// A limiter that advances the counters' time with reports about a program of its own.
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
