//! The clients' side: the listener, the connections of clients, the drain.

use crate::client::{Client, Order, Stage, Wire};
use crate::clock::Clock;
use crate::exchange;
use crate::guards::Guards;
use crate::limit::Departures;
use crate::memory::Memory;
use crate::node::Node;
use crate::refusal::Refusal;
use crate::servers::Servers;
use dunespur_configuration::Limits;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::pin::pin;
use std::rc::Rc;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::time::{interval, timeout, Duration, MissedTickBehavior};

/// How often late clients and idle connections are looked after.
const SWEEP: Duration = Duration::from_millis(500);
/// After a failure to accept, for want of descriptors above all, so long passes until the next attempt.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);
/// Once the listener is to close, it stays open for so long after the last connection that came over it.
const LAST_LOOK: Duration = Duration::from_millis(5);
/// And no longer than this.
const MOST_LAST_LOOK: Duration = Duration::from_millis(200);
/// The line before a head comes on top of the bytes that its headers may have.
const REQUEST_LINE: usize = 4 * 1024;
/// What is read ahead of a client's message, and written ahead of what the client takes.
const BUFFER: usize = 64 * 1024;
/// Headers of a request.
const MOST_HEADERS: usize = 160;

/// What the data plane may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FrontSettings {
    /// Connections of clients at once. Beyond, the one that has rested longest gives its place.
    pub max_connections: usize,
    /// Connections to servers at once, idle ones included.
    pub max_server_connections: usize,
    /// How long a new connection to a server is watched before a request goes over it, in milliseconds: a server
    /// with too many resets it within its way there and back.
    pub settle_ms: u64,
    /// Bytes that the bodies of all requests under way may take.
    pub memory_bytes: usize,
    /// How long new connections are still taken after [`Front::drain`], in milliseconds: what the entry needs to
    /// notice.
    pub leave_ms: u64,
}

impl Default for FrontSettings {
    fn default() -> FrontSettings {
        FrontSettings {
            max_connections: 1500,
            max_server_connections: 1000,
            settle_ms: 3,
            memory_bytes: 32 * 1024 * 1024,
            leave_ms: 3500,
        }
    }
}

/// What has happened so far, and what is held now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Connections of clients that are open.
    pub connections: usize,
    /// Connections of clients accepted.
    pub accepted: u64,
    /// Requests whose head was read.
    pub requests: u64,
    /// Requests answered by a 503 of the system's own.
    pub refused: u64,
    /// Requests answered by a 502 or 504 of the system's own.
    pub failed: u64,
    /// Connections to servers that are open, idle ones included.
    pub server_connections: usize,
    /// Connections to servers opened.
    pub server_connections_opened: u64,
    /// Bytes that bodies under way take.
    pub body_bytes: usize,
}

/// How far the front has come in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// It takes clients.
    Serving,
    /// It takes them still, and ends each connection with its next answer.
    Leaving { since_ms: u64 },
    /// It takes no more.
    Closing,
    /// It has none left.
    Closed,
}

/// The data plane of a gateway process.
pub struct Front<N: Node> {
    pub(crate) node: Rc<N>,
    pub(crate) clock: Rc<Clock>,
    pub(crate) servers: Servers,
    pub(crate) memory: Rc<Memory>,
    pub(crate) departures: Rc<Departures>,
    pub(crate) guards: Guards,
    settings: FrontSettings,
    phase: Cell<Phase>,
    clients: RefCell<BTreeMap<u64, Rc<Client>>>,
    accepted: Cell<u64>,
    requests: Cell<u64>,
    refused: Cell<u64>,
    failed: Cell<u64>,
    /// The phase has changed, or a client has gone.
    changed: Notify,
}

impl<N: Node> Front<N> {
    /// A front that serves no listener yet.
    pub fn new(node: Rc<N>, settings: FrontSettings) -> Rc<Front<N>> {
        Front::with_guards(node, settings, Guards::default())
    }

