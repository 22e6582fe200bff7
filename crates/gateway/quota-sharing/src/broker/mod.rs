//! The broker: accepts requests, handles time-outs, and forgets names and borrowers without recent requests.

mod blocks;
mod fairness;
mod leased_name;

use crate::{BrokerAnswer, LeaseRequest, Output, Settings, Slot};
use dunespur_decisions::types::CounterReply;
use fairness::Customer;
use leased_name::{LeasedName, WaitingRequest};
use std::collections::BTreeMap;

/// Minimum number of units for which a call is made only to return or report them.
const MIN_RETURN: f64 = 0.5;
/// Lower bound of the remaining part of a window, from which the window's length is calculated.
const MIN_REMAINING_RATIO: f64 = 0.05;
/// Demand windows without a request after which a name or a borrower is forgotten.
const RETENTION_WINDOWS: f64 = 4.0;

/// A call to the counter that waits for a reply.
#[derive(Clone, Copy, Debug)]
struct OpenCall {
    name: u64,
    sent_at: f64,
}

/// The broker of all shards of the role `lend` that this process holds. Times are seconds on its own clock.
#[derive(Clone, Debug)]
pub struct Broker {
    settings: Settings,
    names: BTreeMap<u64, LeasedName>,
    customers: BTreeMap<u64, Customer>,
    /// Open calls by number; numbers ascend with the time of sending.
    calls: BTreeMap<u64, OpenCall>,
    last_call: u64,
    last_sweep: f64,
    last_flush: f64,
    /// Number of requests rejected as invalid or over a bound.
    pub rejected: u64,
}

impl Broker {
    /// A broker without any state, whose calls to the counter are numbered upwards from `first_call`.
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

    /// Number of counter names that the broker keeps.
    #[must_use]
    pub fn name_count(&self) -> usize {
        self.names.len()
    }

    /// Number of customers that the broker keeps.
    #[must_use]
    pub fn customer_count(&self) -> usize {
        self.customers.len()
    }

    /// Number of borrowers of the customer with the most borrowers.
    #[must_use]
    pub fn most_borrowers(&self) -> usize {
        let counts = self
            .customers
            .values()
            .map(|customer| customer.borrowers.len());
        counts.max().unwrap_or(0)
    }

    /// Units leased from the counter and not yet sub-leased, over all names.
    #[must_use]
    pub fn unleased_units(&self) -> f64 {
        self.names.values().map(|name| name.block.max(0.0)).sum()
    }

    /// Processes a limiter's request. The caller has checked that this process holds the slot.
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
        if !request.is_valid() || !self.has_capacity(request.name, now, out) {
            return self.reject(waiting, out);
        }
        if request.requested > 0.0 {
            self.borrower(request.customer, from, now).demand += request.minimum;
        }
        if !self.names.contains_key(&request.name) {
            let name = self.successor_of_last_name(&request, now);
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
        // Requests are served in order: a limiter's adds to one name must not overtake each other.
        name.waiting.push_back(waiting);
        self.serve(request.name, now, out);
    }

    fn reject(&mut self, waiting: WaitingRequest, out: &mut Vec<Output>) {
        self.rejected += 1;
        out.push(waiting.respond(BrokerAnswer::Unavailable));
    }

    /// Whether the name is already kept or there is room for a new one.
    fn has_capacity(&mut self, name: u64, now: f64, out: &mut Vec<Output>) -> bool {
        let max_names = self.settings.max_names;
        if self.names.contains_key(&name) || self.names.len() < max_names {
            return true;
        }
        self.sweep(now, out);
        self.names.len() < max_names
    }

    /// The state of a new name, whose total at the counter starts at 0. The limiters carry over a backlog that may be
    /// outdated, while the broker knows the units left under the customer's previous name.
    fn successor_of_last_name(&self, request: &LeaseRequest, now: f64) -> LeasedName {
        let customer = self.customers.get(&request.customer);
        let last = customer.and_then(|customer| self.names.get(&customer.last_name));
        let grows = request.limit_rate > 0.0;
        let remaining = last.and_then(|name| name.remaining_units(now));
        let remaining = remaining.filter(|_| grows);
        LeasedName {
            min_total: remaining.map(|remaining| request.limit - remaining.max(0.0)),
            paced: !grows && last.is_some_and(|name| name.was_full),
            ..LeasedName::default()
        }
    }

    /// Time at which [`Broker::tick`] is due.
    #[must_use]
    pub fn next_due(&self) -> f64 {
        let call = self.calls.first_key_value();
        let call = call.map_or(f64::INFINITY, |(_, open)| {
            open.sent_at + self.settings.counter_timeout
        });
        let flush = if self.names.is_empty() {
            f64::INFINITY
        } else {
            self.last_flush + self.settings.reread_interval
        };
        call.min(flush)
    }

    /// Ends calls that timed out, reports outstanding units to the counter, and forgets idle names.
    pub fn tick(&mut self, now: f64, out: &mut Vec<Output>) {
        let timeout = self.settings.counter_timeout;
        while let Some((&call, open)) = self.calls.first_key_value() {
            if now < open.sent_at + timeout {
                break;
            }
            out.push(Output::AbandonCall { call });
            self.counter_answered(call, CounterReply::NoReply, now, out);
        }
        let interval = self.settings.reread_interval;
        if now >= self.last_flush + interval {
            // Units that refused requests reported are passed on to the counter even if no further request comes.
            self.last_flush = now;
            let is_in_debt = |name: &LeasedName| {
                name.block <= -MIN_RETURN
                    && name.open_add.is_none()
                    && now > name.last_request + interval
            };
            let indebted = self.names.iter().filter(|(_, name)| is_in_debt(name));
            let indebted: Vec<u64> = indebted.map(|(id, _)| *id).collect();
            indebted
                .into_iter()
                .for_each(|name| self.refill(name, now, out));
        }
        if now >= self.last_sweep + self.settings.demand_window {
            self.sweep(now, out);
        }
    }

    /// Forgets names and borrowers without recent requests and returns the rest of their blocks.
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
        // A name whose limit does not grow expires with its window, so its units need not be returned.
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

    /// Stops sub-leasing for a slot that this process no longer holds, and returns the rest of its blocks.
    pub fn slot_lost(&mut self, slot: Slot, out: &mut Vec<Output>) {
        let names = self.names.iter().filter(|(_, name)| name.slot == slot);
        let names: Vec<u64> = names.map(|(id, _)| *id).collect();
        for id in names {
            if let Some(name) = self.names.get_mut(&id) {
                let waiting = std::mem::take(&mut name.waiting).into_iter();
                out.extend(waiting.map(|waiting| waiting.respond(BrokerAnswer::Unavailable)));
            }
            self.return_block(id, out);
        }
    }
}
