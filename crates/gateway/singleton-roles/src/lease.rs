//! The lease by itself, on both sides, so that the model checker can drive just this: the client counts from
//! before its request, the granter waits the full time and more, from receiving a renewal or from taking over.
//! (Gray and Cheriton, "Leases", 1989.)

use std::collections::{BTreeMap, VecDeque};

/// Renewals whose answers are still awaited; older ones are forgotten.
const MAX_PENDING: usize = 8;

/// A renewal that went out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Default)]
struct SentRenewal<T> {
    seq: u64,
    at: T,
}

/// The client's side. Its clock must not stop while its process does.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Default)]
pub struct ClientLease<T: Copy + PartialOrd + Default> {
    pending: VecDeque<SentRenewal<T>>,
    expiry: T,
    /// The renewal that was granted last, for histories.
    last_granted: SentRenewal<T>,
}

impl<T: Copy + PartialOrd + Default + std::ops::Add<Output = T>> ClientLease<T> {
    /// A renewal goes out now, or in the next moment.
    pub fn renewal_sent(&mut self, seq: u64, now: T) {
        if self.pending.len() == MAX_PENDING {
            self.pending.pop_front();
        }
        self.pending.push_back(SentRenewal { seq, at: now });
    }

    /// The renewal was granted: it holds from before it went out. False for one that is not awaited.
    pub fn granted(&mut self, seq: u64, duration: T) -> bool {
        let Some(position) = self.pending.iter().position(|sent| sent.seq == seq) else {
            return false;
        };
        self.last_granted = self.pending[position];
        let expiry = self.last_granted.at + duration;
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

    /// When it expires unless it is renewed.
    #[must_use]
    pub fn expiry(&self) -> T {
        self.expiry
    }

    /// When the renewal that was granted last went out, if it is this one.
    #[must_use]
    pub fn granted_renewal_sent_at(&self, seq: u64) -> Option<T> {
        (self.last_granted.seq == seq).then_some(self.last_granted.at)
    }

    /// Ends the lease; answers that are still on their way don't bring it back.
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
    /// Takes over: what a predecessor may have granted up to now counts as granted now.
    pub fn take_over(sessions: impl Iterator<Item = u64>, now: T) -> Self {
        LeaseGranter {
            renewals: sessions.map(|session| (session, now)).collect(),
        }
    }

    /// A renewal that was received at this time is about to be granted.
    pub fn renew(&mut self, session: u64, received: T) {
        let last = self.renewals.entry(session).or_insert(received);
        if received > *last {
            *last = received;
        }
    }

    /// The session is gone.
    pub fn forget(&mut self, session: u64) {
        self.renewals.remove(&session);
    }

    /// When the last renewal that was granted was received.
    #[must_use]
    pub fn last_renewal(&self, session: u64) -> Option<T> {
        self.renewals.get(&session).copied()
    }

    /// Whether nothing granted to this session can still hold.
    #[must_use]
    pub fn has_expired(&self, session: u64, wait: T, now: T) -> bool {
        self.last_renewal(session).is_none_or(|at| now > at + wait)
    }
}
