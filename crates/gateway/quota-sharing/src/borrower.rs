//! The borrower: routes each add of a limiter to a broker or to the counter, depending on the brokers' health.

use crate::{BrokerAnswer, CounterCall, Settings, Slot};
use dunespur_decisions::types::CounterReply;
use std::collections::{BTreeMap, BTreeSet};

/// Consecutive `Unavailable` answers of a broker after which the borrower calls the counter itself.
const MAX_UNAVAILABLE: u32 = 8;
/// Time-out of a broker as a part of the counter's time-out: leaves time to call the counter afterwards.
const TIMEOUT_RATIO: f64 = 0.5;
/// Longest backoff from a broker that keeps failing, as a multiple of the configured backoff.
const MAX_BACKOFF: f64 = 8.0;
/// Most doublings in the calculation of the backoff.
const MAX_DOUBLINGS: u32 = 8;

/// Destination of a call.
#[derive(Clone, Debug, PartialEq)]
pub enum Route {
    /// To the counter itself.
    Counter,
    /// To the broker of this shard.
    Broker(Slot),
}

/// Recent health of a broker.
#[derive(Clone, Debug, Default)]
struct BrokerHealth {
    /// Calls sent to the broker and not answered yet.
    in_flight: u32,
    /// Consecutive failures.
    failures: u32,
    /// Consecutive `Unavailable` answers.
    unavailable: u32,
    /// Time before which the broker is not called.
    retry_at: f64,
}

#[derive(Clone, Debug)]
struct PendingCall {
    name: u64,
    /// The broker that has the call; `None` if the counter has it.
    broker: Option<Slot>,
    add: f64,
    lifetime: f64,
    sent_at: f64,
}

/// Number of pending calls on a name and their destination, which later calls on the name share.
#[derive(Clone, Debug)]
struct NameRoute {
    calls: u32,
    broker: Option<Slot>,
}

/// Routes the adds of one limiter. Times are seconds on the limiter's clock; `jitter` is a random number from 0 to 1
/// that staggers the retries of different limiters.
#[derive(Clone, Debug)]
pub struct Borrower {
    backoff: f64,
    /// Time to wait for a broker's answer before the counter is called.
    broker_timeout: f64,
    brokers: BTreeMap<Slot, BrokerHealth>,
    calls: BTreeMap<u64, PendingCall>,
    /// The calls that wait for a broker; numbers ascend with the time of sending.
    at_brokers: BTreeSet<u64>,
    names: BTreeMap<u64, NameRoute>,
    /// Number of answers that arrived after their call had ended.
    pub late_answers: u64,
    /// Number of calls sent to brokers.
    pub sent_to_brokers: u64,
    /// Number of calls sent to the counter without trying a broker.
    pub sent_to_counter: u64,
}

impl Borrower {
    /// A borrower that has not called any broker yet.
    #[must_use]
    pub fn new(settings: &Settings) -> Self {
        Borrower {
            backoff: settings.broker_backoff,
            broker_timeout: settings.counter_timeout * TIMEOUT_RATIO,
            brokers: BTreeMap::new(),
            calls: BTreeMap::new(),
            at_brokers: BTreeSet::new(),
            names: BTreeMap::new(),
            late_answers: 0,
            sent_to_brokers: 0,
            sent_to_counter: 0,
        }
    }

    /// Routes a call; `has_broker` tells whether the holder of the slot is known.
    pub fn route(&mut self, call: CounterCall, slot: Slot, has_broker: bool, now: f64) -> Route {
        let health = self.brokers.entry(slot).or_default();
        // A broker that failed is probed with a single call first.
        let may_call = health.failures == 0 || health.in_flight == 0;
        let is_usable = has_broker && now >= health.retry_at && may_call;
        // Guards against answers that overtake each other: all pending calls on a name have the same destination.
        let broker = match self.names.get(&call.name) {
            Some(route) if route.calls > 0 => route.broker,
            _ => is_usable.then_some(slot),
        };
        let route = self.names.entry(call.name);
        let route = route.or_insert(NameRoute { calls: 0, broker });
        route.calls += 1;
        route.broker = broker;
        let pending = PendingCall {
            name: call.name,
            broker,
            add: call.add,
            lifetime: call.lifetime,
            sent_at: now,
        };
        self.calls.insert(call.call, pending);
        let Some(slot) = broker else {
            self.sent_to_counter += 1;
            return Route::Counter;
        };
        self.sent_to_brokers += 1;
        self.at_brokers.insert(call.call);
        self.brokers.entry(slot).or_default().in_flight += 1;
        Route::Broker(slot)
    }

