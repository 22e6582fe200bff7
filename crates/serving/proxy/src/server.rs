//! The client side of the proxy: listener, client connections and graceful shutdown.

use crate::body_memory::BodyMemory;
use crate::client_connection::{ClientConnection, Command, Stage};
use crate::client_task;
use crate::connection_pool::ConnectionPool;
use crate::counters::Counters;
use crate::node::Node;
use crate::safeguards::Safeguards;
use crate::shared::Shared;
use dunespur_configuration::Limits;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::pin::pin;
use std::rc::Rc;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::time::{interval, timeout, Duration, MissedTickBehavior};

/// How often overdue client connections and idle endpoint connections are closed.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(500);
/// Pause after a failed accept, which is mostly due to a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);
/// Before the listener closes, it waits this long for each further pending connection.
const FINAL_ACCEPT_TIMEOUT: Duration = Duration::from_millis(5);
/// Upper limit on accepting pending connections before the listener closes.
const MAX_FINAL_ACCEPT: Duration = Duration::from_millis(200);

/// The limits of the data plane.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProxySettings {
    /// The most concurrent client connections. At the limit the longest idle connection is closed.
    pub max_connections: usize,
    /// The most concurrent endpoint connections, idle ones included.
    pub max_endpoint_connections: usize,
    /// How long a new endpoint connection must stay open before it carries a request, in milliseconds. An endpoint with
    /// too many connections resets a new connection within a round trip.
    pub connection_watch_ms: u64,
    /// Memory for the bodies of all active requests together, in bytes.
    pub body_memory_bytes: usize,
    /// How long new connections are still accepted after [`ProxyServer::drain`], in milliseconds. The load balancer in
    /// front of the gateways needs this time to notice that the gateway is not ready.
    pub drain_accept_ms: u64,
}

impl Default for ProxySettings {
    fn default() -> ProxySettings {
        ProxySettings {
            max_connections: 1500,
            max_endpoint_connections: 1000,
            connection_watch_ms: 3,
            body_memory_bytes: 32 * 1024 * 1024,
            drain_accept_ms: 3500,
        }
    }
}

/// The phase of the server's life cycle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// The server accepts clients.
    Serving,
    /// The server still accepts clients, and closes each connection after its next response.
    Draining { since_ms: u64 },
    /// The server accepts no clients; existing connections are closing.
    Closing,
    /// All client connections are closed.
    Closed,
}

/// The data plane of a gateway process.
pub struct ProxyServer<N: Node> {
    shared: Rc<Shared<N>>,
    settings: ProxySettings,
    phase: Cell<Phase>,
    /// The open client connections by connection number.
    clients: RefCell<BTreeMap<u64, Rc<ClientConnection>>>,
    /// Connections accepted since the start; also the number of the latest connection.
    accepted: Cell<u64>,
    /// Notified when draining starts, when the server has closed, and when a client of a full or closing server
    /// disconnects.
    changed: Notify,
}

impl<N: Node> ProxyServer<N> {
    /// Creates a server; [`ProxyServer::serve`] attaches it to a listener.
    pub fn new(node: Rc<N>, settings: ProxySettings) -> Rc<ProxyServer<N>> {
        ProxyServer::build(node, settings, Safeguards::default())
    }

    /// Creates a server with the given safeguards. For tests, which disable single safeguards.
    #[cfg(feature = "removable-safeguards")]
    pub fn with_safeguards(
        node: Rc<N>,
        settings: ProxySettings,
        safeguards: Safeguards,
    ) -> Rc<ProxyServer<N>> {
        ProxyServer::build(node, settings, safeguards)
    }

    fn build(node: Rc<N>, settings: ProxySettings, safeguards: Safeguards) -> Rc<ProxyServer<N>> {
        let watch = Duration::from_millis(settings.connection_watch_ms);
        let pool = ConnectionPool::new(settings.max_endpoint_connections, watch, safeguards);
        let body_memory = BodyMemory::new(settings.body_memory_bytes);
        Rc::new(ProxyServer {
            shared: Shared::new(node, pool, body_memory, safeguards),
            settings,
            phase: Cell::new(Phase::Serving),
            clients: RefCell::default(),
            accepted: Cell::new(0),
            changed: Notify::new(),
        })
    }