    /// The same with these guards; for tests, which take single ones out.
    pub fn with_guards(node: Rc<N>, settings: FrontSettings, guards: Guards) -> Rc<Front<N>> {
        let settle = Duration::from_millis(settings.settle_ms);
        Rc::new(Front {
            node,
            clock: Rc::new(Clock::new()),
            servers: Servers::new(settings.max_server_connections, settle, guards),
            memory: Memory::new(settings.memory_bytes),
            departures: Rc::new(Departures::new()),
            guards,
            settings,
            phase: Cell::new(Phase::Serving),
            clients: RefCell::default(),
            accepted: Cell::new(0),
            requests: Cell::new(0),
            refused: Cell::new(0),
            failed: Cell::new(0),
            changed: Notify::new(),
        })
    }

    /// Takes the clients of `listener`, until the front has drained. Runs within a `LocalSet`.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        let mut sweep = interval(SWEEP);
        sweep.set_missed_tick_behavior(MissedTickBehavior::Delay);
        while !self.is_closing() {
            let has_place = self.make_room();
            tokio::select! {
                biased;
                accepted = listener.accept(), if has_place => match accepted {
                    Ok((stream, _)) => self.take(stream),
                    Err(error) => {
                        log::warn!("accept: {error}");
                        tokio::time::sleep(ACCEPT_PAUSE).await;
                    }
                },
                _ = sweep.tick() => self.sweep(),
                () = self.changed.notified() => {}
            }
        }
        self.last_look(&listener).await;
        drop(listener);
        self.clients
            .borrow()
            .values()
            .for_each(|client| client.tell(Order::Leave));
        while !self.clients.borrow().is_empty() {
            tokio::select! {
                _ = sweep.tick() => self.sweep(),
                () = self.changed.notified() => {}
            }
        }
        self.phase.set(Phase::Closed);
        self.changed.notify_waiters();
    }

    /// The process is to end: connections end with their next answer, and after the time for the entry to notice
    /// no new ones are taken.
    pub fn drain(&self) {
        if self.phase.get() == Phase::Serving {
            self.phase.set(Phase::Leaving {
                since_ms: self.clock.now_ms(),
            });
            self.changed.notify_waiters();
        }
    }

    /// Completes once the front has drained: it takes no more clients, has none left, and `serve` has ended.
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

    /// What has happened so far.
    pub fn counters(&self) -> Counters {
        Counters {
            connections: self.clients.borrow().len(),
            accepted: self.accepted.get(),
            requests: self.requests.get(),
            refused: self.refused.get(),
            failed: self.failed.get(),
            server_connections: self.servers.open(),
            server_connections_opened: self.servers.opened(),
            body_bytes: self.memory.taken(),
        }
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.phase.get() != Phase::Serving
    }

    fn is_closing(&self) -> bool {
        matches!(self.phase.get(), Phase::Closing | Phase::Closed)
    }

    pub(crate) fn draw(&self) -> u64 {
        fastrand::u64(..)
    }

    pub(crate) fn count_request(&self) {
        self.requests.set(self.requests.get() + 1);
        self.departures.count_request();
    }

    pub(crate) fn count_refusal(&self, refusal: Refusal) {
        match refusal {
            Refusal::Later { .. } => self.refused.set(self.refused.get() + 1),
            Refusal::MayHaveRun | Refusal::TimeUp => self.failed.set(self.failed.get() + 1),
            _ => {}
        }
    }

    fn limits(&self) -> Limits {
        self.node
            .table()
            .map_or(Limits::DEFAULT, |table| table.limits())
    }

    /// Whether there is a place for one more client; else the one that has rested longest is to give its own.
    fn make_room(&self) -> bool {
        let clients = self.clients.borrow();
        if clients.len() < self.settings.max_connections {
            return true;
        }
        let resting = clients.values().filter_map(|client| match client.stage() {
            Stage::Resting { since_ms } if client.order() == Order::Stay => {
                Some((since_ms, client))
            }
            _ => None,
        });
        if let Some((_, longest)) = resting.min_by_key(|(since_ms, _)| *since_ms) {
            longest.tell(Order::Leave);
        }
        false
    }

    /// Takes what the machine has accepted, and no more.
    async fn last_look(self: &Rc<Self>, listener: &TcpListener) {
        let accept_all = async {
            while let Ok(Ok((stream, _))) = timeout(LAST_LOOK, listener.accept()).await {
                self.take(stream);
            }
        };
        // Guards against clients that come without an end.
        let _ = timeout(MOST_LAST_LOOK, accept_all).await;
    }

    fn take(self: &Rc<Self>, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let number = self.accepted.get() + 1;
        self.accepted.set(number);
        let client = Client::new(stream, self.clock.now_ms());
        self.clients.borrow_mut().insert(number, client.clone());
        let place = Place {
            front: self.clone(),
            number,
        };
        tokio::task::spawn_local(connection(self.clone(), client, place));
    }

    /// Guards against clients that say nothing, begin a message and never end it, or do not take their answer:
    /// they would keep their places for good.
    fn sweep(&self) {
        let now_ms = self.clock.now_ms();
        if let Phase::Leaving { since_ms } = self.phase.get() {
            if now_ms >= since_ms + self.settings.leave_ms {
                self.phase.set(Phase::Closing);
            }
        }
        self.servers.sweep(now_ms);
        let limits = self.limits();
        for client in self.clients.borrow().values() {
            let order =
                client
                    .stage()
                    .due(now_ms, limits.header_timeout_ms, limits.idle_timeout_ms);
            if order != Order::Stay {
                client.tell(order);
            }
        }
    }
}

