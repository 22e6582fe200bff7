//! The lease by itself, on both sides, so that the model checker can drive just this: the holder counts from
//! before it asked, the granter waits the whole time and more, from hearing an ask or from taking over.

use std::collections::{BTreeMap, VecDeque};

/// The holder's side. Its clock must not stop while its process does.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Default)]
pub struct Tenure<T: Copy + PartialOrd + Default> {
    asked: VecDeque<(u64, T)>,
    until: T,
    /// The ask that was granted last, for histories.
    last: (u64, T),
}

/// Asks whose answers are still awaited; older ones are forgotten.
const AWAITED: usize = 8;

impl<T: Copy + PartialOrd + Default + std::ops::Add<Output = T>> Tenure<T> {
    /// An ask goes out now, or in the next moment.
    pub fn asked(&mut self, seq: u64, now: T) {
        if self.asked.len() == AWAITED {
            self.asked.pop_front();
        }
        self.asked.push_back((seq, now));
    }

    /// The ask was granted: it holds from before it went out. False for one that is not awaited.
    pub fn granted(&mut self, seq: u64, lease: T) -> bool {
        let Some(at) = self.asked.iter().position(|a| a.0 == seq) else {
            return false;
        };
        let until = self.asked[at].1 + lease;
        self.last = self.asked[at];
        self.asked.drain(..=at);
        if until > self.until {
            self.until = until;
        }
        true
    }

    pub fn holds(&self, now: T) -> bool {
        now < self.until
    }

    pub fn until(&self) -> T {
        self.until
    }

    /// When the ask that was granted last went out, if it is this one.
    pub fn asked_at(&self, seq: u64) -> Option<T> {
        (self.last.0 == seq).then_some(self.last.1)
    }

    pub fn give_up(&mut self) {
        self.asked.clear();
        self.until = T::default();
    }
}

/// The granter's side: when each limiter was last renewed.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Default)]
pub struct Granter<T: Copy + PartialOrd> {
    heard: BTreeMap<u64, T>,
}

impl<T: Copy + PartialOrd + std::ops::Add<Output = T>> Granter<T> {
    /// Takes over: what a forerunner may have granted up to now counts as granted now.
    pub fn takes_over(sessions: impl Iterator<Item = u64>, now: T) -> Self {
        Granter {
            heard: sessions.map(|s| (s, now)).collect(),
        }
    }

    /// An ask that was heard at this time is about to be granted.
    pub fn renew(&mut self, session: u64, heard: T) {
        let at = self.heard.entry(session).or_insert(heard);
        if heard > *at {
            *at = heard;
        }
    }

    pub fn forget(&mut self, session: u64) {
        self.heard.remove(&session);
    }

    pub fn heard(&self, session: u64) -> Option<T> {
        self.heard.get(&session).copied()
    }

    /// Whether nothing granted to this limiter can still hold.
    pub fn lapsed(&self, session: u64, wait: T, now: T) -> bool {
        self.heard.get(&session).is_none_or(|at| now > *at + wait)
    }
}
