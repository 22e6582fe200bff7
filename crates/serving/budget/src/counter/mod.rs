//! The counters of all programs. Replicas of the core apply the same requests in the same order, with the same results.

mod clock;
mod program;

use crate::messages::MAX_PROGRAM_NAME_BYTES;
use crate::{CounterChange, CounterReply, CounterRequest, Millis};
use clock::LogicalClock;
use program::{LeaseRequest, Program};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::ops::Bound;

/// Minimum idle time before a counter is evicted, far longer than any pause within a program.
const EVICT_AFTER_IDLE_MS: Millis = 600_000;
/// Minimum idle time before a counter is evicted while more than half of the capacity is in use.
const EVICT_AFTER_IDLE_UNDER_PRESSURE_MS: Millis = 120_000;
/// Idle time before eviction in addition to the retention of turns: a turn ends after the last use of its counter.
const EVICTION_MARGIN_MS: Millis = 30_000;
/// Idle time after which a program's leases without units are removed.
const COMPACT_AFTER_IDLE_MS: Millis = 30_000;
/// Maximum number of programs. Further programs are rejected, which bounds memory against a flood of names.
const MAX_PROGRAMS: usize = 65_536;
/// New programs are rejected while the counters take this many bytes of a snapshot. The core's state must fit on its
/// disk: the remaining space is reserved for existing counters, configurations and registrations.
const MAX_BYTES_WITH_NEW_PROGRAMS: usize = 8 << 20;
/// A known program gets no lease at another limiter while the counters take this many bytes of a snapshot.
const MAX_BYTES_WITH_NEW_LEASES: usize = 10 << 20;
/// Programs checked for eviction with each request. More than the one program that a request can add.
const SWEPT_PER_REQUEST: usize = 2;

type Programs = BTreeMap<Box<str>, Program>;

/// The counters of all programs.
///
/// Deterministic: replicas that apply the same requests in the same order have equal counters.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "StoredCounters")]
pub struct Counters {
    programs: Programs,
    clock: LogicalClock,
    /// The last program checked for eviction; the sweep continues after it.
    swept: Option<Box<str>>,
    /// How long turns are stored. Derived from the configuration, so a snapshot of counters does not contain it.
    #[serde(skip)]
    retention_ms: Millis,
    /// Upper bound of the programs' size in a snapshot, in bytes; recomputed when a snapshot is restored.
    #[serde(skip)]
    bytes: usize,
}

/// The fields of [`Counters`] that a snapshot contains.
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
    /// Applies a committed request. `limiters` is the number of limiters that the core knows, or 0 if unknown; it caps
    /// the number of limiters that a program is assumed to have.
    ///
    /// Idempotent: a duplicate request gets the same reply and changes nothing.
    pub fn apply(&mut self, request: &CounterRequest, limiters: u32) -> CounterReply {
        if let Some(reply) = self.prior_reply(request) {
            return reply;
        }
        let now = self.clock.observe(&request.limiter, request.at_ms);
        self.sweep(now);
        if !self.may_apply(request) {
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

    /// Sets how long turns are stored. A program may become active again within that time, so its counter is kept.
    pub fn set_retention(&mut self, retention_ms: Millis) {
        self.retention_ms = retention_ms;
    }

    /// Upper bound of the programs' size in a snapshot, in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// The size in bytes from which new programs are rejected.
    #[must_use]
    pub fn max_bytes() -> usize {
        MAX_BYTES_WITH_NEW_PROGRAMS
    }

    /// The number of programs that have a counter.
    #[must_use]
    pub fn programs(&self) -> usize {
        self.programs.len()
    }

    /// Units of the program that were reported as used, or 0 if the program has no counter.
    #[must_use]
    pub fn used(&self, program: &str) -> u64 {
        self.programs.get(program).map_or(0, Program::used)
    }

    /// Leased units of the program, including those of dead limiters, or 0 if the program has no counter.
    #[must_use]
    pub fn leased(&self, program: &str) -> u64 {
        self.programs.get(program).map_or(0, Program::leased)
    }

    /// The reply to a request that was applied before, or that is older than the limiter's last request.
    fn prior_reply(&self, request: &CounterRequest) -> Option<CounterReply> {
        let program = self.programs.get(request.program.as_str())?;
        program.prior_reply(&request.limiter, request.sequence)
    }

    /// Evicts idle programs. Each call checks only a few, so that no single request pays for a full sweep.
    fn sweep(&mut self, now: Millis) {
        let evict_after_idle_ms = self.evict_after_idle_ms();
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
            if idle >= COMPACT_AFTER_IDLE_MS {
                program.compact();
            }
            if idle >= evict_after_idle_ms {
                self.programs.remove(&name);
            }
            self.bytes = self.bytes - before + self.bytes_of(&name);
            self.swept = Some(name);
        }
    }

    /// The idle time after which a counter is evicted. Never less than turns are stored, even under pressure: new
    /// programs are rejected instead, so that a program that becomes active again does not restart from a zero counter.
    fn evict_after_idle_ms(&self) -> Millis {
        let under_pressure =
            self.programs.len() > MAX_PROGRAMS / 2 || self.bytes > MAX_BYTES_WITH_NEW_PROGRAMS / 2;
        let min_idle_ms = if under_pressure {
            EVICT_AFTER_IDLE_UNDER_PRESSURE_MS
        } else {
            EVICT_AFTER_IDLE_MS
        };
        let retention_with_margin_ms = self.retention_ms.saturating_add(EVICTION_MARGIN_MS);
        retention_with_margin_ms.max(min_idle_ms)
    }

    fn bytes_of(&self, name: &str) -> usize {
        let program = self.programs.get(name);
        program.map_or(0, |program| program_bytes(name, program))
    }

    /// Whether the request is applied. A new program or a lease at another limiter requires free capacity, and a
    /// request with nothing to record creates no counter.
    fn may_apply(&self, request: &CounterRequest) -> bool {
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

/// Upper bound of a program's size in a snapshot, in bytes.
fn program_bytes(name: &str, program: &Program) -> usize {
    name.len() + program.bytes()
}

/// Whether the request only returns units and reports no use, so that it needs no counter for an unknown program.
fn only_returns(request: &CounterRequest) -> bool {
    matches!(request.change, CounterChange::Return { .. }) && request.used == 0
}

/// The reply to a request that is not applied for lack of capacity or of a counter.
fn reply_without_program(change: &CounterChange) -> CounterReply {
    match change {
        CounterChange::Lease { .. } => CounterReply::LeasedElsewhere { leased: 0 },
        CounterChange::Return { .. } => CounterReply::Returned,
    }
}
