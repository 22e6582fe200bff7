//! Routes each counter call of the limiter to a broker or to the counter, never to both at once, and returns the
//! replies. Without a broker, every call goes to the counter.

use crate::clock::clock;
use crate::fleet::FleetEvent;
use dunespur_decisions::types::{AddContext, CounterReply};
use dunespur_quota_sharing::{
    self as quota_sharing, Borrower, BrokerAnswer, CounterCall, LeaseRequest, Route,
};
use dunespur_singleton_roles::{Slot, SlotRange};
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;
use tokio::sync::mpsc;
use xxhash_rust::xxh3::xxh3_64;

/// Counter calls of this process's own broker have numbers from here on; calls of the limiter stay below.
pub const FIRST_BROKER_CALL: u64 = 1 << 62;
/// Lease requests that may be queued for the fleet task; beyond that, calls go to the counter.
const MAX_QUEUED_REQUESTS: usize = 4096;

pub struct CounterRouter {
    borrower: RefCell<Borrower>,
    slots: SlotRange,
    /// Slots that have an owner, as far as this limiter knows.
    pub owned_slots: RefCell<BTreeSet<Slot>>,
    fleet_events: mpsc::UnboundedSender<FleetEvent>,
    pub queued_requests: Cell<usize>,
}

impl CounterRouter {
    pub fn new(
        settings: &quota_sharing::Settings,
        slots: SlotRange,
        fleet_events: mpsc::UnboundedSender<FleetEvent>,
    ) -> Rc<Self> {
        let (borrower, owned_slots) = (RefCell::new(Borrower::new(settings)), RefCell::default());
        Rc::new(CounterRouter {
            borrower,
            slots,
            owned_slots,
            fleet_events,
            queued_requests: Cell::new(0),
        })
    }

    fn slot_of(&self, customer: u64) -> Slot {
        let hash = xxh3_64(&customer.to_le_bytes());
        self.slots.first + (hash % u64::from(self.slots.count)) as Slot
    }

    /// Sends a call to a broker if its slot has one; returns whether it did. `window_age` is the time since the
    /// name's rate window began, in seconds.
    pub fn route_to_broker(
        &self,
        call: u64,
        name: u64,
        add: f64,
        lifetime: f64,
        context: &AddContext,
        window_age: f64,
    ) -> bool {
        let slot = self.slot_of(context.customer);
        let has_broker = self.owned_slots.borrow().contains(&slot)
            && self.queued_requests.get() < MAX_QUEUED_REQUESTS;
        let counter_call = CounterCall {
            call,
            name,
            add,
            lifetime,
        };
        let Route::Broker(slot) =
            self.borrower
                .borrow_mut()
                .route(counter_call, slot, has_broker, clock())
        else {
            return false;
        };
        let request = LeaseRequest::new(counter_call, context, window_age);
        self.queued_requests.set(self.queued_requests.get() + 1);
        if self
            .fleet_events
            .send(FleetEvent::LeaseRequested { slot, request })
            .is_err()
        {
            self.queued_requests.set(self.queued_requests.get() - 1);
        }
        true
    }

    /// Abandons a call; returns whether it was at a broker.
    pub fn abandon(&self, call: u64) -> bool {
        let mut borrower = self.borrower.borrow_mut();
        let at_broker = borrower.is_at_broker(call);
        if at_broker {
            borrower.abandon(call, fastrand::f64(), clock());
        }
        at_broker
    }

    /// When the next broker response is overdue, in seconds of the fleet's clock.
    pub fn next_due(&self) -> f64 {
        self.borrower.borrow().next_due()
    }

    /// Takes the calls whose broker response is overdue; they go to the counter instead.
    pub fn take_overdue(&self) -> Vec<CounterCall> {
        self.borrower
            .borrow_mut()
            .take_overdue(fastrand::f64(), clock())
    }

    /// Records the end of a call that went to the counter.
    pub fn counter_replied(&self, call: u64) {
        self.borrower.borrow_mut().counter_answered(call);
    }

    /// Records a broker's response; returns the equivalent counter reply if the limiter still waits for it.
    pub fn broker_answered(&self, call: u64, answer: BrokerAnswer) -> Option<CounterReply> {
        self.borrower
            .borrow_mut()
            .broker_answered(call, answer, fastrand::f64(), clock())
    }

    /// Numbers of calls sent to brokers, of calls sent to the counter, and of late broker responses.
    pub fn call_counts(&self) -> (u64, u64, u64) {
        let borrower = self.borrower.borrow();
        (
            borrower.sent_to_brokers,
            borrower.sent_to_counter,
            borrower.late_answers,
        )
    }
}
