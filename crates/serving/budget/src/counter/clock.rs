//! The machines that send requests: the newest incarnation of each, and the time that their clocks imply.

use crate::{LimiterId, Millis};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Maximum time between two requests of one sender. Bounds the effect of a clock that jumps.
const MAX_STEP_MS: Millis = 10_000;
/// A sender's time never lags further behind that of the others.
const MAX_LAG_MS: Millis = 10_000;
/// Maximum number of recorded senders; the one with the least time elapsed is evicted.
const MAX_SENDERS: usize = 1_024;

/// One machine that sends requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Sender {
    /// The newest incarnation.
    incarnation: u64,
    /// The latest reading of that incarnation's clock.
    reading: Millis,
    /// Time that elapsed for this sender.
    elapsed: Millis,
}

/// All senders, and the most time that elapsed for one of them.
///
/// Replicas must not read a clock of their own, so time advances with what requests carry: for each sender by the
/// differences of its readings. Neither a wrong clock nor one that is stepped makes it run ahead.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct LogicalClock {
    senders: BTreeMap<Box<str>, Sender>,
    now: Millis,
}

impl LogicalClock {
    /// Records a sender's reading and returns the time.
    pub(crate) fn observe(&mut self, limiter: &LimiterId, reading: Millis) -> Millis {
        let now = self.now;
        let Some(sender) = self.senders.get_mut(limiter.node.as_str()) else {
            self.register(limiter, reading);
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

    /// Whether a newer incarnation of the limiter has sent a request.
    pub(crate) fn is_superseded(&self, limiter: &LimiterId) -> bool {
        let sender = self.senders.get(limiter.node.as_str());
        sender.is_some_and(|sender| sender.incarnation > limiter.incarnation)
    }

    fn register(&mut self, limiter: &LimiterId, reading: Millis) {
        if self.senders.len() >= MAX_SENDERS {
            self.evict_one();
        }
        let sender = Sender {
            incarnation: limiter.incarnation,
            reading,
            elapsed: self.now,
        };
        self.senders.insert(limiter.node.as_str().into(), sender);
    }

    fn evict_one(&mut self) {
        let furthest_behind = self.senders.iter().min_by_key(|(_, sender)| sender.elapsed);
        if let Some(node) = furthest_behind.map(|(node, _)| node.clone()) {
            self.senders.remove(&node);
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
