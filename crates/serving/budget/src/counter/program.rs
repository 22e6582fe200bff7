//! One program's counter: its used units and the units leased to each limiter.

use super::clock::LogicalClock;
use crate::{CounterReply, LimiterId, Millis};
use serde::{Deserialize, Serialize};
use std::cmp::Ordering;

/// Near the limit, a grant is an equal share of the headroom per active limiter, divided by this factor.
const SHRINK_FACTOR: u64 = 2;
/// How long a limiter without leased units counts as active after its last request.
const RECENT_REQUEST_MS: Millis = 10_000;
/// Units of a limiter that sent no request for the program for this long count as spent. Equals three missed reports.
const LEASE_TIMEOUT_MS: Millis = 15_000;
/// Maximum number of leases of one program. Beyond it, the least recently renewed lease is removed and its units count
/// as used.
const MAX_LEASES: usize = 128;

/// Size of a program in a snapshot without its name and leases, for typical values of its integers.
const PROGRAM_BYTES: usize = 24;
/// Size of a lease in a snapshot without its limiter's name, for typical values of its integers.
const LEASE_BYTES: usize = 40;

/// A limiter's lease on the program's budget.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Lease {
    limiter: LimiterId,
    /// Units granted that were neither returned nor reported as used.
    outstanding: u64,
    /// When the limiter's last request was applied.
    renewed_at: Millis,
    /// The limiter's last request and its reply. One suffices, as a limiter has at most one unanswered request.
    last: Option<AnsweredRequest>,
}

/// A request's number and its reply, kept to answer duplicates.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct AnsweredRequest {
    sequence: u64,
    reply: CounterReply,
}

/// The index of a lease of the program. Valid until a lease is added or removed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LeaseIndex(usize);

/// A limiter's request for a lease.
pub(crate) struct LeaseRequest {
    /// The limiter's previous lease.
    pub(crate) lease: LeaseIndex,
    /// The program's budget.
    pub(crate) budget: u64,
    /// Minimum units of a grant.
    pub(crate) needed: u64,
    /// Units that the limiter would prefer.
    pub(crate) wanted: u64,
    /// The number of limiters in the system, or 0 if unknown.
    pub(crate) limiters: u32,
    pub(crate) now: Millis,
}

/// A program's counter. Its used units never decrease.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Program {
    /// Units reported as used.
    used: u64,
    /// Whether units were ever granted.
    has_granted: bool,
    /// When the program's last request was applied.
    last_use: Millis,
    leases: Vec<Lease>,
}

impl Program {
    /// Units reported as used.
    pub(crate) fn used(&self) -> u64 {
        self.used
    }

    /// Upper bound of the program's size in a snapshot without its name, in bytes.
    pub(crate) fn bytes(&self) -> usize {
        let leases = self.leases.iter();
        let names: usize = leases.map(|lease| lease.limiter.node.len()).sum();
        PROGRAM_BYTES + self.leases.len() * LEASE_BYTES + names
    }

    /// Whether this incarnation of the limiter has a lease.
    pub(crate) fn has_lease_of(&self, limiter: &LimiterId) -> bool {
        self.leases.iter().any(|lease| lease.limiter == *limiter)
    }

    /// Units leased to all limiters.
    pub(crate) fn leased(&self) -> u64 {
        self.leases
            .iter()
            .fold(0, |sum, lease| sum.saturating_add(lease.outstanding))
    }

    /// Time since the program's last request.
    pub(crate) fn idle(&self, now: Millis) -> Millis {
        now.saturating_sub(self.last_use)
    }

    /// The recorded reply if the request was applied before, `Stale` if it is older than the limiter's last request,
    /// and `None` if it is new.
    pub(crate) fn prior_reply(&self, limiter: &LimiterId, sequence: u64) -> Option<CounterReply> {
        let lease = self.leases.iter().find(|lease| lease.limiter == *limiter)?;
        let last = lease.last.as_ref()?;
        match sequence.cmp(&last.sequence) {
            Ordering::Less => Some(CounterReply::Stale),
            Ordering::Equal => Some(last.reply.clone()),
            Ordering::Greater => None,
        }
    }

    /// Renews a limiter's lease, creating it if needed, and records the units that the limiter used.
    pub(crate) fn renew(&mut self, limiter: &LimiterId, used: u64, now: Millis) -> LeaseIndex {
        self.last_use = now;
        let index = self.find_or_create_lease(limiter);
        let lease = &mut self.leases[index];
        lease.renewed_at = now;
        lease.outstanding = lease.outstanding.saturating_sub(used);
        self.used = self.used.saturating_add(used);
        LeaseIndex(index)
    }

    /// Returns units to the budget. Units beyond the lease are ignored, so a limiter cannot increase the budget.
    pub(crate) fn return_units(&mut self, lease: LeaseIndex, units: u64) {
        let lease = &mut self.leases[lease.0];
        lease.outstanding = lease.outstanding.saturating_sub(units);
    }

    /// Grants units, or replies why the budget does not cover the request.
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
        let leased = self.returnable(request.now, clock);
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

    /// Units of the budget that are neither used nor leased.
    fn headroom(&self, budget: u64) -> u64 {
        budget.saturating_sub(self.used.saturating_add(self.leased()))
    }

    /// The size of a grant, given a headroom that covers the needed units. A grant shrinks near the limit, but not
    /// below the needed units. A program's first grant is exactly the needed units.
    fn grant_size(&self, request: &LeaseRequest, headroom: u64, clock: &LogicalClock) -> u64 {
        if !self.has_granted {
            return request.needed;
        }
        let limit = headroom / self.active_limiters(request, clock) / SHRINK_FACTOR;
        request.wanted.min(limit).max(request.needed)
    }

    /// The number of limiters that serve the program, including the requesting limiter.
    fn active_limiters(&self, request: &LeaseRequest, clock: &LogicalClock) -> u64 {
        let is_recent =
            |lease: &Lease| request.now.saturating_sub(lease.renewed_at) < RECENT_REQUEST_MS;
        let is_active = |lease: &&Lease| {
            lease.is_valid(request.now, clock) && (is_recent(lease) || lease.outstanding > 0)
        };
        let active = self.leases.iter().filter(is_active).count().max(1) as u64;
        match request.limiters {
            0 => active,
            known => active.min(u64::from(known)),
        }
    }

    /// Units of valid leases, which limiters may still return.
    fn returnable(&self, now: Millis, clock: &LogicalClock) -> u64 {
        self.leases
            .iter()
            .filter(|lease| lease.is_valid(now, clock))
            .fold(0, |sum, lease| sum.saturating_add(lease.outstanding))
    }

    /// The index of the limiter's lease, which is created if needed.
    fn find_or_create_lease(&mut self, limiter: &LimiterId) -> usize {
        let known = self
            .leases
            .iter()
            .position(|lease| lease.limiter == *limiter);
        if let Some(index) = known {
            return index;
        }
        if self.leases.len() >= MAX_LEASES {
            self.write_off_oldest();
        }
        self.leases.push(Lease {
            limiter: limiter.clone(),
            outstanding: 0,
            renewed_at: 0,
            last: None,
        });
        self.leases.len() - 1
    }

    /// Removes the least recently renewed lease and counts its units as used.
    fn write_off_oldest(&mut self) {
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
    /// Whether the limiter may still return its units: no newer incarnation exists and the lease has not timed out.
    fn is_valid(&self, now: Millis, clock: &LogicalClock) -> bool {
        let superseded = clock.is_superseded(&self.limiter);
        !superseded && now.saturating_sub(self.renewed_at) < LEASE_TIMEOUT_MS
    }
}
