//! All connections to servers: kept for the next request where that is safe, bounded, closed when they rest long.

use crate::clock::Clock;
use crate::guards::Guards;
use crate::http_headers;
use crate::link::{ConnectError, Link, Place, PEER_TIMEOUT};
use crate::reuse::Rest;
use dunespur_routing::{Server, ServerId};
use http::HeaderMap;
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io::{Error, ErrorKind, Result as Io};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::{timeout, Duration};

/// A connection that has not come up in the half of the request's aim does not: its server is unreachable, and
/// nothing was sent. Within these bounds.
const LEAST_CONNECT_MS: u64 = 100;
const MOST_CONNECT_MS: u64 = 400;
/// This machine, or this process, has no descriptors, buffers or ports left (Linux's numbers).
const ENFILE: i32 = 23;
const EMFILE: i32 = 24;
const EADDRNOTAVAIL: i32 = 99;
const ENOBUFS: i32 = 105;
/// Idle connections kept to one server.
const MOST_IDLE_OF_SERVER: usize = 24;
/// Idle connections kept to all servers. Each takes some tens of kilobytes.
const MOST_IDLE: usize = 160;

/// All connections to servers.
pub(crate) struct Servers {
    most: usize,
    settle: Duration,
    guards: Guards,
    open: Rc<Cell<usize>>,
    opened: Cell<u64>,
    /// Of each server those that rest, the one used last at the end.
    idle: RefCell<HashMap<ServerId, Vec<Idle>>>,
}

/// A connection that rests.
struct Idle {
    link: Link,
    since_ms: u64,
    stated_ms: Option<u64>,
}

impl Idle {
    fn rest(&self, now_ms: u64) -> Rest {
        Rest {
            rested_ms: now_ms.saturating_sub(self.since_ms),
            stated_ms: self.stated_ms,
        }
    }

    /// Whether it stands ready for a request.
    fn is_ready(&mut self, guards: Guards) -> bool {
        self.link.is_ready() && (self.link.is_quiet() || !guards.surplus_bytes_end_connection)
    }
}

impl Servers {
    /// At most so many, each watched for a moment before it carries a request.
    pub(crate) fn new(most: usize, settle: Duration, guards: Guards) -> Servers {
        Servers {
            most,
            settle,
            guards,
            open: Rc::default(),
            opened: Cell::new(0),
            idle: RefCell::default(),
        }
    }

    pub(crate) fn open(&self) -> usize {
        self.open.get()
    }

    pub(crate) fn opened(&self) -> u64 {
        self.opened.get()
    }

    /// A kept connection that is safe for the request, the one used last first.
    pub(crate) fn kept(&self, server: &Server, idempotent: bool, clock: &Clock) -> Option<Link> {
        let mut idle = self.idle.borrow_mut();
        let links = idle.get_mut(&server.id)?;
        let now_ms = clock.now_ms();
        loop {
            let rested = links.iter().rposition(|idle| idle.rest(now_ms).is_over());
            // A late copy of the last answer does no harm to what can be repeated.
            let at = rested.or((idempotent && !links.is_empty()).then_some(0))?;
            if !links[at].rest(now_ms).is_safe_for(idempotent) {
                return None;
            }
            let mut idle = links.remove(at);
            if idle.is_ready(self.guards) {
                return Some(idle.link);
            }
        }
    }

    /// A new connection, for a request with this aim.
    pub(crate) async fn connect(
        &self,
        server: &Server,
        target_ms: u64,
    ) -> Result<Link, ConnectError> {
        if self.open.get() >= self.most && !self.close_oldest() {
            return Err(ConnectError::NoConnectionLeft);
        }
        let place = Place::new(&self.open);
        self.opened.set(self.opened.get() + 1);
        let connect_ms = (target_ms / 2).clamp(LEAST_CONNECT_MS, MOST_CONNECT_MS);
        match timeout(Duration::from_millis(connect_ms), dial(server.address)).await {
            Ok(Ok(stream)) => {
                self.settled(Link::new(server.id.clone(), stream, place).await?)
                    .await
            }
            Ok(Err(error)) => {
                log::debug!("server {} at {}: {error}", server.id, server.address);
                Err(connect_error(&error))
            }
            Err(_) => Err(ConnectError::Unreachable),
        }
    }

    /// Guards against a server that has too many connections and resets a new one: a request written to it by then
    /// might have run, for all that could be told.
    async fn settled(&self, mut link: Link) -> Result<Link, ConnectError> {
        if link.settles(self.settle).await {
            Ok(link)
        } else {
            Err(ConnectError::TurnedAway)
        }
    }

    /// Keeps a connection after a whole answer, unless something speaks against it.
    pub(crate) fn keep(&self, mut link: Link, terms: &KeepTerms, clock: &Clock) {
        if terms.closes || !link.is_ready() {
            return;
        }
        if self.idle_count() >= MOST_IDLE {
            self.close_oldest();
        }
        let mut idle = self.idle.borrow_mut();
        let links = idle.entry(link.server().clone()).or_default();
        if links.len() >= MOST_IDLE_OF_SERVER {
            links.remove(0);
        }
        links.push(Idle {
            link,
            since_ms: clock.now_ms(),
            stated_ms: terms.stated_ms,
        });
    }

    /// Closes what has stood idle for so long that the server might close it first, and what has ended.
    pub(crate) fn sweep(&self, now_ms: u64) {
        self.idle.borrow_mut().retain(|_, links| {
            links.retain_mut(|idle| !idle.rest(now_ms).is_too_long() && idle.link.is_ready());
            !links.is_empty()
        });
    }

    fn idle_count(&self) -> usize {
        self.idle.borrow().values().map(Vec::len).sum()
    }

    fn close_oldest(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        let resting = idle.values_mut().filter(|links| !links.is_empty());
        match resting.min_by_key(|links| links[0].since_ms) {
            Some(links) => {
                links.remove(0);
                true
            }
            None => false,
        }
    }
}

/// What an answer says about its connection.
#[derive(Clone, Copy, Debug)]
pub(crate) struct KeepTerms {
    closes: bool,
    stated_ms: Option<u64>,
}

impl KeepTerms {
    pub(crate) fn read(headers: &HeaderMap) -> KeepTerms {
        KeepTerms {
            closes: http_headers::says_close(headers),
            stated_ms: http_headers::keep_alive_ms(headers),
        }
    }
}

async fn dial(address: SocketAddr) -> Io<TcpStream> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    SockRef::from(&socket).set_tcp_user_timeout(Some(PEER_TIMEOUT))?;
    socket.set_nodelay(true)?;
    socket.connect(address).await
}

/// Whether the server can't be reached or wants no more connections, or this machine has nothing left to reach it
/// with.
fn connect_error(error: &Error) -> ConnectError {
    match (error.raw_os_error(), error.kind()) {
        (Some(ENFILE | EMFILE | ENOBUFS | EADDRNOTAVAIL), _) => ConnectError::NoConnectionLeft,
        (_, ErrorKind::ConnectionReset | ErrorKind::ConnectionAborted) => ConnectError::TurnedAway,
        _ => ConnectError::Unreachable,
    }
}
