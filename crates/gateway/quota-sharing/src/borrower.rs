//! A limiter's side of the role `lend`: where each of its adds goes, by how the brokers answer.

use crate::{Answer, CounterCall, Settings, Slot};
use dunespur_decisions::types::CounterReply;
use std::collections::{BTreeMap, BTreeSet};

/// Answers in a row without the counter behind them after which a borrower calls the counter itself.
const MAX_UNAVAILABLE: u32 = 8;
/// A borrower waits this part of the broker's own wait, then it calls the counter: both fit into its time.
const TIMEOUT_RATIO: f64 = 0.5;
/// A broker that goes on failing is left alone up to so many times the stated backoff.
const MAX_BACKOFF: f64 = 8.0;
/// Doublings after which the backoff grows no more.
const MAX_DOUBLINGS: u32 = 8;

/// Where a call goes.
#[derive(Clone, Debug, PartialEq)]
pub enum Route {
    /// To the counter itself.
    Counter,
    /// To the broker of this shard.
    Broker(Slot),
}

/// How a broker has answered lately.
#[derive(Clone, Debug, Default)]
struct BrokerHealth {
    /// Calls that are out at it.
    in_flight: u32,
    /// Failed in a row.
    failures: u32,
    /// Answers in a row without the counter behind them.
    unavailable: u32,
    /// Until when it is left alone.
    retry_at: f64,
}

#[derive(Clone, Debug)]
struct PendingCall {
    name: u64,
    /// The broker that has it; else the counter.
    broker: Option<Slot>,
    add: f64,
    lifetime: f64,
    sent: f64,
}

/// Calls that are out on a name, and where they went: later ones follow them.
#[derive(Clone, Debug)]
struct NameRoute {
    calls: u32,
    broker: Option<Slot>,
}

/// A limiter's side. Times are seconds on its own clock; `jitter` is from 0 to 1 and spreads limiters out.
#[derive(Clone, Debug)]
pub struct Borrower {
    backoff: f64,
    /// A broker's answer is awaited this long, then the counter is called.
    broker_timeout: f64,
    brokers: BTreeMap<Slot, BrokerHealth>,
    calls: BTreeMap<u64, PendingCall>,
    /// Of them, those at brokers; their numbers grow with time.
    at_brokers: BTreeSet<u64>,
    names: BTreeMap<u64, NameRoute>,
    /// Answers that nobody waited for.
    pub late_answers: u64,
    /// Calls that went to brokers.
    pub sent_to_brokers: u64,
    /// Calls that went to the counter at once.
    pub sent_to_counter: u64,
}

impl Borrower {
    /// One that knows of no broker yet.
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

    /// Where this call goes; `has_broker` says whether the slot's owner is known.
    pub fn route(&mut self, call: CounterCall, slot: Slot, has_broker: bool, now: f64) -> Route {
        let health = self.brokers.entry(slot).or_default();
        // One that failed is tried with one call first.
        let usable = health.failures == 0 || health.in_flight == 0;
        let open = has_broker && now >= health.retry_at && usable;
        // Guards against answers that overtake each other: calls on one name stay together.
        let broker = match self.names.get(&call.name) {
            Some(route) if route.calls > 0 => route.broker,
            _ => open.then_some(slot),
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
            sent: now,
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

    /// Forgets a call; returns it as it was.
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
            self.left_broker(slot);
        }
        Some(pending)
    }

    fn left_broker(&mut self, slot: Slot) {
        if let Some(health) = self.brokers.get_mut(&slot) {
            health.in_flight = health.in_flight.saturating_sub(1);
        }
    }

    /// When a broker's answer is overdue.
    #[must_use]
    pub fn next_due(&self) -> f64 {
        let first = self.at_brokers.first().and_then(|c| self.calls.get(c));
        first.map_or(f64::INFINITY, |call| call.sent + self.broker_timeout)
    }

    /// Calls whose broker is overdue, with all others on their names: they go to the counter now. What the
    /// broker may have added all the same expires at the counter; no invocation is decided blind for it.
    pub fn take_overdue(&mut self, jitter: f64, now: f64) -> Vec<CounterCall> {
        let mut rerouted = Vec::new();
        while now >= self.next_due() {
            let first = self.at_brokers.first().and_then(|c| self.calls.get(c));
            let Some((name, Some(slot))) = first.map(|call| (call.name, call.broker)) else {
                break;
            };
            self.record_failure(slot, jitter, now);
            self.reroute_name(name, slot, &mut rerouted);
        }
        rerouted
    }

    /// All calls on a name leave their broker for the counter.
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
            self.left_broker(slot);
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

    /// Whether a call is at a broker.
    #[must_use]
    pub fn is_at_broker(&self, call: u64) -> bool {
        self.calls
            .get(&call)
            .is_some_and(|pending| pending.broker.is_some())
    }

    /// A call that went to the counter has ended.
    pub fn counter_answered(&mut self, call: u64) {
        self.finish(call);
    }

    /// A broker's answer, whose token the caller's fencing check has accepted. Returns what the limiter hears
    /// in the counter's place, if it waits.
    pub fn broker_answered(
        &mut self,
        call: u64,
        answer: Answer,
        jitter: f64,
        now: f64,
    ) -> Option<CounterReply> {
        if !self.is_at_broker(call) {
            self.late_answers += u64::from(answer != Answer::Pending);
            return None;
        }
        if answer == Answer::Pending {
            // It goes on waiting, for as long as it would for the counter.
            self.at_brokers.remove(&call);
            return None;
        }
        let slot = self.finish(call)?.broker?;
        let health = self.brokers.entry(slot).or_default();
        health.failures = 0;
        match answer {
            Answer::Total(total) if total.is_finite() => {
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

    /// Nobody waits for this call any more.
    pub fn abandon(&mut self, call: u64, jitter: f64, now: f64) {
        if let Some(slot) = self.finish(call).and_then(|pending| pending.broker) {
            self.record_failure(slot, jitter, now);
        }
    }
}
