//! Reports events and effects of the event loop to the fleet task, for the health checks and the audit.

use crate::counter_router::FIRST_BROKER_CALL;
use crate::fleet::event::FleetEvent;
use crate::state_machine::Effect;
use crate::state_machine::Event;
use dunespur_decisions::types::AttemptResult;
use dunespur_decisions::types::CounterReply;
use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::mpsc;

/// Reports that may be queued for the fleet task.
pub(super) const MAX_QUEUED_REPORTS: usize = 4096;

/// Observes the events and effects of the event loop. Reports beyond the queue limit are dropped and counted, so that
/// serving never waits for the fleet.
pub struct EventObserver {
    fleet_events: mpsc::UnboundedSender<FleetEvent>,
    /// Number of reports in the queue.
    pub(super) queued: Rc<Cell<usize>>,
    dropped: Rc<Cell<u64>>,
    /// Servers of the attempts in flight.
    attempts: RefCell<HashMap<(u64, usize), SocketAddr>>,
    /// Name and units of the counter calls in flight.
    counter_calls: RefCell<HashMap<u64, (u64, f64)>>,
}

impl EventObserver {
    pub fn new(fleet_events: mpsc::UnboundedSender<FleetEvent>) -> Self {
        let (queued, dropped) = (Rc::default(), Rc::default());
        EventObserver {
            fleet_events,
            queued,
            dropped,
            attempts: RefCell::default(),
            counter_calls: RefCell::default(),
        }
    }

    fn report(&self, event: FleetEvent) {
        if self.queued.get() >= MAX_QUEUED_REPORTS {
            self.dropped.set(self.dropped.get() + 1);
        } else if self.fleet_events.send(event).is_ok() {
            self.queued.set(self.queued.get() + 1);
        }
    }

    pub fn observe_effect(&self, effect: &Effect) {
        match effect {
            Effect::SendAttempt(attempt) => {
                _ = self
                    .attempts
                    .borrow_mut()
                    .insert((attempt.invocation_id, attempt.index), attempt.address)
            }
            Effect::CallCounter {
                call, name, add, ..
            } => _ = self.counter_calls.borrow_mut().insert(*call, (*name, *add)),
            _ => {}
        }
    }

    pub fn observe_event(&self, event: &Event) {
        match event {
            Event::AttemptEnded {
                invocation_id,
                attempt,
                response,
            } => {
                let Some(server) = self
                    .attempts
                    .borrow_mut()
                    .remove(&(*invocation_id, *attempt))
                else {
                    return;
                };
                match response.result {
                    AttemptResult::Timeout | AttemptResult::ConnectFailed => {
                        self.report(FleetEvent::AttemptEnded {
                            server,
                            answered: false,
                        })
                    }
                    AttemptResult::Succeeded | AttemptResult::Error | AttemptResult::Overloaded => {
                        self.report(FleetEvent::AttemptEnded {
                            server,
                            answered: true,
                        });
                    }
                    AttemptResult::Reset | AttemptResult::Cancelled | AttemptResult::NotSent => {}
                }
            }
            Event::CounterReplied { call, reply } => {
                if *call >= FIRST_BROKER_CALL
                    && self
                        .fleet_events
                        .send(FleetEvent::BrokerCallEnded {
                            call: *call,
                            reply: *reply,
                        })
                        .is_err()
                {
                    return;
                }
                let Some((name, add)) = self.counter_calls.borrow_mut().remove(call) else {
                    return;
                };
                if *reply != CounterReply::Refused {
                    let answered = matches!(reply, CounterReply::Total(_));
                    self.report(FleetEvent::CounterCallEnded {
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
