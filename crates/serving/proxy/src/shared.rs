//! The state that all requests of one proxy share.

use crate::body_memory::BodyMemory;
use crate::clock::Clock;
use crate::connection_pool::ConnectionPool;
use crate::counters::RequestCounters;
use crate::deadline::FailoverBudget;
use crate::node::Node;
use crate::safeguards::Safeguards;
use std::cell::Cell;
use std::rc::Rc;

/// The state that all requests of one [`crate::ProxyServer`] share.
pub(crate) struct Shared<N: Node> {
    pub(crate) node: Rc<N>,
    pub(crate) clock: Rc<Clock>,
    pub(crate) pool: ConnectionPool,
    pub(crate) body_memory: Rc<BodyMemory>,
    pub(crate) failover_budget: Rc<FailoverBudget>,
    pub(crate) safeguards: Safeguards,
    pub(crate) counters: RequestCounters,
    is_draining: Cell<bool>,
}

impl<N: Node> Shared<N> {
    pub(crate) fn new(
        node: Rc<N>,
        pool: ConnectionPool,
        body_memory: Rc<BodyMemory>,
        safeguards: Safeguards,
    ) -> Rc<Shared<N>> {
        Rc::new(Shared {
            node,
            clock: Rc::new(Clock::new()),
            pool,
            body_memory,
            failover_budget: Rc::new(FailoverBudget::new()),
            safeguards,
            counters: RequestCounters::default(),
            is_draining: Cell::new(false),
        })
    }

    /// Counts a request whose head was read.
    pub(crate) fn count_request(&self) {
        self.counters.count_request();
        self.failover_budget.count_request();
    }

    /// Makes each client connection close after its next response.
    pub(crate) fn start_draining(&self) {
        self.is_draining.set(true);
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.is_draining.get()
    }
}
