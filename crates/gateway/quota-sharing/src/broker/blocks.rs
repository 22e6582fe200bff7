//! Blocks: leased from the counter ahead of what will be requested, and sub-leased to those that wait.

use super::leased_name::{LeasedName, OpenAdd, WaitingRequest};
use super::{Broker, OpenCall, MIN_RETURN, RETENTION_WINDOWS};
use crate::{Answer, LeaseRequest, Output};
use dunespur_decisions::types::CounterReply;

/// Near the limit a block is this part of the room (the paper's factor).
const NEAR_LIMIT_DIVISOR: f64 = 2.0;
/// Demand from which a window counts as too small for it, as a part of what it holds.
const PRESSED_RATIO: f64 = 0.9;
/// How much further ahead the next block is leased, and the first one as a part of the furthest.
const LEAD_GROWTH: f64 = 2.0;
const FIRST_LEAD_DIVISOR: f64 = 8.0;
/// A request that waited so many times as long as the counter may take is nobody's any more.
const MAX_WAIT_TIMEOUTS: f64 = 2.0;

impl Broker {
    /// Answers those that wait for a name, in turn, as far as the block goes; else the counter is called.
    pub(super) fn serve(&mut self, id: u64, now: f64, out: &mut Vec<Output>) {
        let max_wait = self.settings.counter_timeout * MAX_WAIT_TIMEOUTS;
        while let Some(waiting) = self.next_waiting(id) {
            if now > waiting.received + max_wait {
                // Whoever requested it has given up: units granted to it would be nobody's.
                self.drop_first(id);
                out.push(waiting.respond(Answer::Unavailable));
                continue;
            }
            let Some(total) = self.answer(id, &waiting, now) else {
                return self.refill(id, now, out);
            };
            self.drop_first(id);
            out.push(waiting.respond(Answer::Total(total)));
        }
    }

    /// The first that waits for a name; none while the counter is called.
    fn next_waiting(&self, id: u64) -> Option<WaitingRequest> {
        let name = self.names.get(&id).filter(|name| name.open_add.is_none())?;
        name.waiting.front().cloned()
    }

    fn drop_first(&mut self, id: u64) {
        if let Some(name) = self.names.get_mut(&id) {
            name.waiting.pop_front();
        }
    }

    /// The total that this request gets now; none where the counter has to be called first.
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
            // What it takes less, and what it was refused where the limit grows, it takes back itself.
            let granted = within_limit || request.limit_rate > 0.0;
            borrower.granted += if granted { request.requested } else { 0.0 };
        } else {
            borrower.granted = (borrower.granted + request.add.min(0.0)).max(0.0);
        }
    }

    /// One call to the counter for all that wait, and a block ahead of what will be requested.
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
        let near = near_block(name, waiting, demand * max_lead);
        let far = far_block(name, waiting, demand, lead, max_lead);
        let ahead = near.max(far).floor();
        // One that is full is only read, so that what is refused is not added first.
        let add = if is_full(name, now) {
            -name.block
        } else {
            waiting - name.block + ahead
        };
        let add = add.max(0.0);
        for waiting in name.waiting.iter_mut().filter(|w| !w.notified) {
            waiting.notified = true;
            out.push(waiting.respond(Answer::Pending));
        }
        self.last_call += 1;
        let call = self.last_call;
        name.open_add = Some(OpenAdd { call, add });
        let since = now;
        self.calls.insert(call, OpenCall { name: id, since });
        out.push(Output::CallCounter {
            call,
            name: id,
            add,
            lifetime: name.lifetime,
        });
    }

    /// The counter's answer to a call of this broker.
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
            // What may have been added is nobody's: it expires at the counter.
            _ => {
                let waiting = std::mem::take(&mut name.waiting).into_iter();
                out.extend(waiting.map(|w| w.respond(Answer::Unavailable)));
            }
        }
    }

    /// The counter holds `total` with the `add` of this broker in it.
    fn take_total(&mut self, id: u64, total: f64, add: f64, now: f64) {
        let Some(name) = self.names.get_mut(&id) else {
            return;
        };
        // A name that is read for the first time may hold what was added before this broker came.
        let others = name.counter_total.map_or(0.0, |known| total - add - known);
        (name.counter_total, name.last_read) = (Some(total), now);
        // Guards against limiters that hear no broker and take back what stands above the limit: what
        // was leased ahead is not counted any more, so it can't be granted.
        name.block = (name.block + others.min(0.0)).max(name.block.min(0.0)) + add;
        let min_total = name.min_total.take();
        let missing = min_total.map_or(0.0, |least| least - (total - add));
        name.block -= missing.max(0.0);
        let (customer, grows) = (name.customer, name.limit_rate > 0.0);
        self.adapt_lead(customer, others.abs() > MIN_RETURN, grows, now);
    }

    /// Blocks are leased further ahead with each call that shows nobody else's adds. In a window that ends
    /// nothing is taken back, so there others only share it.
    fn adapt_lead(&mut self, customer: u64, shared: bool, grows: bool, now: f64) {
        let max_lead = self.settings.max_lead;
        let retention = self.settings.demand_window * RETENTION_WINDOWS;
        let Some(customer) = self.customers.get_mut(&customer) else {
            return;
        };
        if shared && grows {
            customer.last_foreign_add = now;
        }
        let alone = now > customer.last_foreign_add + retention;
        customer.lead = if !alone {
            0.0
        } else if shared {
            customer.lead / LEAD_GROWTH
        } else {
            let longer = customer.lead * LEAD_GROWTH;
            longer.max(max_lead / FIRST_LEAD_DIVISOR).min(max_lead)
        };
    }
}

/// When the name of a request that waits is full now.
fn grown_limit(waiting: &WaitingRequest, now: f64) -> f64 {
    let request = &waiting.request;
    request.limit + request.limit_rate * (now - waiting.received)
}

/// What the demand to come wants, as far as half of the room goes. Before the first answer nothing is known of
/// the room.
fn near_block(name: &LeasedName, waiting: f64, demand: f64) -> f64 {
    let headroom = name.counter_total.map_or(0.0, |known| {
        name.limit - known - (waiting - name.block).max(0.0)
    });
    demand.min(headroom / NEAR_LIMIT_DIVISOR).max(0.0)
}

/// With nobody else about, what will come free is leased before it does, and granted when it has. In a window that
/// ends it is what it holds, where all request more than that; else what will be requested until it ends:
/// limiters that go past the broker find there what it leased, and are shut out.
fn far_block(name: &LeasedName, waiting: f64, demand: f64, lead: f64, max_lead: f64) -> f64 {
    if name.limit_rate > 0.0 {
        return demand.min(name.limit_rate) * lead;
    }
    let left = (name.limit - name.counter_total.unwrap_or(waiting)).max(0.0);
    let pressed = demand * name.window_length > PRESSED_RATIO * name.limit;
    let want = if pressed {
        left
    } else {
        (demand * name.remaining).min(left)
    };
    want * lead / max_lead
}

/// Whether the first that waits finds no room for its minimum, or nobody waits.
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
