//! The machines that send requests: which life of each is the newest, and the time as their clocks tell it.

use crate::{LimiterId, Millis};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Most time that passes between two requests of one sender: against a clock that jumps.
const MAX_STEP_MS: Millis = 10_000;
/// A sender's time never lags further behind that of the others.
const MAX_LAG_MS: Millis = 10_000;
/// Senders remembered; the one heard longest ago gives way.
const MAX_SENDERS: usize = 1_024;

/// One machine that sends requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Sender {
    /// The newest life seen.
    incarnation: u64,
    /// The furthest reading of that life's clock.
    reading: Millis,
    /// Time that passed for this sender.
    elapsed: Millis,
}

/// All senders, and the time that passed for the one that has seen most.
///
/// Replicas may not look at a clock of their own, so time advances with what requests carry: for each sender by
/// the differences of its readings. Neither a clock that is wrong nor one that is stepped makes it run ahead.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Senders {
    by_node: BTreeMap<Box<str>, Sender>,
    now: Millis,
}

impl Senders {
    /// Takes note of a sender's reading and tells the time.
    pub(crate) fn hear(&mut self, limiter: &LimiterId, reading: Millis) -> Millis {
        let now = self.now;
        let Some(sender) = self.by_node.get_mut(limiter.node.as_str()) else {
            self.enrol(limiter, reading);
            return now;
        };
        if limiter.incarnation > sender.incarnation {
            sender.incarnation = limiter.incarnation;
            sender.reading = reading;
        }
        if limiter.incarnation == sender.incarnation {
            sender.advance(reading, now);
        }
        self.now = now.max(sender.elapsed);
        self.now
    }

    /// Whether a newer life of the limiter's machine has been heard.
    pub(crate) fn superseded(&self, limiter: &LimiterId) -> bool {
        let sender = self.by_node.get(limiter.node.as_str());
        sender.is_some_and(|sender| sender.incarnation > limiter.incarnation)
    }

    fn enrol(&mut self, limiter: &LimiterId, reading: Millis) {
        if self.by_node.len() >= MAX_SENDERS {
            self.forget_one();
        }
        let sender = Sender {
            incarnation: limiter.incarnation,
            reading,
            elapsed: self.now,
        };
        self.by_node.insert(limiter.node.as_str().into(), sender);
    }

    fn forget_one(&mut self) {
        let longest = self.by_node.iter().min_by_key(|(_, sender)| sender.elapsed);
        if let Some(name) = longest.map(|(name, _)| name.clone()) {
            self.by_node.remove(&name);
        }
    }
}

impl Sender {
    fn advance(&mut self, reading: Millis, now: Millis) {
        let step = reading.saturating_sub(self.reading).min(MAX_STEP_MS);
        self.reading = self.reading.max(reading);
        self.elapsed = (self.elapsed + step).max(now.saturating_sub(MAX_LAG_MS));
    }
}
