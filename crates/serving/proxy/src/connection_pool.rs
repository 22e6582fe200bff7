//! All connections to endpoints: pooled for the next request where that is safe, bounded in number, closed when they
//! are idle for long.
//!
//! Reuse saves a round trip and risks a connection that its endpoint is about to close: [`IdleAge`] bounds that risk by
//! what would be lost, and a connection with surplus bytes carries nothing any more.

use crate::classification::Idempotency;
use crate::clock::Clock;
use crate::connection_permit::ConnectionPermit;
use crate::dial::dial;
use crate::endpoint_connection::{ConnectError, EndpointConnection};
use crate::http_headers;
use crate::idle_age::IdleAge;
use crate::safeguards::Safeguards;
use dunespur_routing::{Server, ServerId};
use http::HeaderMap;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use tokio::time::Duration;

/// Idle connections kept to one endpoint.
const MAX_IDLE_PER_ENDPOINT: usize = 24;
/// Idle connections kept to all endpoints. Each takes some tens of kilobytes.
const MAX_IDLE: usize = 160;

/// All connections to endpoints.
pub(crate) struct ConnectionPool {
    max_open: usize,
    /// How long a new connection is watched before it carries a request.
    watch: Duration,
    safeguards: Safeguards,
    open: Rc<Cell<usize>>,
    opened: Cell<u64>,
    /// Of each endpoint those that are idle, the one used last at the end.
    idle: RefCell<HashMap<ServerId, Vec<IdleConnection>>>,
}

/// A connection without a request.
struct IdleConnection {
    connection: EndpointConnection,
    since_ms: u64,
    keep_alive_ms: Option<u64>,
}

impl IdleConnection {
    fn age(&self, now_ms: u64) -> IdleAge {
        IdleAge {
            idle_ms: now_ms.saturating_sub(self.since_ms),
            keep_alive_ms: self.keep_alive_ms,
        }
    }

    /// Whether it can carry a request.
    fn is_ready(&mut self, safeguards: Safeguards) -> bool {
        self.connection.is_ready()
            && (self.connection.is_quiet() || !safeguards.surplus_bytes_close_connection())
    }
}

impl ConnectionPool {
    /// At most so many, each watched for a moment before it carries a request.
    pub(crate) fn new(max_open: usize, watch: Duration, safeguards: Safeguards) -> ConnectionPool {
        ConnectionPool {
            max_open,
            watch,
            safeguards,
            open: Rc::default(),
            opened: Cell::new(0),
            idle: RefCell::default(),
        }
    }

    /// Connections that are open, idle ones included.
    pub(crate) fn open(&self) -> usize {
        self.open.get()
    }

    /// Connections opened so far.
    pub(crate) fn opened(&self) -> u64 {
        self.opened.get()
    }

    /// An idle connection that is safe for the request, the one used last first.
    pub(crate) fn check_out(
        &self,
        endpoint: &Server,
        idempotency: Idempotency,
        clock: &Clock,
    ) -> Option<EndpointConnection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&endpoint.id)?;
        let now_ms = clock.now_ms();
        loop {
            let cooled_down = connections
                .iter()
                .rposition(|idle| idle.age(now_ms).has_cooled_down());
            // A late duplicate of the last response does no harm to an idempotent request.
            let may_be_warm = idempotency == Idempotency::Idempotent && !connections.is_empty();
            let index = cooled_down.or(may_be_warm.then_some(0))?;
            if !connections[index].age(now_ms).is_safe_for(idempotency) {
                return None;
            }
            let mut idle = connections.remove(index);
            if idle.is_ready(self.safeguards) {
                return Some(idle.connection);
            }
        }
    }

    /// A new connection, for a request with this latency target.
    pub(crate) async fn connect(
        &self,
        endpoint: &Server,
        target_ms: u64,
    ) -> Result<EndpointConnection, ConnectError> {
        if self.open.get() >= self.max_open && !self.close_oldest_idle() {
            return Err(ConnectError::NoConnectionLeft);
        }
        let permit = ConnectionPermit::new(&self.open);
        self.opened.set(self.opened.get() + 1);
        let stream = dial(endpoint, target_ms).await?;
        let mut connection = EndpointConnection::new(endpoint.id.clone(), stream, permit).await?;
        // Protects against an endpoint that has too many connections and resets a new one: a request written to it by
        // then might have run, as far as anyone could tell.
        if connection.stays_open_for(self.watch).await {
            Ok(connection)
        } else {
            Err(ConnectError::TurnedAway)
        }
    }

    /// Pools a connection after a complete response, unless something speaks against it.
    pub(crate) fn check_in(
        &self,
        mut connection: EndpointConnection,
        terms: KeepAliveTerms,
        clock: &Clock,
    ) {
        if terms.closes || !connection.is_ready() {
            return;
        }
        if self.idle_count() >= MAX_IDLE {
            self.close_oldest_idle();
        }
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(connection.endpoint().clone()).or_default();
        if connections.len() >= MAX_IDLE_PER_ENDPOINT {
            connections.remove(0);
        }
        connections.push(IdleConnection {
            connection,
            since_ms: clock.now_ms(),
            keep_alive_ms: terms.keep_alive_ms,
        });
    }

    /// Closes what has been idle for so long that the endpoint might close it first, and what has ended.
    pub(crate) fn expire(&self, now_ms: u64) {
        self.idle.borrow_mut().retain(|_, connections| {
            connections
                .retain_mut(|idle| !idle.age(now_ms).is_expired() && idle.connection.is_ready());
            !connections.is_empty()
        });
    }

    fn idle_count(&self) -> usize {
        self.idle.borrow().values().map(Vec::len).sum()
    }

    /// Closes the connection that has been idle longest; false where none is idle.
    fn close_oldest_idle(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        let non_empty = idle
            .values_mut()
            .filter(|connections| !connections.is_empty());
        match non_empty.min_by_key(|connections| connections[0].since_ms) {
            Some(connections) => {
                connections.remove(0);
                true
            }
            None => false,
        }
    }
}

/// What a response says about its connection (RFC 9112 section 9.6, and `Keep-Alive`).
#[derive(Clone, Copy, Debug)]
pub(crate) struct KeepAliveTerms {
    closes: bool,
    keep_alive_ms: Option<u64>,
}

impl KeepAliveTerms {
    pub(crate) fn parse(headers: &HeaderMap) -> KeepAliveTerms {
        KeepAliveTerms {
            closes: http_headers::says_close(headers),
            keep_alive_ms: http_headers::keep_alive_ms(headers),
        }
    }
}
