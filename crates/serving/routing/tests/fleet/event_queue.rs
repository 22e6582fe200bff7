//! The events of a simulation, ordered by time.

use std::rc::Rc;

use dunespur_routing::LoadReport;

use super::engine::Event;

/// An event of the simulation. Turns, engines and gateways are given by number.
#[derive(Debug)]
pub enum SimEvent {
    StartProgram,
    /// A gateway dispatches a turn's request.
    Dispatch(usize),
    /// A turn's request arrives at an engine.
    Arrive {
        turn: usize,
        engine: usize,
        priority: u8,
    },
    /// An engine runs a step.
    Step(usize),
    /// An engine's event arrives at the gateway.
    EngineReply {
        turn: usize,
        key: u64,
        event: Event,
    },
    /// The timeout of an attempt's first event.
    Timeout {
        turn: usize,
        key: u64,
    },
    /// A gateway sends its load report to the others.
    SendReport(usize),
    DeliverReport {
        from: usize,
        reports: Rc<Vec<LoadReport>>,
    },
}

/// An event with its time; `order` distinguishes events at the same time.
#[derive(Debug)]
pub struct ScheduledEvent {
    pub time: f64,
    pub order: u64,
    pub event: SimEvent,
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &Self) -> bool {
        self.order == other.order
    }
}
impl Eq for ScheduledEvent {}
impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for ScheduledEvent {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.time
            .total_cmp(&other.time)
            .then(self.order.cmp(&other.order))
    }
}
