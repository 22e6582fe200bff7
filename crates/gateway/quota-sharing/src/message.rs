//! Messages between borrowers and brokers, and the outputs of a broker. The encoding depends on the order of fields
//! and variants, which therefore must not change.

use crate::{Name, Slot};
use dunespur_decisions::types::AddContext;
use serde::{Deserialize, Serialize};

/// Requests with amounts of this size or more are rejected as malformed.
const MAX_AMOUNT: f64 = 1e12;

/// An add to a name at the counter.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CounterCall {
    /// Number of the call.
    pub call: u64,
    /// Name at the counter.
    pub name: u64,
    /// Units to add; negative to return some.
    pub add: f64,
    /// Time for which the counter keeps the name, seconds.
    pub lifetime: f64,
}

/// A limiter's add, sent to a broker instead of the counter. Amounts are units.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// The borrower's number of the request.
    pub seq: u64,
    /// Name at the counter.
    pub name: u64,
    /// Hash of the customer.
    pub customer: u64,
    /// Units to add: those requested, plus those reported, less those returned.
    pub add: f64,
    /// The part of the add that requests new units; 0 for a correction.
    pub requested: f64,
    /// Fewest units that cover one invocation; a smaller grant is useless.
    pub minimum: f64,
    /// Time for which the counter keeps the name, seconds.
    pub lifetime: f64,
    /// Present limit of the name.
    pub limit: f64,
    /// Growth of the limit, units per second.
    pub limit_rate: f64,
    /// Elapsed part of the name's window, from 0 to 1.
    pub elapsed: f64,
    /// Time left of the name's window, seconds.
    pub remaining: f64,
}

impl LeaseRequest {
    /// Builds the request for a limiter's add, `since_start` seconds after the start of the name's window.
    #[must_use]
    pub fn new(call: CounterCall, context: &AddContext, since_start: f64) -> Self {
        LeaseRequest {
            seq: call.call,
            name: call.name,
            customer: context.customer,
            add: call.add,
            requested: context.requested,
            minimum: context.min_units,
            lifetime: call.lifetime,
            limit: context.limit + context.limit_rate * since_start.max(0.0),
            limit_rate: context.limit_rate,
            elapsed: (since_start / context.window_length.max(1e-9)).clamp(0.0, 1.0),
            remaining: (context.window_length - since_start).max(0.0),
        }
    }

    /// Whether all amounts are finite and within their ranges.
    pub(crate) fn is_valid(&self) -> bool {
        let amounts = [
            self.add,
            self.requested,
            self.minimum,
            self.lifetime,
            self.limit,
            self.limit_rate,
            self.elapsed,
            self.remaining,
        ];
        amounts
            .iter()
            .all(|amount| amount.is_finite() && amount.abs() < MAX_AMOUNT)
            && self.requested >= 0.0
            && self.minimum >= 0.0
            && self.limit_rate >= 0.0
            && self.lifetime > 0.0
    }
}

/// A broker's answer to a lease request.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum BrokerAnswer {
    /// The name's total after the add, as the counter would have replied.
    Total(f64),
    /// Nothing was added: the broker cannot serve the request.
    Unavailable,
    /// The broker is alive and has to call the counter first.
    Pending,
}

/// A message between a borrower and a broker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// From a borrower to the broker.
    Request {
        /// Shard of the customer.
        slot: Slot,
        /// Incarnation of the borrower's process.
        run: u64,
        /// The add to make.
        request: LeaseRequest,
    },
    /// From the broker to a borrower.
    Response {
        /// Shard of the customer.
        slot: Slot,
        /// The broker's fencing token.
        token: u64,
        /// Incarnation of the borrower's process.
        run: u64,
        /// Number of the request.
        seq: u64,
        /// The broker's answer.
        answer: BrokerAnswer,
    },
}

/// An instruction of a broker to its owner.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send an answer to a borrower.
    Respond {
        /// Name of the borrower.
        to: Name,
        /// Incarnation of the borrower's process.
        run: u64,
        /// Shard of the customer.
        slot: Slot,
        /// Number of the request.
        seq: u64,
        /// The broker's answer.
        answer: BrokerAnswer,
    },
    /// Call the counter and report the reply with [`crate::Broker::counter_answered`].
    CallCounter {
        /// Number of the call.
        call: u64,
        /// Name at the counter.
        name: u64,
        /// Units to add; negative to return some.
        add: f64,
        /// Time for which the counter keeps the name, seconds.
        lifetime: f64,
    },
    /// Drop a call to the counter whose reply is no longer awaited.
    AbandonCall {
        /// Number of the call.
        call: u64,
    },
}
