//! Routes each of the limiter's counter calls to a broker or to the counter, never to both, and brings the answers
//! back. Without a broker every call goes to the counter.

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

/// Calls of this process's own broker are numbered from here on.
pub const BROKER: u64 = 1 << 62;
/// Lease requests that may wait for the fleet's task; beyond that the counter is called.
const MAX_QUEUED_REQUESTS: usize = 4096;

pub struct Lending {
    borrower: RefCell<Borrower>,
    slots: SlotRange,
    /// Slots with an owner, as far as this limiter knows.
    pub known: RefCell<BTreeSet<Slot>>,
    to: mpsc::UnboundedSender<FleetEvent>,
    pub waiting: Cell<usize>,
}

impl Lending {
    pub fn new(
        settings: &quota_sharing::Settings,
        slots: SlotRange,
        to: mpsc::UnboundedSender<FleetEvent>,
    ) -> Rc<Self> {
        let (borrower, known) = (RefCell::new(Borrower::new(settings)), RefCell::default());
        Rc::new(Lending {
            borrower,
            slots,
            known,
            to,
            waiting: Cell::new(0),
        })
    }

    fn slot(&self, customer: u64) -> Slot {
        let hash = xxh3_64(&customer.to_le_bytes());
        self.slots.first + (hash % u64::from(self.slots.count)) as Slot
    }

    /// Routes a call to a broker, if one answers; true if it did. `since` is how long ago the name's window began.
    pub fn route_to_broker(
        &self,
        call: u64,
        name: u64,
        add: f64,
        lifetime: f64,
        about: &AddContext,
        since: f64,
    ) -> bool {
        let slot = self.slot(about.customer);
        let known = self.known.borrow().contains(&slot) && self.waiting.get() < MAX_QUEUED_REQUESTS;
        let counter_call = CounterCall {
            call,
            name,
            add,
            lifetime,
        };
        let Route::Broker(slot) =
            self.borrower
                .borrow_mut()
                .route(counter_call, slot, known, clock())
        else {
            return false;
        };
        let request = LeaseRequest::new(counter_call, about, since);
        self.waiting.set(self.waiting.get() + 1);
        if self.to.send(FleetEvent::Borrow { slot, request }).is_err() {
            self.waiting.set(self.waiting.get() - 1);
        }
        true
    }

    /// Nobody waits for this call any more; says whether it was a broker's.
    pub fn abandon(&self, call: u64) -> bool {
        let mut borrower = self.borrower.borrow_mut();
        let there = borrower.is_at_broker(call);
        if there {
            borrower.abandon(call, fastrand::f64(), clock());
        }
        there
    }

    /// When the next broker's answer is overdue, in seconds of the fleet's clock.
    pub fn next_due(&self) -> f64 {
        self.borrower.borrow().next_due()
    }

    /// Calls whose broker's answer is overdue; they go to the counter.
    pub fn overdue(&self) -> Vec<CounterCall> {
        self.borrower
            .borrow_mut()
            .take_overdue(fastrand::f64(), clock())
    }

    /// A call that went to the counter has ended.
    pub fn counted(&self, call: u64) {
        self.borrower.borrow_mut().counter_answered(call);
    }

    /// A broker's answer; the counter's answer that it stands for, if the limiter still waits.
    pub fn broker_answered(&self, call: u64, answer: BrokerAnswer) -> Option<CounterReply> {
        self.borrower
            .borrow_mut()
            .broker_answered(call, answer, fastrand::f64(), clock())
    }

    /// Calls that went to brokers, to the counter, and answers that came too late.
    pub fn counts(&self) -> (u64, u64, u64) {
        let b = self.borrower.borrow();
        (b.sent_to_brokers, b.sent_to_counter, b.late_answers)
    }
}
