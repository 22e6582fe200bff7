//! One program's counter: the used units, and the units on lease to each limiter.

use super::clock::LogicalClock;
use crate::{CounterReply, LimiterId, Millis};
use serde::{Deserialize, Serialize};
use std::cmp::Ordering;

/// Near the limit a grant is a limiter's equal part of the headroom, divided by this.
const SHRINK_FACTOR: u64 = 2;
/// A limiter counts as one of the program's for this long after its last request.
const RECENT_REQUEST_MS: Millis = 10_000;
/// Units of a limiter without a request for the program for longer count as spent: three missed reports.
const LEASE_TIMEOUT_MS: Millis = 15_000;
/// Maximum number of leases of one program; the units of the least recently renewed one count as used.
const MAX_LEASES: usize = 128;

/// Bytes of a program in a snapshot beside its name and its leases, usual numbers taken.
const PROGRAM_BYTES: usize = 24;
/// Bytes of a lease in a snapshot beside its limiter's name, usual numbers taken.
const LEASE_BYTES: usize = 40;

/// What one program's counter records of a limiter.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Lease {
    limiter: LimiterId,
    /// Units granted, neither returned nor reported as used.
    outstanding: u64,
    /// When its last request was applied.
    renewed_at: Millis,
    /// Its last request and the reply. One is enough, as it has one unanswered request at a time.
    last: Option<AnsweredRequest>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct AnsweredRequest {
    sequence: u64,
    reply: CounterReply,
}

/// Identifies a program's lease until the next one is added or removed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LeaseIndex(usize);

/// A limiter's request for a lease.
pub(crate) struct LeaseRequest {
    /// The limiter's previous lease.
    pub(crate) lease: LeaseIndex,
    pub(crate) budget: u64,
    pub(crate) needed: u64,
    pub(crate) wanted: u64,
    /// How many limiters there are, 0 where that is not known.
    pub(crate) limiters: u32,
    pub(crate) now: Millis,
}

/// A program's counter. It never goes back while it exists.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Program {
    /// Units reported as used.
    used: u64,
    /// Whether units were ever granted.
    has_granted: bool,
    last_use: Millis,
    leases: Vec<Lease>,
}

impl Program {
    /// Units reported as used.
    pub(crate) fn used(&self) -> u64 {
        self.used
    }

    /// Bytes that it takes of a snapshot without its name, at most.
    pub(crate) fn bytes(&self) -> usize {
        let leases = self.leases.iter();
        let names: usize = leases.map(|lease| lease.limiter.node.len()).sum();
        PROGRAM_BYTES + self.leases.len() * LEASE_BYTES + names
    }

    /// Whether there is a lease of this incarnation of the limiter.
    pub(crate) fn has_lease_of(&self, limiter: &LimiterId) -> bool {
        self.leases.iter().any(|lease| lease.limiter == *limiter)
    }

    /// Units on lease.
    pub(crate) fn leased(&self) -> u64 {
        self.leases
            .iter()
            .fold(0, |sum, lease| sum.saturating_add(lease.outstanding))
    }

    /// Time since the last request.
    pub(crate) fn idle(&self, now: Millis) -> Millis {
        now.saturating_sub(self.last_use)
    }

    /// The reply to a request that was applied already; `Stale` to one older than the limiter's last.
    pub(crate) fn prior_reply(&self, limiter: &LimiterId, sequence: u64) -> Option<CounterReply> {
        let lease = self.leases.iter().find(|lease| lease.limiter == *limiter)?;
        let last = lease.last.as_ref()?;
        match sequence.cmp(&last.sequence) {
            Ordering::Less => Some(CounterReply::Stale),
            Ordering::Equal => Some(last.reply.clone()),
            Ordering::Greater => None,
        }
    }

    /// Records a limiter's new request and the units that it used; returns its lease.
    pub(crate) fn renew(&mut self, limiter: &LimiterId, used: u64, now: Millis) -> LeaseIndex {
        self.last_use = now;
        let index = self.index_of(limiter);
        let lease = &mut self.leases[index];
        lease.renewed_at = now;
        lease.outstanding = lease.outstanding.saturating_sub(used);
        self.used = self.used.saturating_add(used);
        LeaseIndex(index)
    }

