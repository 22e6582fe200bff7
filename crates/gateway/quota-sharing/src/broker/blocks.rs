//! Blocks of units: leased from the counter ahead of demand and sub-leased to waiting requests.

use super::leased_name::{LeasedName, OpenAdd, WaitingRequest};
use super::{Broker, OpenCall, MIN_RETURN, RETENTION_WINDOWS};
use crate::{BrokerAnswer, LeaseRequest, Output};
use dunespur_decisions::types::CounterReply;

/// Near the limit a block is the room divided by this factor (from the lease paper).
const NEAR_LIMIT_DIVISOR: f64 = 2.0;
/// Demand over a window, as a part of the window's limit, above which the window counts as too small.
const HIGH_DEMAND_RATIO: f64 = 0.9;
/// Factor by which the lead of the next block grows.
const LEAD_GROWTH: f64 = 2.0;
/// The first lead is the longest one divided by this.
const FIRST_LEAD_DIVISOR: f64 = 8.0;
/// Counter time-outs after which a waiting request has been given up by its borrower.
const MAX_WAIT_TIMEOUTS: f64 = 2.0;

impl Broker {
    /// Answers the requests that wait for a name in order while the block covers them; then calls the counter.
    pub(super) fn serve(&mut self, id: u64, now: f64, out: &mut Vec<Output>) {
        let max_wait = self.settings.counter_timeout * MAX_WAIT_TIMEOUTS;
        while let Some(waiting) = self.next_waiting(id) {
            if now > waiting.received + max_wait {
                // The borrower has given up on the request: units granted to it would be lost.
                self.drop_first(id);
                out.push(waiting.respond(BrokerAnswer::Unavailable));
                continue;
            }
            let Some(total) = self.answer(id, &waiting, now) else {
                return self.refill(id, now, out);
            };
            self.drop_first(id);
            out.push(waiting.respond(BrokerAnswer::Total(total)));
        }
    }

    /// The first request that waits for a name; `None` while a call to the counter is open.
    fn next_waiting(&self, id: u64) -> Option<WaitingRequest> {
        let name = self.names.get(&id).filter(|name| name.open_add.is_none())?;
        name.waiting.front().cloned()
    }

    fn drop_first(&mut self, id: u64) {
        if let Some(name) = self.names.get_mut(&id) {
            name.waiting.pop_front();
        }
    }

    /// The total with which to answer the request now; `None` if the counter has to be called first.
    fn answer(&mut self, id: u64, waiting: &WaitingRequest, now: f64) -> Option<f64> {
        let WaitingRequest { from, request, .. } = waiting;
        let limit = grown_limit(waiting, now);
        let customer = self.names.get(&id)?.customer;
        let reserved =
            self.reserved_for_others(customer, from, request.minimum, request.limit_rate, now);
        let name = self.names.get_mut(&id)?;
        let total = name.answer(from, request, limit, reserved, &self.settings, now)?;
        self.record_grant(customer, from, request, total <= limit, now);
        Some(total)
    }

    fn record_grant(
        &mut self,
        customer: u64,
        from: &str,
        request: &LeaseRequest,
        within_limit: bool,
        now: f64,
    ) {
        let borrower = self.borrower(customer, from, now);
        if request.requested > 0.0 {
            // The borrower takes back by corrections what it does not use and, where the limit grows, what it was
            // refused.
            let granted = within_limit || request.limit_rate > 0.0;
            borrower.granted += if granted { request.requested } else { 0.0 };
        } else {
            borrower.granted = (borrower.granted + request.add.min(0.0)).max(0.0);
        }
    }

    /// Calls the counter once for all waiting requests and a block ahead of demand.
    pub(super) fn refill(&mut self, id: u64, now: f64, out: &mut Vec<Output>) {
        let Some(customer) = self.names.get(&id).map(|name| name.customer) else {
            return;
        };
        let demand = self.demand(customer, now);
        let lead = self.customers.get(&customer).map_or(0.0, |c| c.lead);
        let max_lead = self.settings.max_lead;
        let Some(name) = self.names.get_mut(&id) else {
            return;
        };
        let waiting: f64 = name.waiting.iter().map(|w| w.request.add).sum();
        let within_limit = block_within_limit(name, waiting, demand * max_lead);
        let beyond_limit = block_beyond_limit(name, waiting, demand, lead, max_lead);
        let ahead = within_limit.max(beyond_limit).floor();
        // A full name is only read, so that units about to be refused are not added first.
        let add = if is_full(name, now) {
            -name.block
        } else {
            waiting - name.block + ahead
        };
        let add = add.max(0.0);
        for waiting in name.waiting.iter_mut().filter(|w| !w.notified) {
            waiting.notified = true;
            out.push(waiting.respond(BrokerAnswer::Pending));
        }
        self.last_call += 1;
        let call = self.last_call;
        name.open_add = Some(OpenAdd { call, add });
        let sent_at = now;
        self.calls.insert(call, OpenCall { name: id, sent_at });
        out.push(Output::CallCounter {
            call,
            name: id,
            add,
            lifetime: name.lifetime,
        });
    }

