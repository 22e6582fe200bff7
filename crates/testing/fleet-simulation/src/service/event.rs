//! The events of the simulated service, what it wants carried out, and what it counts.

use dunespur_decisions::types::AttemptResult;
use dunespur_quota_sharing::{BrokerAnswer, LeaseRequest};
use dunespur_singleton_roles::Slot;
use std::collections::BTreeMap;

/// Something that happens to the service at a given time.
pub enum Event {
    /// The next client sends an invocation.
    ClientArrives,
    /// The limiter looks at a waiting invocation again.
    Retry { gate: usize, epoch: u64, num: u64 },
    /// The time limit of an attempt has passed.
    AttemptTimeout {
        gate: usize,
        epoch: u64,
        num: u64,
        n: usize,
    },
    /// A server has answered an attempt, or it has failed.
    AttemptEnded {
        gate: usize,
        epoch: u64,
        num: u64,
        n: usize,
        ending: AttemptResult,
    },
    /// A call comes to the counter.
    CounterCall {
        gate: usize,
        epoch: u64,
        call: u64,
        name: u64,
        add: f64,
    },
    /// The answer to a call to the counter comes back.
    CounterTotal {
        gate: usize,
        epoch: u64,
        call: u64,
        total: f64,
    },
    /// The time limit of a call to the counter has passed.
    CounterTimeout { gate: usize, epoch: u64, call: u64 },
    /// The broker has work that is due.
    BrokerDue { gate: usize, epoch: u64 },
    /// The borrower has work that is due.
    BorrowerDue { gate: usize, epoch: u64 },
}

impl Event {
    /// The limiter whose process it is for, if it is for one.
    pub fn gate(&self) -> Option<usize> {
        match self {
            Event::ClientArrives | Event::CounterCall { .. } => None,
            Event::Retry { gate, .. }
            | Event::AttemptTimeout { gate, .. }
            | Event::AttemptEnded { gate, .. }
            | Event::CounterTotal { gate, .. }
            | Event::CounterTimeout { gate, .. }
            | Event::BorrowerDue { gate, .. }
            | Event::BrokerDue { gate, .. } => Some(*gate),
        }
    }
}

/// What the world carries out.
pub enum Out {
    At(f64, Event),
    /// To the holder of a slot.
    Borrow {
        gate: usize,
        slot: Slot,
        request: LeaseRequest,
    },
    /// A broker's answer, under the token that it holds now.
    Tell {
        gate: usize,
        to: String,
        run: u64,
        slot: Slot,
        seq: u64,
        answer: BrokerAnswer,
    },
    /// A client's answer: when it came, which customer, let in or not.
    Answered {
        sent: f64,
        gate: usize,
        customer: usize,
        ok: bool,
    },
}

/// What was counted since the measurement began.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Tally {
    pub tries: u64,
    pub sent: u64,
    pub refused: u64,
    /// Let in beyond the quota.
    pub beyond: u64,
    /// Refused with half of the burst or more unused.
    pub with_room: u64,
    /// Calls that came to the counter, those it took, and calls to brokers.
    pub calls: u64,
    pub taken: u64,
    pub brokered: u64,
    pub by_cause: BTreeMap<&'static str, u64>,
}
