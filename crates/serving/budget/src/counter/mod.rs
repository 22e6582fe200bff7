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

/// A program's counter is kept at least this long after its last use, far beyond any pause within a program.
const MIN_KEPT_MS: Millis = 600_000;
/// While more than half of the capacity is in use, it is kept at least this long.
const MIN_KEPT_UNDER_PRESSURE_MS: Millis = 120_000;
/// By how much longer a counter is kept than turns are: the last turn ends after the last use of its counter.
const KEPT_BEYOND_RETENTION_MS: Millis = 30_000;
/// The leases without units of an idle program are removed after this long.
const COMPACT_AFTER_MS: Millis = 30_000;
/// Maximum number of programs. New ones are rejected beyond that: bounds memory against a flood of names.
const MAX_PROGRAMS: usize = 65_536;
/// New programs are rejected while the counters take more bytes of a snapshot. The core's state has to fit its disk: what
/// is left of it is for the counters that there are, for configurations and for registrations.
const MAX_BYTES_WITH_NEW_PROGRAMS: usize = 8 << 20;
/// A known program gets no lease at a further limiter while the counters take more.
const MAX_BYTES_WITH_NEW_LEASES: usize = 10 << 20;
/// Programs checked for eviction with each request: more than one request can add.
const SWEPT_PER_REQUEST: usize = 2;

type Programs = BTreeMap<Box<str>, Program>;

/// The counters of all programs.
///
/// Deterministic: replicas that apply the same requests in the same order are equal.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "StoredCounters")]
pub struct Counters {
    programs: Programs,
    clock: LogicalClock,
    /// The name after which the next sweep continues.
    swept: Option<Box<str>>,
    /// How long turns are stored. It follows from the configuration, so that no snapshot of counters contains it.
    #[serde(skip)]
    retention_ms: Millis,
    /// Bytes that the programs take of a snapshot, at most; counted anew when one is restored.
    #[serde(skip)]
    bytes: usize,
}

/// What a snapshot has of the counters.
#[derive(Deserialize)]
struct StoredCounters {
    programs: Programs,
    clock: LogicalClock,
    swept: Option<Box<str>>,
}

impl From<StoredCounters> for Counters {
    fn from(stored: StoredCounters) -> Counters {
        let sizes = stored.programs.iter();
        Counters {
            bytes: sizes
                .map(|(name, program)| program_bytes(name, program))
                .sum(),
            programs: stored.programs,
            clock: stored.clock,
            swept: stored.swept,
            retention_ms: 0,
        }
    }
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
        if !self.admits(request) {
            return reply_without_program(&request.change);
        }
        let name = request.program.as_str();
        let before = self.bytes_of(name);
        let program = self.programs.entry(name.into()).or_default();
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
        self.bytes = self.bytes - before + self.bytes_of(name);
        reply
    }

    /// Turns are stored for so long: a program may come again within that time.
    pub fn set_retention(&mut self, retention_ms: Millis) {
        self.retention_ms = retention_ms;
    }

    /// Bytes that the programs take of a snapshot, at most.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Bytes beyond which new programs are rejected.
    #[must_use]
    pub fn max_bytes() -> usize {
        MAX_BYTES_WITH_NEW_PROGRAMS
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
        let kept_ms = self.kept_ms();
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
            let before = program_bytes(&name, program);
            let idle = program.idle(now);
            if idle >= COMPACT_AFTER_MS {
                program.compact();
            }
            if idle >= kept_ms {
                self.programs.remove(&name);
            }
            self.bytes = self.bytes - before + self.bytes_of(&name);
            self.swept = Some(name);
        }
    }

    /// How long a counter is kept after its last use. However many there are, never less than turns are stored: a program
    /// that comes again starts from nothing nowhere, rather are new ones rejected.
    fn kept_ms(&self) -> Millis {
        let under_pressure =
            self.programs.len() > MAX_PROGRAMS / 2 || self.bytes > MAX_BYTES_WITH_NEW_PROGRAMS / 2;
        let min_kept_ms = if under_pressure {
            MIN_KEPT_UNDER_PRESSURE_MS
        } else {
            MIN_KEPT_MS
        };
        let stored_ms = self.retention_ms.saturating_add(KEPT_BEYOND_RETENTION_MS);
        stored_ms.max(min_kept_ms)
    }

    fn bytes_of(&self, name: &str) -> usize {
        let program = self.programs.get(name);
        program.map_or(0, |program| program_bytes(name, program))
    }

    /// Whether the request is counted: a new program, or a lease at a further limiter, only while there is capacity.
    fn admits(&self, request: &CounterRequest) -> bool {
        let name = request.program.as_str();
        let Some(program) = self.programs.get(name) else {
            let has_capacity = self.programs.len() < MAX_PROGRAMS
                && self.bytes < MAX_BYTES_WITH_NEW_PROGRAMS
                && name.len() <= MAX_PROGRAM_NAME_BYTES;
            return has_capacity && !only_returns(request);
        };
        let is_lease = matches!(request.change, CounterChange::Lease { .. });
        let adds_lease = is_lease && !program.has_lease_of(&request.limiter);
        !adds_lease || self.bytes < MAX_BYTES_WITH_NEW_LEASES
    }
}

/// Bytes that a program takes of a snapshot, at most.
fn program_bytes(name: &str, program: &Program) -> usize {
    name.len() + program.bytes()
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
