//! The counter side: what the replicas of the core apply, in the same order and with the same outcome.

mod program;
mod senders;

use crate::messages::MAX_PROGRAM_NAME;
use crate::{CounterChange, CounterReply, CounterRequest, Millis};
use program::{Ask, Program};
use senders::Senders;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::ops::Bound;

/// A program's counter is forgotten this long after its last use, far beyond any pause within a program.
const FORGET_AFTER_MS: Millis = 600_000;
/// While more than half of the places are taken, this long after its last use is enough.
const FORGET_PRESSED_MS: Millis = 120_000;
/// An idle program's records of limiters that hold nothing are dropped after this long.
const COMPACT_AFTER_MS: Millis = 30_000;
/// Programs counted at once; new ones are put off beyond that, against a flood of names filling the memory.
const MAX_PROGRAMS: usize = 65_536;
/// Programs looked at for forgetting with each request: more than can be added by one.
const SWEPT_PER_REQUEST: usize = 2;

type Programs = BTreeMap<Box<str>, Program>;

/// The counters of all programs.
///
/// Deterministic: replicas that apply the same requests in the same order are equal.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Counters {
    programs: Programs,
    senders: Senders,
    /// The name after which the next sweep goes on.
    swept: Option<Box<str>>,
}

impl Counters {
    /// Applies a committed request. `limiters` is how many limiters the core knows, 0 where it can't tell; a
    /// program is never taken to be shared by more.
    ///
    /// The same request again gets the same reply and changes nothing.
    pub fn apply(&mut self, request: &CounterRequest, limiters: u32) -> CounterReply {
        if let Some(reply) = self.answered_before(request) {
            return reply;
        }
        let now = self.senders.hear(&request.limiter, request.at_ms);
        self.sweep(now);
        let Some(program) = program_for(&mut self.programs, request) else {
            return without_program(&request.change);
        };
        let holder = program.hear(&request.limiter, request.used, now);
        let reply = match request.change {
            CounterChange::Return { units } => {
                program.take_back(holder, units);
                CounterReply::Returned
            }
            CounterChange::Lease {
                needed,
                wanted,
                returned,
            } => {
                program.take_back(holder, returned);
                let ask = Ask {
                    holder,
                    budget: request.budget,
                    needed,
                    wanted,
                    limiters,
                    now,
                };
                program.lease(&ask, &self.senders)
            }
        };
        program.remember(holder, request.sequence, &reply);
        reply
    }

    /// How many programs are counted.
    pub fn programs(&self) -> usize {
        self.programs.len()
    }

    /// Units of the program that were reported as used, 0 for a program that is not counted.
    pub fn used(&self, program: &str) -> u64 {
        self.programs.get(program).map_or(0, Program::used)
    }

    /// Units of the program that limiters hold, dead ones included, 0 for a program that is not counted.
    pub fn held(&self, program: &str) -> u64 {
        self.programs.get(program).map_or(0, Program::held)
    }

    /// The reply to a request that was applied already, or that is older than the limiter's last.
    fn answered_before(&self, request: &CounterRequest) -> Option<CounterReply> {
        let program = self.programs.get(request.program.as_str())?;
        program.answered_before(&request.limiter, request.sequence)
    }

    /// Forgets idle programs, a few with each request, so that no request pays for all.
    fn sweep(&mut self, now: Millis) {
        let pressed = self.programs.len() > MAX_PROGRAMS / 2;
        let keep = if pressed {
            FORGET_PRESSED_MS
        } else {
            FORGET_AFTER_MS
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
            if idle >= keep {
                self.programs.remove(&name);
            }
            self.swept = Some(name);
        }
    }
}

/// The program's record, made if it is needed and there is room.
fn program_for<'a>(
    programs: &'a mut Programs,
    request: &CounterRequest,
) -> Option<&'a mut Program> {
    let name = request.program.as_str();
    let full = programs.len() >= MAX_PROGRAMS || name.len() > MAX_PROGRAM_NAME;
    if !programs.contains_key(name) && (full || only_gives_back(request)) {
        return None;
    }
    Some(programs.entry(name.into()).or_default())
}

/// Whether the request tells a counter that doesn't know the program nothing worth a record.
fn only_gives_back(request: &CounterRequest) -> bool {
    matches!(request.change, CounterChange::Return { .. }) && request.used == 0
}

/// The reply where there is no record of the program and none is made.
fn without_program(change: &CounterChange) -> CounterReply {
    match change {
        CounterChange::Lease { .. } => CounterReply::Elsewhere { held: 0 },
        CounterChange::Return { .. } => CounterReply::Returned,
    }
}
