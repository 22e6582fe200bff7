//! The clients' side: the listener, its connections, and the graceful shutdown.

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

/// How often overdue clients and idle connections are expired.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(500);
/// After a failure to accept, for want of descriptors above all, so long passes until the next attempt.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);
/// Once the listener is to close, it stays open for so long after the last connection that came over it.
const FINAL_ACCEPT_TIMEOUT: Duration = Duration::from_millis(5);
/// And no longer than this.
const MAX_FINAL_ACCEPT: Duration = Duration::from_millis(200);

/// The limits of the data plane.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProxySettings {
    /// Client connections at once. Beyond, the one that has been idle longest is closed.
    pub max_connections: usize,
    /// Endpoint connections at once, idle ones included.
    pub max_endpoint_connections: usize,
    /// How long a new endpoint connection is watched before a request goes over it, in milliseconds: an endpoint with
    /// too many connections resets it within a round trip.
    pub connection_watch_ms: u64,
    /// Bytes that the bodies of all requests under way may take.
    pub body_memory_bytes: usize,
    /// How long new connections are still accepted after [`ProxyServer::drain`], in milliseconds: what the entry needs
    /// to notice.
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

/// How far the server has come in its life cycle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// It accepts clients.
    Serving,
    /// It accepts them still, and closes each connection with its next response.
    Draining { since_ms: u64 },
    /// It accepts no more.
    Closing,
    /// It has none left.
    Closed,
}

/// The data plane of a gateway process.
pub struct ProxyServer<N: Node> {
    shared: Rc<Shared<N>>,
    settings: ProxySettings,
    phase: Cell<Phase>,
    clients: RefCell<BTreeMap<u64, Rc<ClientConnection>>>,
    accepted: Cell<u64>,
    /// The phase has changed, or a client has disconnected.
    changed: Notify,
}

impl<N: Node> ProxyServer<N> {
    /// A server without a listener yet.
    pub fn new(node: Rc<N>, settings: ProxySettings) -> Rc<ProxyServer<N>> {
        ProxyServer::build(node, settings, Safeguards::default())
    }

    /// The same with these safeguards; for tests, which take single ones out.
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

    /// Serves the clients of `listener`, until the server has drained. Runs within a `LocalSet`.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        let mut expiry = interval(EXPIRY_INTERVAL);
        expiry.set_missed_tick_behavior(MissedTickBehavior::Delay);
        while !self.is_closing() {
            let has_capacity = self.make_capacity();
            tokio::select! {
                biased;
                accepted = listener.accept(), if has_capacity => match accepted {
                    Ok((stream, _)) => self.accept(stream),
                    Err(error) => {
                        log::warn!("accept: {error}");
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
            client.command(Command::Close);
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

    /// Starts the graceful shutdown: connections close with their next response, and once the entry has had time to
    /// notice no new ones are accepted.
    pub fn drain(&self) {
        if self.phase.get() == Phase::Serving {
            let since_ms = self.shared.clock.now_ms();
            self.phase.set(Phase::Draining { since_ms });
            self.shared.start_draining();
            self.changed.notify_waiters();
        }
    }

    /// Completes once the server has drained: it accepts no more clients, has none left, and `serve` has ended.
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

    /// Totals so far, and what is in use now.
    #[must_use]
    pub fn counters(&self) -> Counters {
        let shared = &self.shared;
        Counters {
            connections: self.clients.borrow().len(),
            accepted: self.accepted.get(),
            requests: shared.counters.requests(),
            rejected: shared.counters.rejected(),
            failed: shared.counters.failed(),
            endpoint_connections: shared.pool.open(),
            endpoint_connections_opened: shared.pool.opened(),
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

    /// Whether one more client may connect; else the one that has been idle longest is commanded to close.
    fn make_capacity(&self) -> bool {
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
        if let Some((_, longest)) = idle.min_by_key(|(since_ms, _)| *since_ms) {
            longest.command(Command::Close);
        }
        false
    }

    /// Accepts what the operating system has accepted already, and no more: those clients would see a reset.
    async fn accept_pending(self: &Rc<Self>, listener: &TcpListener) {
        let accept_all = async {
            while let Ok(Ok((stream, _))) = timeout(FINAL_ACCEPT_TIMEOUT, listener.accept()).await {
                self.accept(stream);
            }
        };
        // Protects against clients that keep connecting.
        let _ = timeout(MAX_FINAL_ACCEPT, accept_all).await;
    }

    fn accept(self: &Rc<Self>, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let number = self.accepted.get() + 1;
        self.accepted.set(number);
        let client = ClientConnection::new(stream, self.shared.clock.now_ms());
        self.clients.borrow_mut().insert(number, client.clone());
        let entry = ClientEntry {
            server: self.clone(),
            number,
        };
        tokio::task::spawn_local(async move {
            let max_header_bytes = entry.server.limits().max_header_bytes;
            client_task::serve(entry.server.shared.clone(), client, max_header_bytes).await;
        });
    }

    /// Protects against clients that send nothing, begin a message and never end it, or do not read their response:
    /// they would keep their connections for good.
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
            let command =
                client
                    .stage()
                    .due(now_ms, limits.header_timeout_ms, limits.idle_timeout_ms);
            if command != Command::Continue {
                client.command(command);
            }
        }
    }
}

/// A client's entry in the server's list, removed however its task ends.
struct ClientEntry<N: Node> {
    server: Rc<ProxyServer<N>>,
    number: u64,
}

impl<N: Node> Drop for ClientEntry<N> {
    fn drop(&mut self) {
        let server = &self.server;
        server.clients.borrow_mut().remove(&self.number);
        let others = server.clients.borrow().len();
        // Nobody else waits for a client to disconnect.
        if others + 1 >= server.settings.max_connections || server.is_closing() {
            server.changed.notify_waiters();
        }
    }
}
