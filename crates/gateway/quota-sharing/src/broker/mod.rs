//! The broker: takes requests, keeps time, forgets what was not requested lately.

mod blocks;
mod fairness;
mod leased_name;

use crate::{Answer, LeaseRequest, Output, Settings, Slot};
use dunespur_decisions::types::CounterReply;
use fairness::Customer;
use leased_name::{LeasedName, WaitingRequest};
use std::collections::BTreeMap;

/// Least that is worth a call of its own to give back, in units.
const MIN_RETURN: f64 = 0.5;
/// Least part of a window that counts as left.
const MIN_REMAINING_RATIO: f64 = 0.05;
/// Demand windows after which what was not requested is forgotten.
const RETENTION_WINDOWS: f64 = 4.0;

/// A call to the counter that is out.
#[derive(Clone, Copy, Debug)]
struct OpenCall {
    name: u64,
    since: f64,
}

/// The side of the role's owner, over all its shards. Times are seconds on its own clock.
#[derive(Clone, Debug)]
pub struct Broker {
    settings: Settings,
    names: BTreeMap<u64, LeasedName>,
    customers: BTreeMap<u64, Customer>,
    /// Numbers grow with time.
    calls: BTreeMap<u64, OpenCall>,
    last_call: u64,
    last_sweep: f64,
    last_flush: f64,
    /// Requests that could not be taken: unsound, or over a bound.
    pub rejected: u64,
}

impl Broker {
    /// Its calls are numbered from `first_call` on.
    #[must_use]
    pub fn new(settings: Settings, first_call: u64) -> Self {
        Broker {
            settings,
            names: BTreeMap::new(),
            customers: BTreeMap::new(),
            calls: BTreeMap::new(),
            last_call: first_call,
            last_sweep: f64::NEG_INFINITY,
            last_flush: f64::NEG_INFINITY,
            rejected: 0,
        }
    }

    /// How many names it remembers.
    #[must_use]
    pub fn name_count(&self) -> usize {
        self.names.len()
    }

    /// How many customers it remembers.
    #[must_use]
    pub fn customer_count(&self) -> usize {
        self.customers.len()
    }

    /// How many borrowers it remembers of the customer that has the most.
    #[must_use]
    pub fn most_borrowers(&self) -> usize {
        let counts = self.customers.values().map(|c| c.borrowers.len());
        counts.max().unwrap_or(0)
    }

    /// Units counted at the counter and sub-leased to nobody, over all names.
    #[must_use]
    pub fn unleased_units(&self) -> f64 {
        self.names.values().map(|name| name.block.max(0.0)).sum()
    }

    /// A limiter requests units. The caller has seen that this one holds the slot.
    pub fn request(
        &mut self,
        from: &str,
        run: u64,
        slot: Slot,
        request: LeaseRequest,
        now: f64,
        out: &mut Vec<Output>,
    ) {
        let waiting = WaitingRequest {
            from: from.into(),
            run,
            slot,
            request,
            received: now,
            notified: false,
        };
        if !request.is_sound() || !self.has_capacity(request.name, now, out) {
            return self.reject(waiting, out);
        }
        if request.requested > 0.0 {
            self.borrower(request.customer, from, now).demand += request.minimum;
        }
        if !self.names.contains_key(&request.name) {
            let name = self.follow_last_name(&request, now);
            self.names.insert(request.name, name);
        }
        if let Some(customer) = self.customers.get_mut(&request.customer) {
            customer.last_name = request.name;
        }
        let max_waiting = self.settings.max_waiting;
        let name = self.names.entry(request.name).or_default();
        if name.waiting.len() >= max_waiting {
            return self.reject(waiting, out);
        }
        name.update(slot, &request, now);
        // In turn: a limiter's adds to one name must not overtake each other.
        name.waiting.push_back(waiting);
        self.serve(request.name, now, out);
    }

    fn reject(&mut self, waiting: WaitingRequest, out: &mut Vec<Output>) {
        self.rejected += 1;
        out.push(waiting.respond(Answer::Unavailable));
    }

    /// Whether one more name can be remembered, if it is a new one.
    fn has_capacity(&mut self, name: u64, now: f64, out: &mut Vec<Output>) -> bool {
        let max_names = self.settings.max_names;
        if self.names.contains_key(&name) || self.names.len() < max_names {
            return true;
        }
        self.sweep(now, out);
        self.names.len() < max_names
    }

