//! The counter side: what the replicas of the core apply, in the same order and with the same result.

mod clock;
mod program;

use crate::messages::MAX_PROGRAM_NAME_BYTES;
use crate::{CounterChange, CounterReply, CounterRequest, Millis};
use clock::LogicalClock;
use program::{LeaseRequest, Program};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::ops::Bound;

/// A program's counter is evicted this long after its last use, far beyond any pause within a program.
const EVICT_AFTER_MS: Millis = 600_000;
/// While more than half of the capacity is in use, this long after its last use is enough.
const EVICT_UNDER_PRESSURE_MS: Millis = 120_000;
/// The leases without units of an idle program are removed after this long.
const COMPACT_AFTER_MS: Millis = 30_000;
/// Maximum number of programs. New ones are rejected beyond that: bounds memory against a flood of names.
const MAX_PROGRAMS: usize = 65_536;
/// Programs checked for eviction with each request: more than one request can add.
const SWEPT_PER_REQUEST: usize = 2;

type Programs = BTreeMap<Box<str>, Program>;

/// The counters of all programs.
///
/// Deterministic: replicas that apply the same requests in the same order are equal.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Counters {
    programs: Programs,
    clock: LogicalClock,
    /// The name after which the next sweep continues.
    swept: Option<Box<str>>,
}

impl Counters {
    /// Applies a committed request. `limiters` is how many limiters the core knows, 0 where it can't tell; a program
    /// is never assumed to be served by more.
    ///
    /// Idempotent: a repeated request gets the same reply and changes nothing.
    pub fn apply(&mut self, request: &CounterRequest, limiters: u32) -> CounterReply {
        if let Some(reply) = self.prior_reply(request) {
            return reply;
        }
        let now = self.clock.observe(&request.limiter, request.at_ms);
        self.sweep(now);
        let Some(program) = program_for(&mut self.programs, request) else {
            return reply_without_program(&request.change);
        };
        let lease = program.renew(&request.limiter, request.used, now);
        let reply = match request.change {
            CounterChange::Return { units } => {
                program.return_units(lease, units);
                CounterReply::Returned
            }
            CounterChange::Lease {
                needed,
                wanted,
                returned,
            } => {
                program.return_units(lease, returned);
                let request = LeaseRequest {
                    lease,
                    budget: request.budget,
                    needed,
                    wanted,
                    limiters,
                    now,
                };
                program.grant(&request, &self.clock)
            }
        };
        program.record_reply(lease, request.sequence, &reply);
        reply
    }

    /// How many programs are counted.
    #[must_use]
    pub fn programs(&self) -> usize {
        self.programs.len()
    }

    /// Units of the program that were reported as used, 0 for a program that is not counted.
    #[must_use]
    pub fn used(&self, program: &str) -> u64 {
        self.programs.get(program).map_or(0, Program::used)
    }

    /// Units of the program on lease, those of dead limiters included, 0 for a program that is not counted.
    #[must_use]
    pub fn leased(&self, program: &str) -> u64 {
        self.programs.get(program).map_or(0, Program::leased)
    }

    /// The reply to a request that was applied already, or that is older than the limiter's last.
    fn prior_reply(&self, request: &CounterRequest) -> Option<CounterReply> {
        let program = self.programs.get(request.program.as_str())?;
        program.prior_reply(&request.limiter, request.sequence)
    }

    /// Evicts idle programs, a few with each request, so that no request pays for all.
    fn sweep(&mut self, now: Millis) {
        let under_pressure = self.programs.len() > MAX_PROGRAMS / 2;
        let evict_after = if under_pressure {
            EVICT_UNDER_PRESSURE_MS
        } else {
            EVICT_AFTER_MS
        };
        for _ in 0..SWEPT_PER_REQUEST {
            let from = self
                .swept
                .as_deref()
                .map_or(Bound::Unbounded, Bound::Excluded);
            let next = self
                .programs
                .range_mut::<str, _>((from, Bound::Unbounded))
                .next();
            let Some((name, program)) = next else {
                self.swept = None;
                return;
            };
            let name = name.clone();
            let idle = program.idle(now);
            if idle >= COMPACT_AFTER_MS {
                program.compact();
            }
            if idle >= evict_after {
                self.programs.remove(&name);
            }
            self.swept = Some(name);
        }
    }
}

/// The program's counter, created if the request needs one and there is capacity.
fn program_for<'a>(
    programs: &'a mut Programs,
    request: &CounterRequest,
) -> Option<&'a mut Program> {
    let name = request.program.as_str();
    let rejected = programs.len() >= MAX_PROGRAMS || name.len() > MAX_PROGRAM_NAME_BYTES;
    if !programs.contains_key(name) && (rejected || only_returns(request)) {
        return None;
    }
    Some(programs.entry(name.into()).or_default())
}

/// Whether the request has nothing to count at a counter that does not know the program.
fn only_returns(request: &CounterRequest) -> bool {
    matches!(request.change, CounterChange::Return { .. }) && request.used == 0
}

/// The reply where there is no counter of the program and none is created.
fn reply_without_program(change: &CounterChange) -> CounterReply {
    match change {
        CounterChange::Lease { .. } => CounterReply::LeasedElsewhere { leased: 0 },
        CounterChange::Return { .. } => CounterReply::Returned,
    }
}
