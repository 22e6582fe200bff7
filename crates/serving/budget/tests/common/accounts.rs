//! The accounts that a world keeps of granted, returned and used units, and the checks against them.

use dunespur_budget::{CounterChange, CounterReply, CounterRequest, LimiterId};
use std::collections::BTreeMap;

/// The units granted to a limiter, returned by it and used, by the world's own count.
#[derive(Clone, Debug, Default)]
struct Account {
    granted: u64,
    returned: u64,
    used: u64,
}

impl Account {
    /// Units on lease, used or not.
    fn leased(&self) -> u64 {
        self.granted - self.returned
    }
}

/// The accounts of all programs and limiters.
#[derive(Default)]
pub struct Accounts(BTreeMap<(String, LimiterId), Account>);

impl Accounts {
    /// Records a request that was applied for the first time.
    pub fn record_applied(&mut self, request: &CounterRequest, reply: &CounterReply) {
        let key = (request.program.clone(), request.limiter.clone());
        let account = self.0.entry(key).or_default();
        account.returned += match request.change {
            CounterChange::Lease { returned, .. } => returned,
            CounterChange::Return { units } => units,
        };
        if let CounterReply::Granted { units, .. } = reply {
            account.granted += units;
        }
    }

    /// Records a unit that a client received.
    pub fn record_use(&mut self, program: &str, limiter: LimiterId) {
        let key = (program.to_owned(), limiter);
        self.0.entry(key).or_default().used += 1;
    }

    /// Units that clients received.
    pub fn received(&self, program: &str) -> u64 {
        self.of(program).map(|(_, account)| account.used).sum()
    }

    /// To be called after each change of granted or received units.
    pub fn check(&self, program: &str, budget: u64, now: u64) {
        let leased = self.leased(program);
        assert!(leased <= budget, "{program}: {leased} granted at {now}");
        let received = self.received(program);
        assert!(
            received <= budget,
            "{program}: {received} received at {now}"
        );
        for (limiter, account) in self.of(program) {
            assert!(
                account.used <= account.leased(),
                "{limiter:?} uses what it leased: {account:?}"
            );
        }
    }

    /// What would be left of the budget if these limiters returned all unused units.
    pub fn left_after_return(
        &self,
        program: &str,
        budget: u64,
        is_current: impl Fn(&LimiterId) -> bool,
    ) -> u64 {
        let unused: u64 = self
            .of(program)
            .filter(|(limiter, _)| is_current(limiter))
            .map(|(_, account)| account.leased() - account.used)
            .sum();
        budget - self.leased(program) + unused
    }

    fn leased(&self, program: &str) -> u64 {
        self.of(program).map(|(_, account)| account.leased()).sum()
    }

    fn of<'a>(&'a self, program: &'a str) -> impl Iterator<Item = (&'a LimiterId, &'a Account)> {
        self.0
            .iter()
            .filter(move |((name, _), _)| name == program)
            .map(|((_, limiter), account)| (limiter, account))
    }
}
