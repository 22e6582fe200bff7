//! A simulation's own accounts of granted, returned and used units, and the checks against them.

use dunespur_budget::{CounterChange, CounterReply, CounterRequest, LimiterId};
use std::collections::BTreeMap;

/// Units that a limiter was granted, returned and used, as counted by the simulation.
#[derive(Clone, Debug, Default)]
struct Account {
    granted: u64,
    returned: u64,
    used: u64,
}

impl Account {
    /// Units granted and not returned, used or unused.
    fn leased(&self) -> u64 {
        self.granted - self.returned
    }
}

/// The accounts of all limiters, by program.
#[derive(Default)]
pub struct Accounts(BTreeMap<(String, LimiterId), Account>);

impl Accounts {
    /// Records the first application of a request.
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

    /// Records one unit that a client received.
    pub fn record_use(&mut self, program: &str, limiter: LimiterId) {
        let key = (program.to_owned(), limiter);
        self.0.entry(key).or_default().used += 1;
    }

    /// Units that clients received.
    pub fn received(&self, program: &str) -> u64 {
        self.of_program(program)
            .map(|(_, account)| account.used)
            .sum()
    }

    /// Checks that a program's leased and received units stay within the budget and each limiter's use within its
    /// leases. Called after each change of granted or received units.
    pub fn check(&self, program: &str, budget: u64, now: u64) {
        let leased = self.leased(program);
        assert!(
            leased <= budget,
            "{program}: {leased} units leased at {now} ms exceed the budget of {budget}"
        );
        let received = self.received(program);
        assert!(
            received <= budget,
            "{program}: {received} units received at {now} ms exceed the budget of {budget}"
        );
        for (limiter, account) in self.of_program(program) {
            assert!(
                account.used <= account.leased(),
                "{limiter:?} used more units of {program} than it leased: {account:?}"
            );
        }
    }

    /// Units of the budget that would be free if all limiters for which `is_current` holds returned their unused units.
    pub fn left_after_return(
        &self,
        program: &str,
        budget: u64,
        is_current: impl Fn(&LimiterId) -> bool,
    ) -> u64 {
        let unused: u64 = self
            .of_program(program)
            .filter(|(limiter, _)| is_current(limiter))
            .map(|(_, account)| account.leased() - account.used)
            .sum();
        budget - self.leased(program) + unused
    }

    fn leased(&self, program: &str) -> u64 {
        self.of_program(program)
            .map(|(_, account)| account.leased())
            .sum()
    }

    fn of_program<'a>(
        &'a self,
        program: &'a str,
    ) -> impl Iterator<Item = (&'a LimiterId, &'a Account)> {
        self.0
            .iter()
            .filter(move |((name, _), _)| name == program)
            .map(|((_, limiter), account)| (limiter, account))
    }
}
