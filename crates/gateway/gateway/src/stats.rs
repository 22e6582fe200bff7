//! Counters of what the gateway takes in, sends and answers. Owns the figures and the one line that shows
//! them, printed at exit and on SIGUSR1. Nothing is ever decided by them, and they are never reset.

use dunespur_decisions::types::{AttemptResult, CounterReply, ThrottleCause};
use std::fmt;

#[derive(Debug, Default)]
pub struct Stats {
    pub taken: u64,
    pub turned_down: u64,
    pub clients_gone: u64,
    pub succeeded: u64,
    /// By cause.
    pub throttled: [u64; ThrottleCause::ALL.len()],
    pub errored: u64,
    pub deliveries: u64,
    pub endings: [u64; 8],
    pub calls: u64,
    pub totals: u64,
    pub refused: u64,
    pub silent: u64,
    pub news: u64,
    pub news_lost: u64,
    pub client_connections: u64,
    pub server_connections: u64,
}

impl Stats {
    pub fn ended(&mut self, ending: AttemptResult) {
        self.endings[ending as usize] += 1;
    }

    pub fn counted(&mut self, counted: CounterReply) {
        match counted {
            CounterReply::Total(_) => self.totals += 1,
            CounterReply::Refused => self.refused += 1,
            CounterReply::NoReply => self.silent += 1,
        }
    }
}

impl fmt::Display for Stats {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let e = |ending: AttemptResult| self.endings[ending as usize];
        write!(
            f,
            "invocations taken={} turned_down={} client_gone={} succeeded={} throttled={} errored={}; ",
            self.taken,
            self.turned_down,
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
            self.deliveries,
            e(AttemptResult::Succeeded),
            e(AttemptResult::Error),
            e(AttemptResult::Overloaded),
            e(AttemptResult::Timeout),
            e(AttemptResult::ConnectFailed),
            e(AttemptResult::Reset),
            e(AttemptResult::Cancelled)
        )?;
        write!(
            f,
            "counter calls={} totals={} refused={} silent={}; endpoints news={} lost={}; connections clients={} \
             servers={}",
            self.calls,
            self.totals,
            self.refused,
            self.silent,
            self.news,
            self.news_lost,
            self.client_connections,
            self.server_connections
        )
    }
}
