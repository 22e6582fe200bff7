//! Test helpers: request builders, and functions that run a limiter against the counters.
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
        other => panic!("expected a grant, got {other:?}"),
    }
}

/// The request to the counter in an admission; panics on any other decision.
pub fn expect_request(admission: Admission) -> CounterRequest {
    match admission {
        Admission::Request(request) => request,
        other => panic!("expected a request to the counter, got {other:?}"),
    }
}

/// Admits a turn with the budget [`BUDGET`], applying requests to `counters` until there is a decision.
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

/// Admits a turn, applying requests to `counters` until there is a decision.
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

/// The only decision in `outcomes`, which must concern `turn`.
pub fn decision(outcomes: Vec<TurnOutcome>, turn: u64) -> Admission {
    assert_eq!(outcomes.len(), 1, "expected one decision, got {outcomes:?}");
    let outcome = outcomes.into_iter().next().expect("one decision");
    assert_eq!(outcome.turn, turn);
    outcome.admission
}

/// Runs all steps of a limiter that are due by `now` and applies their requests to `counters`.
pub fn run_due_steps(table: &mut LeaseTable, counters: &mut Counters, now: u64) {
    while table.next_timeout().is_some_and(|at| at <= now) {
        for request in table.handle_timeout(now) {
            let reply = counters.apply(&request, 0);
            table.handle_reply(&request, Some(&reply), now);
        }
    }
}

/// A limiter that advances the counters' logical clock with reports for a separate program.
pub struct ClockDriver {
    limiter: LimiterId,
    sequence: u64,
    at_ms: u64,
}

/// Interval between the reports of [`ClockDriver`].
const REPORT_INTERVAL_MS: u64 = 5_000;

impl ClockDriver {
    pub fn new() -> Self {
        Self {
            limiter: limiter("clock-driver", 1),
            sequence: 0,
            at_ms: 0,
        }
    }

    /// Advances the counters' logical clock by `ms`, in steps of at most [`REPORT_INTERVAL_MS`].
    pub fn advance(&mut self, counters: &mut Counters, ms: u64) {
        let until = self.at_ms + ms;
        while self.at_ms < until {
            self.at_ms = until.min(self.at_ms + REPORT_INTERVAL_MS);
            self.sequence += 1;
            let report = CounterRequest {
                program: "clock-driver-program".to_owned(),
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
