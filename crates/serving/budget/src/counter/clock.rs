//! A logical clock derived from the clock readings in limiters' requests, and the newest incarnation of each limiter.

use crate::{LimiterId, Millis};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Maximum time by which one request advances its sender's clock. Bounds the effect of a clock that jumps.
const MAX_STEP_MS: Millis = 10_000;
/// Maximum lag of a sender's elapsed time behind the logical clock.
const MAX_LAG_MS: Millis = 10_000;
/// Maximum number of recorded senders. Beyond it, the sender with the least elapsed time is evicted.
const MAX_SENDERS: usize = 1_024;

/// A machine whose limiter sends requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Sender {
    /// The newest incarnation seen.
    incarnation: u64,
    /// The highest clock reading of that incarnation.
    reading: Millis,
    /// Logical time that this sender's readings have reached.
    elapsed: Millis,
}

/// A clock that advances to the highest elapsed time of any sender.
///
/// Replicas must not read a clock of their own, so each sender's elapsed time advances by the differences between the
/// clock readings in its requests. Neither a wrong clock nor one that is stepped makes the logical clock run ahead.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct LogicalClock {
    senders: BTreeMap<Box<str>, Sender>,
    now: Millis,
}

impl LogicalClock {
    /// Records the clock reading of a limiter's request and returns the logical time.
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
            self.evict_slowest();
        }
        let sender = Sender {
            incarnation: limiter.incarnation,
            reading,
            elapsed: self.now,
        };
        self.senders.insert(limiter.node.as_str().into(), sender);
    }

    fn evict_slowest(&mut self) {
        let slowest = self.senders.iter().min_by_key(|(_, sender)| sender.elapsed);
        if let Some(node) = slowest.map(|(node, _)| node.clone()) {
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