/// A client's entry, taken out however its task ends.
struct Place<N: Node> {
    front: Rc<Front<N>>,
    number: u64,
}

impl<N: Node> Drop for Place<N> {
    fn drop(&mut self) {
        let front = &self.front;
        front.clients.borrow_mut().remove(&self.number);
        let others = front.clients.borrow().len();
        // Nobody else waits for a client to go.
        if others + 1 >= front.settings.max_connections || front.is_closing() {
            front.changed.notify_waiters();
        }
    }
}

/// A client's connection until its end.
async fn connection<N: Node>(front: Rc<Front<N>>, client: Rc<Client>, _place: Place<N>) {
    let most_head_bytes = front.limits().max_header_bytes + REQUEST_LINE;
    let mut builder = http1::Builder::new();
    builder
        .auto_date_header(false)
        .header_read_timeout(None)
        .max_headers(MOST_HEADERS)
        .max_header_size(most_head_bytes)
        .max_buf_size(most_head_bytes.max(BUFFER));
    let wire = Wire {
        client: client.clone(),
        clock: front.clock.clone(),
    };
    let service = service_fn(|request| {
        let (front, client) = (front.clone(), client.clone());
        // Boxed, so that a connection at rest takes no room for a request.
        Box::pin(async move { Ok::<_, Infallible>(exchange::answer(front, client, request).await) })
    });
    let end = {
        let mut connection = pin!(builder.serve_connection(wire, service));
        loop {
            tokio::select! {
                biased;
                ended = &mut connection => break End::of(ended),
                () = client.told() => match client.order() {
                    Order::Stay => {}
                    // A message that lies there is answered first; its answer ends the connection.
                    Order::Leave if client.has_unread() => {}
                    Order::Leave => connection.as_mut().graceful_shutdown(),
                    Order::TooSlow => break End::TooSlow,
                    Order::Cut => break End::AtOnce,
                },
            }
        }
        // What is in hand ends with hyper's side, before anything else happens here.
    };
    match end {
        End::AtOnce => return,
        End::TooSlow => Box::pin(client.answer_slow()).await,
        End::Malformed => client.refuse_unread(),
        End::InOrder => {}
    }
    // Boxed, so that a connection takes no room for its end before that.
    Box::pin(client.end()).await;
}

/// Why a client's connection ends.
enum End {
    /// Either side wanted it.
    InOrder,
    /// What came is no request, and was refused as such.
    Malformed,
    /// A head did not come whole in time.
    TooSlow,
    /// Its client does not take its answer.
    AtOnce,
}

impl End {
    fn of(ended: Result<(), hyper::Error>) -> End {
        match ended {
            Err(error) if error.is_parse() => End::Malformed,
            Ok(()) | Err(_) => End::InOrder,
        }
    }
}
