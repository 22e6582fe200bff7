//! The connections to endpoints: pooled for reuse where that is safe, bounded in number, and closed after a long idle
//! time.
//!
//! Reuse saves a round trip, but the endpoint may be about to close the connection. [`IdleAge`] limits this risk, more
//! strictly for requests that are not idempotent. A connection with surplus bytes is never reused.

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

/// The most idle connections kept to one endpoint.
const MAX_IDLE_PER_ENDPOINT: usize = 24;
/// The most idle connections kept to all endpoints. Each takes some tens of kilobytes.
const MAX_IDLE: usize = 160;

/// Opens, counts and pools the connections to all endpoints.
pub(crate) struct ConnectionPool {
    max_open: usize,
    /// How long a new connection must stay open before it carries a request.
    watch_time: Duration,
    safeguards: Safeguards,
    open_count: Rc<Cell<usize>>,
    opened_count: Cell<u64>,
    /// The idle connections of each endpoint, the most recently used last.
    idle: RefCell<HashMap<ServerId, Vec<IdleConnection>>>,
}

/// A pooled connection.
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

    /// Whether the connection can carry a request.
    fn is_ready(&mut self, safeguards: Safeguards) -> bool {
        self.connection.is_ready()
            && (self.connection.has_nothing_to_read()
                || !safeguards.surplus_bytes_close_connection())
    }
}

impl ConnectionPool {
    /// Creates an empty pool of at most `max_open` connections.
    pub(crate) fn new(
        max_open: usize,
        watch_time: Duration,
        safeguards: Safeguards,
    ) -> ConnectionPool {
        ConnectionPool {
            max_open,
            watch_time,
            safeguards,
            open_count: Rc::default(),
            opened_count: Cell::new(0),
            idle: RefCell::default(),
        }
    }

    /// Returns the number of open connections, idle ones included.
    pub(crate) fn open_count(&self) -> usize {
        self.open_count.get()
    }

    /// Returns the number of connections opened since the start, failed ones included.
    pub(crate) fn opened_count(&self) -> u64 {
        self.opened_count.get()
    }

    /// Takes an idle connection that is safe for the request, the most recently used that has cooled down first.
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
            let may_skip_cooldown =
                idempotency == Idempotency::Idempotent && !connections.is_empty();
            let index = cooled_down.or(may_skip_cooldown.then_some(0))?;
            if !connections[index].age(now_ms).is_safe_for(idempotency) {
                return None;
            }
            let mut idle = connections.remove(index);
            if idle.is_ready(self.safeguards) {
                return Some(idle.connection);
            }
        }
    }

    /// Opens a new connection for a request with this latency target.
    pub(crate) async fn connect(
        &self,
        endpoint: &Server,
        target_ms: u64,
    ) -> Result<EndpointConnection, ConnectError> {
        if self.open_count.get() >= self.max_open && !self.close_oldest_idle() {
            return Err(ConnectError::NoConnectionLeft);
        }
        let permit = ConnectionPermit::new(&self.open_count);
        self.opened_count.set(self.opened_count.get() + 1);
        let stream = dial(endpoint, target_ms).await?;
        let mut connection = EndpointConnection::new(endpoint.id.clone(), stream, permit).await?;
        // Protects against an endpoint with too many connections that resets a new one: a request already written to it
        // would have to count as possibly run.
        if connection.stays_open_for(self.watch_time).await {
            Ok(connection)
        } else {
            Err(ConnectError::TurnedAway)
        }
    }

    /// Pools a connection after a complete response. Closes it if the response says so or the connection has ended.
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

    /// Closes the idle connections that the endpoint may be about to close, and drops those that have ended.
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

    /// Closes the longest idle connection. Returns false if no connection is idle.
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

/// The `Connection` (RFC 9112 section 9.6) and `Keep-Alive` headers of a response.
#[derive(Clone, Copy, Debug)]
pub(crate) struct KeepAliveTerms {
    closes: bool,
    keep_alive_ms: Option<u64>,
}

impl KeepAliveTerms {
    pub(crate) fn parse(headers: &HeaderMap) -> KeepAliveTerms {
        KeepAliveTerms {
            closes: http_headers::has_connection_close(headers),
            keep_alive_ms: http_headers::keep_alive_ms(headers),
        }
    }
}