    /// Serves the clients of `listener` until the server has drained. Must run within a `LocalSet`.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        let mut expiry = interval(EXPIRY_INTERVAL);
        expiry.set_missed_tick_behavior(MissedTickBehavior::Delay);
        while !self.is_closing() {
            let has_capacity = self.ensure_capacity();
            tokio::select! {
                biased;
                accepted = listener.accept(), if has_capacity => match accepted {
                    Ok((stream, _)) => self.accept(stream),
                    Err(error) => {
                        log::warn!("accepting a client connection failed: {error}");
                        tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                    }
                },
                _ = expiry.tick() => self.expire(),
                () = self.changed.notified() => {}
            }
        }
        self.accept_pending(&listener).await;
        drop(listener);
        for client in self.clients.borrow().values() {
            client.send_command(Command::Close);
        }
        while !self.clients.borrow().is_empty() {
            tokio::select! {
                _ = expiry.tick() => self.expire(),
                () = self.changed.notified() => {}
            }
        }
        self.phase.set(Phase::Closed);
        self.changed.notify_waiters();
    }

    /// Starts the graceful shutdown: each connection closes after its next response, and after
    /// [`ProxySettings::drain_accept_ms`] no new connections are accepted.
    pub fn drain(&self) {
        if self.phase.get() == Phase::Serving {
            let since_ms = self.shared.clock.now_ms();
            self.phase.set(Phase::Draining { since_ms });
            self.shared.start_draining();
            self.changed.notify_waiters();
        }
    }

    /// Completes once the listener and all client connections are closed and `serve` is ending.
    pub async fn drained(&self) {
        loop {
            let mut changed = pin!(self.changed.notified());
            changed.as_mut().enable();
            if self.phase.get() == Phase::Closed {
                return;
            }
            changed.await;
        }
    }

    /// Returns the totals since the start and the resources in use.
    #[must_use]
    pub fn counters(&self) -> Counters {
        let shared = &self.shared;
        Counters {
            connections: self.clients.borrow().len(),
            accepted: self.accepted.get(),
            requests: shared.counters.requests(),
            rejected: shared.counters.rejected(),
            failed: shared.counters.failed(),
            endpoint_connections: shared.pool.open_count(),
            endpoint_connections_opened: shared.pool.opened_count(),
            body_bytes: shared.body_memory.reserved_bytes(),
        }
    }

    fn is_closing(&self) -> bool {
        matches!(self.phase.get(), Phase::Closing | Phase::Closed)
    }

    fn limits(&self) -> Limits {
        self.shared
            .node
            .route_table()
            .map_or(Limits::DEFAULT, |table| table.limits())
    }

    /// Whether one more client may connect. If not, commands the longest idle connection to close.
    fn ensure_capacity(&self) -> bool {
        let clients = self.clients.borrow();
        if clients.len() < self.settings.max_connections {
            return true;
        }
        let idle = clients.values().filter_map(|client| match client.stage() {
            Stage::Idle { since_ms } if client.last_command() == Command::Continue => {
                Some((since_ms, client))
            }
            _ => None,
        });
        if let Some((_, longest_idle)) = idle.min_by_key(|(since_ms, _)| *since_ms) {
            longest_idle.send_command(Command::Close);
        }
        false
    }

    /// Accepts the connections that the operating system has already accepted; closing the listener would reset them.
    async fn accept_pending(self: &Rc<Self>, listener: &TcpListener) {
        let accept_all = async {
            while let Ok(Ok((stream, _))) = timeout(FINAL_ACCEPT_TIMEOUT, listener.accept()).await {
                self.accept(stream);
            }
        };
        // The limit protects against clients that keep connecting.
        let _ = timeout(MAX_FINAL_ACCEPT, accept_all).await;
    }

    fn accept(self: &Rc<Self>, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let connection_number = self.accepted.get() + 1;
        self.accepted.set(connection_number);
        let client = ClientConnection::new(stream, self.shared.clock.now_ms());
        self.clients
            .borrow_mut()
            .insert(connection_number, client.clone());
        let registered = RegisteredClient {
            server: self.clone(),
            connection_number,
        };
        tokio::task::spawn_local(async move {
            let max_header_bytes = registered.server.limits().max_header_bytes;
            client_task::serve(registered.server.shared.clone(), client, max_header_bytes).await;
        });
    }

    /// Closes overdue client connections and expired idle endpoint connections, and ends the drain's accept time.
    /// Protects against clients that send nothing, never finish a message, or do not read their response: they would
    /// keep their connections forever.
    fn expire(&self) {
        let now_ms = self.shared.clock.now_ms();
        if let Phase::Draining { since_ms } = self.phase.get() {
            if now_ms >= since_ms + self.settings.drain_accept_ms {
                self.phase.set(Phase::Closing);
            }
        }
        self.shared.pool.expire(now_ms);
        let limits = self.limits();
        for client in self.clients.borrow().values() {
            let command = client.stage().overdue_command(
                now_ms,
                limits.header_timeout_ms,
                limits.idle_timeout_ms,
            );
            if command != Command::Continue {
                client.send_command(command);
            }
        }
    }
}

/// A client in the server's map of connections. Dropping it removes the client, however the client's task ends.
struct RegisteredClient<N: Node> {
    server: Rc<ProxyServer<N>>,
    connection_number: u64,
}

impl<N: Node> Drop for RegisteredClient<N> {
    fn drop(&mut self) {
        let server = &self.server;
        server.clients.borrow_mut().remove(&self.connection_number);
        let remaining = server.clients.borrow().len();
        // Only a full or closing server waits for clients to disconnect.
        if remaining + 1 >= server.settings.max_connections || server.is_closing() {
            server.changed.notify_waiters();
        }
    }
}
