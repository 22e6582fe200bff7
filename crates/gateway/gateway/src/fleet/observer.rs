//! Observes what passes through the hub, for the health checks and the audit.

use crate::fleet::event::FleetEvent;
use crate::lending::BROKER;
use crate::reducer::Effect;
use crate::reducer::Event;
use dunespur_decisions::types::AttemptResult;
use dunespur_decisions::types::CounterReply;
use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::mpsc;

/// Reports that may wait for the fleet's task.
pub(super) const MAX_QUEUED_REPORTS: usize = 4096;

/// Listens to what passes through the hub. What the fleet can't take in time is dropped and counted: nothing
/// that serves waits for it.
pub struct HubObserver {
    to: mpsc::UnboundedSender<FleetEvent>,
    pub(super) waiting: Rc<Cell<usize>>,
    dropped: Rc<Cell<u64>>,
    /// Deliveries and calls that are out.
    sent: RefCell<HashMap<(u64, usize), SocketAddr>>,
    calls: RefCell<HashMap<u64, (u64, f64)>>,
}

impl HubObserver {
    pub fn new(to: mpsc::UnboundedSender<FleetEvent>) -> Self {
        let (waiting, dropped) = (Rc::default(), Rc::default());
        HubObserver {
            to,
            waiting,
            dropped,
            sent: RefCell::default(),
            calls: RefCell::default(),
        }
    }

    fn tell(&self, told: FleetEvent) {
        if self.waiting.get() >= MAX_QUEUED_REPORTS {
            self.dropped.set(self.dropped.get() + 1);
        } else if self.to.send(told).is_ok() {
            self.waiting.set(self.waiting.get() + 1);
        }
    }

    pub fn effect(&self, effect: &Effect) {
        match effect {
            Effect::Send(d) => _ = self.sent.borrow_mut().insert((d.num, d.n), d.address),
            Effect::Count {
                call, name, add, ..
            } => _ = self.calls.borrow_mut().insert(*call, (*name, *add)),
            _ => {}
        }
    }

    pub fn event(&self, event: &Event) {
        match event {
            Event::Ended { num, n, answered } => {
                let Some(server) = self.sent.borrow_mut().remove(&(*num, *n)) else {
                    return;
                };
                match answered.ending {
                    AttemptResult::Timeout | AttemptResult::ConnectFailed => {
                        self.tell(FleetEvent::Delivered {
                            server,
                            answered: false,
                        })
                    }
                    AttemptResult::Succeeded | AttemptResult::Error | AttemptResult::Overloaded => {
                        self.tell(FleetEvent::Delivered {
                            server,
                            answered: true,
                        });
                    }
                    AttemptResult::Reset | AttemptResult::Cancelled | AttemptResult::NotSent => {}
                }
            }
            Event::Counted { call, counted } => {
                if *call >= BROKER
                    && self
                        .to
                        .send(FleetEvent::Brokered {
                            call: *call,
                            counted: *counted,
                        })
                        .is_err()
                {
                    return;
                }
                let Some((name, add)) = self.calls.borrow_mut().remove(call) else {
                    return;
                };
                if *counted != CounterReply::Refused {
                    let answered = matches!(counted, CounterReply::Total(_));
                    self.tell(FleetEvent::Counted {
                        name,
                        add,
                        answered,
                    });
                }
            }
            _ => {}
        }
    }
}
