//! Counters of requests, attempts, counter calls and connections, printed as one line at exit and on SIGUSR1. They
//! influence no decision and are never reset.

use dunespur_decisions::types::{AttemptResult, CounterReply, ThrottleCause};
use std::fmt;

#[derive(Debug, Default)]
pub struct Stats {
    pub received: u64,
    pub rejected: u64,
    pub clients_gone: u64,
    pub succeeded: u64,
    /// Throttled invocations by cause.
    pub throttled: [u64; ThrottleCause::ALL.len()],
    pub errored: u64,
    pub attempts: u64,
    pub attempt_results: [u64; 8],
    pub counter_calls: u64,
    pub counter_totals: u64,
    pub counter_refusals: u64,
    pub counter_timeouts: u64,
    pub endpoint_updates: u64,
    pub watches_lost: u64,
    pub client_connections: u64,
    pub server_connections: u64,
}

impl Stats {
    pub fn record_attempt(&mut self, result: AttemptResult) {
        self.attempt_results[result as usize] += 1;
    }

    pub fn record_counter_reply(&mut self, reply: CounterReply) {
        match reply {
            CounterReply::Total(_) => self.counter_totals += 1,
            CounterReply::Refused => self.counter_refusals += 1,
            CounterReply::NoReply => self.counter_timeouts += 1,
        }
    }
}

impl fmt::Display for Stats {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let count = |result: AttemptResult| self.attempt_results[result as usize];
        write!(
            f,
            "invocations taken={} turned_down={} client_gone={} succeeded={} throttled={} errored={}; ",
            self.received,
            self.rejected,
            self.clients_gone,
            self.succeeded,
            self.throttled.iter().sum::<u64>(),
            self.errored
        )?;
        write!(f, "throttled")?;
        for (cause, name) in ThrottleCause::ALL {
            write!(f, " {name}={}", self.throttled[cause as usize])?;
        }
        write!(f, "; ")?;
        write!(
            f,
            "deliveries sent={} succeeded={} error={} full={} timeout={} connect_failed={} reset={} \
             cancelled={}; ",
            self.attempts,
            count(AttemptResult::Succeeded),
            count(AttemptResult::Error),
            count(AttemptResult::Overloaded),
            count(AttemptResult::Timeout),
            count(AttemptResult::ConnectFailed),
            count(AttemptResult::Reset),
            count(AttemptResult::Cancelled)
        )?;
        write!(
            f,
            "counter calls={} totals={} refused={} silent={}; endpoints news={} lost={}; connections clients={} \
             servers={}",
            self.counter_calls,
            self.counter_totals,
            self.counter_refusals,
            self.counter_timeouts,
            self.endpoint_updates,
            self.watches_lost,
            self.client_connections,
            self.server_connections
        )
    }
}