    /// Processes the counter's reply to a call of this broker.
    pub fn counter_answered(
        &mut self,
        call: u64,
        counted: CounterReply,
        now: f64,
        out: &mut Vec<Output>,
    ) {
        let Some(OpenCall { name: id, .. }) = self.calls.remove(&call) else {
            return;
        };
        let Some(name) = self.names.get_mut(&id) else {
            return;
        };
        let Some(OpenAdd { add, .. }) = name.open_add.take_if(|open| open.call == call) else {
            return;
        };
        match counted {
            CounterReply::Total(total) if total.is_finite() => {
                self.take_total(id, total, add, now);
                self.serve(id, now, out);
            }
            // Units that may have been added are not used: they expire at the counter.
            _ => {
                let waiting = std::mem::take(&mut name.waiting).into_iter();
                out.extend(waiting.map(|waiting| waiting.respond(BrokerAnswer::Unavailable)));
            }
        }
    }

    /// Takes over the counter's `total`, which includes this broker's `add`.
    fn take_total(&mut self, id: u64, total: f64, add: f64, now: f64) {
        let Some(name) = self.names.get_mut(&id) else {
            return;
        };
        // At the first read, the total may contain adds from before this broker's time.
        let others = name.counter_total.map_or(0.0, |known| total - add - known);
        (name.counter_total, name.last_read) = (Some(total), now);
        // Guards against limiters without a broker that take back units above the limit: units leased ahead are
        // then no longer counted and cannot be granted.
        name.block = (name.block + others.min(0.0)).max(name.block.min(0.0)) + add;
        let min_total = name.min_total.take();
        let missing = min_total.map_or(0.0, |least| least - (total - add));
        name.block -= missing.max(0.0);
        let (customer, grows) = (name.customer, name.limit_rate > 0.0);
        self.adapt_lead(customer, others.abs() > MIN_RETURN, grows, now);
    }

    /// Increases the lead of the blocks with each call that shows no adds by others. In a short window nothing is taken
    /// back, so adds by others only reduce the lead.
    fn adapt_lead(&mut self, customer: u64, others_added: bool, grows: bool, now: f64) {
        let max_lead = self.settings.max_lead;
        let retention = self.settings.demand_window * RETENTION_WINDOWS;
        let Some(customer) = self.customers.get_mut(&customer) else {
            return;
        };
        if others_added && grows {
            customer.last_foreign_add = now;
        }
        let alone = now > customer.last_foreign_add + retention;
        customer.lead = if !alone {
            0.0
        } else if others_added {
            customer.lead / LEAD_GROWTH
        } else {
            let longer = customer.lead * LEAD_GROWTH;
            longer.max(max_lead / FIRST_LEAD_DIVISOR).min(max_lead)
        };
    }
}

/// Present limit of the name of a waiting request.
fn grown_limit(waiting: &WaitingRequest, now: f64) -> f64 {
    let request = &waiting.request;
    request.limit + request.limit_rate * (now - waiting.received)
}

/// The block for future demand within the limit: at most half of the room, and nothing before the first reply of the
/// counter.
fn block_within_limit(name: &LeasedName, waiting: f64, demand: f64) -> f64 {
    let headroom = name.counter_total.map_or(0.0, |known| {
        name.limit - known - (waiting - name.block).max(0.0)
    });
    demand.min(headroom / NEAR_LIMIT_DIVISOR).max(0.0)
}

/// The block leased beyond the present limit while only this broker adds to the name: units that the growing limit will
/// allow, which are granted once it does. In a short window it is the whole rest of the window if demand is high,
/// otherwise the demand until the window ends. Limiters that bypass the broker find these units used and are rejected.
fn block_beyond_limit(
    name: &LeasedName,
    waiting: f64,
    demand: f64,
    lead: f64,
    max_lead: f64,
) -> f64 {
    if name.limit_rate > 0.0 {
        return demand.min(name.limit_rate) * lead;
    }
    let room = (name.limit - name.counter_total.unwrap_or(waiting)).max(0.0);
    let demand_is_high = demand * name.window_length > HIGH_DEMAND_RATIO * name.limit;
    let wanted = if demand_is_high {
        room
    } else {
        (demand * name.remaining).min(room)
    };
    wanted * lead / max_lead
}

/// Whether there is no room for the minimum of the first waiting request, or no request waits.
fn is_full(name: &LeasedName, now: f64) -> bool {
    let Some(first) = name.waiting.front() else {
        return true;
    };
    let request = &first.request;
    let known = name.counter_total.filter(|_| request.requested > 0.0);
    known.is_some_and(|known| {
        known - name.block + request.add - request.requested + request.minimum
            > grown_limit(first, now)
    })
}