    /// Returns units, at most those on lease: a limiter cannot add to the budget.
    pub(crate) fn return_units(&mut self, lease: LeaseIndex, units: u64) {
        let lease = &mut self.leases[lease.0];
        lease.outstanding = lease.outstanding.saturating_sub(units);
    }

    /// Grants a lease, or replies why not.
    pub(crate) fn grant(&mut self, request: &LeaseRequest, clock: &LogicalClock) -> CounterReply {
        let headroom = self.headroom(request.budget);
        if headroom >= request.needed {
            let units = self.grant_size(request, headroom, clock);
            self.has_granted = true;
            self.leases[request.lease.0].outstanding += units;
            return CounterReply::Granted {
                units,
                left: headroom - units,
            };
        }
        let leased = self.recoverable(request.now, clock);
        if headroom.saturating_add(leased) >= request.needed {
            CounterReply::LeasedElsewhere { leased }
        } else {
            CounterReply::Spent
        }
    }

    /// Records the reply to a limiter's last request.
    pub(crate) fn record_reply(&mut self, lease: LeaseIndex, sequence: u64, reply: &CounterReply) {
        self.leases[lease.0].last = Some(AnsweredRequest {
            sequence,
            reply: reply.clone(),
        });
    }

    /// Removes leases without units.
    pub(crate) fn compact(&mut self) {
        self.leases.retain(|lease| lease.outstanding > 0);
        self.leases.shrink_to_fit();
    }

    fn headroom(&self, budget: u64) -> u64 {
        budget.saturating_sub(self.used.saturating_add(self.leased()))
    }

    /// The size of a grant out of a headroom that covers the need: shrunk near the limit, never below the need, and
    /// no more than that to a new program.
    fn grant_size(&self, request: &LeaseRequest, headroom: u64, clock: &LogicalClock) -> u64 {
        if !self.has_granted {
            return request.needed;
        }
        let limit = headroom / self.active_limiters(request, clock) / SHRINK_FACTOR;
        request.wanted.min(limit).max(request.needed)
    }

    /// How many limiters serve the program, the requesting one included.
    fn active_limiters(&self, request: &LeaseRequest, clock: &LogicalClock) -> u64 {
        let is_recent =
            |lease: &Lease| request.now.saturating_sub(lease.renewed_at) < RECENT_REQUEST_MS;
        let is_active = |lease: &&Lease| {
            lease.is_valid(request.now, clock) && (is_recent(lease) || lease.outstanding > 0)
        };
        let counted = self.leases.iter().filter(is_active).count().max(1) as u64;
        match request.limiters {
            0 => counted,
            known => counted.min(u64::from(known)),
        }
    }

    /// Units on valid leases, which may still be returned.
    fn recoverable(&self, now: Millis, clock: &LogicalClock) -> u64 {
        self.leases
            .iter()
            .filter(|lease| lease.is_valid(now, clock))
            .fold(0, |sum, lease| sum.saturating_add(lease.outstanding))
    }

    fn index_of(&mut self, limiter: &LimiterId) -> usize {
        let known = self
            .leases
            .iter()
            .position(|lease| lease.limiter == *limiter);
        if let Some(index) = known {
            return index;
        }
        if self.leases.len() >= MAX_LEASES {
            self.write_off_one();
        }
        self.leases.push(Lease {
            limiter: limiter.clone(),
            outstanding: 0,
            renewed_at: 0,
            last: None,
        });
        self.leases.len() - 1
    }

    /// Removes the least recently renewed lease; its units stay spent.
    fn write_off_one(&mut self) {
        let oldest = self
            .leases
            .iter()
            .enumerate()
            .min_by_key(|(_, lease)| lease.renewed_at);
        if let Some(index) = oldest.map(|(index, _)| index) {
            let lease = self.leases.remove(index);
            self.used = self.used.saturating_add(lease.outstanding);
        }
    }
}

impl Lease {
    /// Whether the limiter may still return its units: it has no newer incarnation, and the lease did not time out.
    fn is_valid(&self, now: Millis, clock: &LogicalClock) -> bool {
        let superseded = clock.is_superseded(&self.limiter);
        !superseded && now.saturating_sub(self.renewed_at) < LEASE_TIMEOUT_MS
    }
}
