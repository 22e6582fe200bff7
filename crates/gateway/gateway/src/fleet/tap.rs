//! What the rest of the process shows the fleet: deliveries, calls to the counter, discovery's lines. It takes
//! what passes by and holds nothing up.

use super::FleetEvent;
use crate::lending::BROKER;
use crate::reducer::{Effect, Event};
use dunespur_decisions::types::{Counted, Ending};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::mpsc;

/// Listens to what passes through the hub. What the fleet can't take in time is dropped and counted: nothing
/// that serves waits for it.
pub struct Tap {
    to: mpsc::UnboundedSender<FleetEvent>,
    waiting: Rc<Cell<usize>>,
    dropped: Rc<Cell<u64>>,
    /// Deliveries and calls that are out.
    sent: RefCell<HashMap<(u64, usize), SocketAddr>>,
    calls: RefCell<HashMap<u64, (u64, f64)>>,
}

/// Reports that may wait for the fleet's task.
const MAX_WAITING: usize = 4096;

impl Tap {
    pub fn new(to: mpsc::UnboundedSender<FleetEvent>) -> Self {
        let (waiting, dropped) = (Rc::default(), Rc::default());
        Tap {
            to,
            waiting,
            dropped,
            sent: RefCell::default(),
            calls: RefCell::default(),
        }
    }

    /// Reports that wait for the fleet's task; it counts them down.
    pub fn waiting(&self) -> Rc<Cell<usize>> {
        self.waiting.clone()
    }

    fn notify(&self, told: FleetEvent) {
        if self.waiting.get() >= MAX_WAITING {
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
                    Ending::Timeout | Ending::ConnectFailed => self.notify(FleetEvent::Delivered {
                        server,
                        answered: false,
                    }),
                    Ending::Succeeded | Ending::Error | Ending::Full => {
                        self.notify(FleetEvent::Delivered {
                            server,
                            answered: true,
                        });
                    }
                    Ending::Reset | Ending::Cancelled | Ending::Moot => {}
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
                if *counted != Counted::Refused {
                    let answered = matches!(counted, Counted::Total(_));
                    self.notify(FleetEvent::Counted {
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