    /// A new name starts at nothing. Each limiter brings over what it believes, which is old; here the
    /// capacity that the one before has left is known.
    fn follow_last_name(&self, request: &LeaseRequest, now: f64) -> LeasedName {
        let customer = self.customers.get(&request.customer);
        let last = customer.and_then(|c| self.names.get(&c.last_name));
        let grows = request.limit_rate > 0.0;
        let left = last.and_then(|name| name.remaining_units(now));
        let left = left.filter(|_| grows);
        LeasedName {
            min_total: left.map(|left| request.limit - left.max(0.0)),
            paced: !grows && last.is_some_and(|name| name.was_full),
            ..LeasedName::default()
        }
    }

    /// When [`Broker::tick`] is due.
    #[must_use]
    pub fn next_due(&self) -> f64 {
        let call = self.calls.first_key_value();
        let call = call.map_or(f64::INFINITY, |(_, open)| {
            open.since + self.settings.counter_timeout
        });
        let flush = if self.names.is_empty() {
            f64::INFINITY
        } else {
            self.last_flush + self.settings.reread_interval
        };
        call.min(flush)
    }

    /// Does what is due: calls that the counter did not answer end, debts are reported, old names go.
    pub fn tick(&mut self, now: f64, out: &mut Vec<Output>) {
        let timeout = self.settings.counter_timeout;
        while let Some((&call, open)) = self.calls.first_key_value() {
            if now < open.since + timeout {
                break;
            }
            out.push(Output::AbandonCall { call });
            self.counter_answered(call, CounterReply::NoReply, now, out);
        }
        let interval = self.settings.reread_interval;
        if now >= self.last_flush + interval {
            // What was let in without the counter is reported, requested or not.
            self.last_flush = now;
            let owes = |name: &LeasedName| {
                name.block <= -MIN_RETURN
                    && name.open_add.is_none()
                    && now > name.last_request + interval
            };
            let due = self.names.iter().filter(|(_, name)| owes(name));
            let due: Vec<u64> = due.map(|(id, _)| *id).collect();
            due.into_iter().for_each(|name| self.refill(name, now, out));
        }
        if now >= self.last_sweep + self.settings.demand_window {
            self.sweep(now, out);
        }
    }

    /// Forgets what was not requested lately; what is left of a block goes back.
    fn sweep(&mut self, now: f64, out: &mut Vec<Output>) {
        self.last_sweep = now;
        let retention = self.settings.demand_window * RETENTION_WINDOWS;
        let idle = |name: &LeasedName| {
            name.open_add.is_none()
                && name.waiting.is_empty()
                && now > name.last_request + retention
        };
        let old = self.names.iter().filter(|(_, name)| idle(name));
        let old: Vec<u64> = old.map(|(id, _)| *id).collect();
        old.into_iter()
            .for_each(|name| self.return_block(name, out));
        for customer in self.customers.values_mut() {
            customer
                .borrowers
                .retain(|_, borrower| now < borrower.updated + retention);
        }
        self.customers
            .retain(|_, customer| !customer.borrowers.is_empty());
    }

    fn return_block(&mut self, id: u64, out: &mut Vec<Output>) {
        let Some(name) = self.names.remove(&id) else {
            return;
        };
        // A name whose limit does not grow ends with its window, and what is left of it too.
        if name.block >= MIN_RETURN && name.limit_rate > 0.0 {
            self.last_call += 1;
            out.push(Output::CallCounter {
                call: self.last_call,
                name: id,
                add: -name.block,
                lifetime: name.lifetime,
            });
        }
    }

    /// The slot is another's now, or nobody's: no more is sub-leased, what is left goes back.
    pub fn slot_lost(&mut self, slot: Slot, out: &mut Vec<Output>) {
        let names = self.names.iter().filter(|(_, name)| name.slot == slot);
        let names: Vec<u64> = names.map(|(id, _)| *id).collect();
        for id in names {
            if let Some(name) = self.names.get_mut(&id) {
                let waiting = std::mem::take(&mut name.waiting).into_iter();
                out.extend(waiting.map(|w| w.respond(Answer::Unavailable)));
            }
            self.return_block(id, out);
        }
    }
}