    /// Removes a call and returns it.
    fn finish(&mut self, call: u64) -> Option<PendingCall> {
        let pending = self.calls.remove(&call)?;
        self.at_brokers.remove(&call);
        if let Some(route) = self.names.get_mut(&pending.name) {
            route.calls -= 1;
            if route.calls == 0 {
                self.names.remove(&pending.name);
            }
        }
        if let Some(slot) = pending.broker {
            self.release_broker(slot);
        }
        Some(pending)
    }

    fn release_broker(&mut self, slot: Slot) {
        if let Some(health) = self.brokers.get_mut(&slot) {
            health.in_flight = health.in_flight.saturating_sub(1);
        }
    }

    /// Time at which the next broker's answer is overdue.
    #[must_use]
    pub fn next_due(&self) -> f64 {
        let first = self.at_brokers.first();
        let first = first.and_then(|call| self.calls.get(call));
        first.map_or(f64::INFINITY, |call| call.sent_at + self.broker_timeout)
    }

    /// Calls whose broker's answer is overdue, with all other calls on their names: the caller sends them to the
    /// counter. Units that the broker may have added nevertheless expire at the counter; every invocation is still
    /// decided with a reply of the counter.
    pub fn take_overdue(&mut self, jitter: f64, now: f64) -> Vec<CounterCall> {
        let mut rerouted = Vec::new();
        while now >= self.next_due() {
            let first = self.at_brokers.first();
            let first = first.and_then(|call| self.calls.get(call));
            let Some((name, Some(slot))) = first.map(|call| (call.name, call.broker)) else {
                break;
            };
            self.record_failure(slot, jitter, now);
            self.reroute_name(name, slot, &mut rerouted);
        }
        rerouted
    }

    /// Reroutes all calls on a name from their broker to the counter.
    fn reroute_name(&mut self, name: u64, slot: Slot, rerouted: &mut Vec<CounterCall>) {
        let on_name = |call: &&u64| self.calls[*call].name == name;
        let calls: Vec<u64> = self.at_brokers.iter().filter(on_name).copied().collect();
        for call in calls {
            self.at_brokers.remove(&call);
            let Some(pending) = self.calls.get_mut(&call) else {
                continue;
            };
            pending.broker = None;
            rerouted.push(CounterCall {
                call,
                name,
                add: pending.add,
                lifetime: pending.lifetime,
            });
            self.release_broker(slot);
        }
        if let Some(route) = self.names.get_mut(&name) {
            route.broker = None;
        }
    }

    fn record_failure(&mut self, slot: Slot, jitter: f64, now: f64) {
        let health = self.brokers.entry(slot).or_default();
        let doublings = health.failures.min(MAX_DOUBLINGS);
        let factor = f64::from(1u32 << doublings).min(MAX_BACKOFF);
        health.failures += 1;
        health.retry_at = now + self.backoff * factor * (0.75 + jitter / 2.0);
    }

    /// Whether a call waits for a broker.
    #[must_use]
    pub fn is_at_broker(&self, call: u64) -> bool {
        self.calls
            .get(&call)
            .is_some_and(|pending| pending.broker.is_some())
    }

    /// Ends a call that was sent to the counter.
    pub fn counter_answered(&mut self, call: u64) {
        self.finish(call);
    }

    /// Processes a broker's answer whose token has passed the caller's fencing check. Returns the reply for the limiter
    /// in the counter's place, or `None` if the limiter has to keep waiting or no longer waits.
    pub fn broker_answered(
        &mut self,
        call: u64,
        answer: BrokerAnswer,
        jitter: f64,
        now: f64,
    ) -> Option<CounterReply> {
        if !self.is_at_broker(call) {
            self.late_answers += u64::from(answer != BrokerAnswer::Pending);
            return None;
        }
        if answer == BrokerAnswer::Pending {
            // The broker is calling the counter: the call now has the counter's time-out.
            self.at_brokers.remove(&call);
            return None;
        }
        let slot = self.finish(call)?.broker?;
        let health = self.brokers.entry(slot).or_default();
        health.failures = 0;
        match answer {
            BrokerAnswer::Total(total) if total.is_finite() => {
                health.unavailable = 0;
                Some(CounterReply::Total(total))
            }
            _ => {
                health.unavailable += 1;
                if health.unavailable >= MAX_UNAVAILABLE {
                    health.unavailable = 0;
                    health.retry_at = now + self.backoff * (0.75 + jitter / 2.0);
                }
                Some(CounterReply::Refused)
            }
        }
    }

    /// Drops a call whose result is no longer awaited; a broker that has it counts as failed.
    pub fn abandon(&mut self, call: u64, jitter: f64, now: f64) {
        if let Some(slot) = self.finish(call).and_then(|pending| pending.broker) {
            self.record_failure(slot, jitter, now);
        }
    }
}
