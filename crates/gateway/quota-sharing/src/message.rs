//! What borrowers request, what a broker answers, and what it wants done. The encoding goes by position and
//! order: fields and variants keep theirs.

use crate::{Name, Slot};
use dunespur_decisions::types::AddContext;
use serde::{Deserialize, Serialize};

/// Amounts from here on are taken for none.
const MAX_AMOUNT: f64 = 1e12;

/// An add to a name of the counter.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CounterCall {
    /// The call's number.
    pub call: u64,
    /// The counter's name.
    pub name: u64,
    /// Units to add.
    pub add: f64,
    /// How long the counter keeps the name, in seconds.
    pub lifetime: f64,
}

/// One add that a limiter would make at the counter. Units, and units a second.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// The borrower's number for it.
    pub seq: u64,
    /// The counter's name.
    pub name: u64,
    /// Hash of the customer.
    pub customer: u64,
    /// What is added, with earlier units that go back or are reported.
    pub add: f64,
    /// What is requested, a part of the add; 0 for a correction.
    pub requested: f64,
    /// Less than this serves nobody.
    pub minimum: f64,
    /// How long the counter keeps the name, in seconds.
    pub lifetime: f64,
    /// The name is full at so many units now.
    pub limit: f64,
    /// The limit grows by so many units a second from now on.
    pub limit_rate: f64,
    /// The part of the time that the name is in use that is over, from 0 to 1.
    pub elapsed: f64,
    /// For so many seconds more it will be in use.
    pub remaining: f64,
}

impl LeaseRequest {
    /// What the decisions want added, `since_start` seconds after the name came into use.
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

    /// Amounts that are no amounts are refused altogether.
    pub(crate) fn is_sound(&self) -> bool {
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

/// What a broker answers.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum Answer {
    /// The name's total, this add in it, as the counter would have said.
    Total(f64),
    /// Nothing was added: this broker can't.
    Unavailable,
    /// It lives and calls the counter first.
    Pending,
}

/// Between borrowers and brokers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// To the broker.
    Request {
        /// The customer's shard.
        slot: Slot,
        /// The borrower's run.
        run: u64,
        /// What it wants added.
        request: LeaseRequest,
    },
    /// To the borrower.
    Response {
        /// The customer's shard.
        slot: Slot,
        /// The broker's fencing token.
        token: u64,
        /// The borrower's run.
        run: u64,
        /// The request's number.
        seq: u64,
        /// The answer.
        answer: Answer,
    },
}

/// What a broker wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Answer a borrower.
    Respond {
        /// The borrower's name.
        to: Name,
        /// Its run.
        run: u64,
        /// The customer's shard.
        slot: Slot,
        /// The request's number.
        seq: u64,
        /// The answer.
        answer: Answer,
    },
    /// A call to the counter, whose end comes back by its number.
    CallCounter {
        /// The call's number.
        call: u64,
        /// The counter's name.
        name: u64,
        /// Units to add.
        add: f64,
        /// How long the counter keeps the name, in seconds.
        lifetime: f64,
    },
    /// Nobody waits for that call any more.
    AbandonCall {
        /// The call's number.
        call: u64,
    },
}
