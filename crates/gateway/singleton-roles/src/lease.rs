//! Both sides of the lease, separate from the rest so that a model checker can drive them. The client counts
//! the lease from before it sent the request; the granter waits the full lease and a margin for clock drift,
//! from when it received the renewal or took over. (Gray and Cheriton, "Leases", 1989.)

use std::collections::{BTreeMap, VecDeque};

/// Maximum number of renewals that await a response; the oldest is dropped.
const MAX_PENDING: usize = 8;

/// The request number of a renewal, and when the request was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Default)]
struct SentRenewal<T> {
    seq: u64,
    sent_at: T,
}

/// The client's side. Its clock must keep running while the process is suspended.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Default)]
pub struct ClientLease<T: Copy + PartialOrd + Default> {
    pending: VecDeque<SentRenewal<T>>,
    expiry: T,
    /// The renewal that was granted last; recorded in histories.
    last_granted: SentRenewal<T>,
}

impl<T: Copy + PartialOrd + Default + std::ops::Add<Output = T>> ClientLease<T> {
    /// Records a renewal; call it just before the request is sent.
    pub fn renewal_sent(&mut self, seq: u64, now: T) {
        if self.pending.len() == MAX_PENDING {
            self.pending.pop_front();
        }
        self.pending.push_back(SentRenewal { seq, sent_at: now });
    }

    /// Extends the lease, counted from when the granted renewal was sent. Returns false if no such renewal is
    /// pending.
    pub fn granted(&mut self, seq: u64, duration: T) -> bool {
        let Some(position) = self.pending.iter().position(|sent| sent.seq == seq) else {
            return false;
        };
        self.last_granted = self.pending[position];
        let expiry = self.last_granted.sent_at + duration;
        self.pending.drain(..=position);
        if expiry > self.expiry {
            self.expiry = expiry;
        }
        true
    }

    /// Whether the lease is held at this moment.
    #[must_use]
    pub fn is_valid(&self, now: T) -> bool {
        now < self.expiry
    }

    /// When the lease expires unless it is renewed.
    #[must_use]
    pub fn expiry(&self) -> T {
        self.expiry
    }

    /// When the renewal `seq` was sent, if it was the last one granted.
    #[must_use]
    pub fn granted_renewal_sent_at(&self, seq: u64) -> Option<T> {
        (self.last_granted.seq == seq).then_some(self.last_granted.sent_at)
    }

    /// Ends the lease; responses that arrive later don't extend it.
    pub fn surrender(&mut self) {
        self.pending.clear();
        self.expiry = T::default();
    }
}

/// The granter's side: when each session was last renewed.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Default)]
pub struct LeaseGranter<T: Copy + PartialOrd> {
    renewals: BTreeMap<u64, T>,
}

impl<T: Copy + PartialOrd + std::ops::Add<Output = T>> LeaseGranter<T> {
    /// Creates the granter of a new leader: leases that a predecessor granted count as renewed now.
    pub fn take_over(sessions: impl Iterator<Item = u64>, now: T) -> Self {
        LeaseGranter {
            renewals: sessions.map(|session| (session, now)).collect(),
        }
    }

    /// Records that a renewal received at this time is about to be granted.
    pub fn renew(&mut self, session: u64, received: T) {
        let last = self.renewals.entry(session).or_insert(received);
        if received > *last {
            *last = received;
        }
    }

    /// Forgets a session that has ended.
    pub fn forget(&mut self, session: u64) {
        self.renewals.remove(&session);
    }

    /// When the session's last granted renewal was received.
    #[must_use]
    pub fn last_renewal(&self, session: u64) -> Option<T> {
        self.renewals.get(&session).copied()
    }

    /// Whether every lease granted to this session has expired on the client's clock as well.
    #[must_use]
    pub fn has_expired(&self, session: u64, wait: T, now: T) -> bool {
        self.last_renewal(session).is_none_or(|at| now > at + wait)
    }
}
