//! Watches discovery's list of servers. Owns the connection to discovery and the revision of the last list. The last
//! list stays in use while discovery does not respond; this module never judges the health of a server.

use crate::error::GatewayError;
use crate::event_loop::EventLoop;
use crate::fleet::FleetEvent;
use crate::protocol::{decode_endpoints, encode_watch, WatchLines};
use crate::state_machine::Event;
use http_body_util::BodyExt;
use hyper_util::rt::TokioIo;
use serde_json::Value;
use std::cell::{Cell, RefCell};
use std::future::{poll_fn, Future};
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::Notify;
use tokio::time::{sleep, sleep_until, timeout, Instant};

/// Discovery sends a line at least every 2 s, empty if nothing changed. A watch without a complete line for slightly
/// more than two such intervals has timed out, whatever other bytes arrived.
const WATCH_TIMEOUT: Duration = Duration::from_millis(4250);
/// Time limit for connecting and for the response head together.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay before the next watch. It doubles after each watch that received no line, up to `MAX_RETRY_INTERVAL`, with a
/// random factor between 0.5 and 1.5, so that hundreds of gateways do not all retry against an overloaded discovery
/// at once. Together with `CONNECT_TIMEOUT` it stays well below the six seconds within which a change must be known
/// after discovery returns.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);
const MAX_RETRY_INTERVAL: Duration = Duration::from_secs(1);

pub struct DiscoveryWatch {
    address: Cell<SocketAddr>,
    changed: Notify,
    /// Whether a watch opens only when the limiter requests it; otherwise one is always open.
    on_request: bool,
    revision: Cell<u64>,
    watch_requested: Notify,
    /// Another limiter of the zone relays the list, so no own watch is open.
    relayed: Cell<bool>,
    /// Receives each line of the watch for the fleet task.
    observer: RefCell<Option<UnboundedSender<FleetEvent>>>,
}

impl DiscoveryWatch {
    pub fn new(address: SocketAddr, on_request: bool, revision: u64) -> Self {
        let (changed, watch_requested) = (Notify::new(), Notify::new());
        let (address, revision) = (Cell::new(address), Cell::new(revision));
        let (relayed, observer) = (Cell::new(false), RefCell::default());
        DiscoveryWatch {
            address,
            changed,
            on_request,
            revision,
            watch_requested,
            relayed,
            observer,
        }
    }

    /// Watches the list at this address from now on.
    pub fn set_address(&self, address: SocketAddr) {
        if self.address.replace(address) != address {
            self.changed.notify_one();
        }
    }

    /// Opens or closes this process's own watch.
    pub fn set_own_watch(&self, own: bool) {
        if self.relayed.replace(!own) == own {
            self.changed.notify_one();
        }
    }

    /// Records the revision of the relayed list, from which an own watch would continue.
    pub fn set_revision(&self, revision: u64) {
        self.revision.set(revision);
    }

    pub fn set_observer(&self, observer: UnboundedSender<FleetEvent>) {
        *self.observer.borrow_mut() = Some(observer);
    }

    fn report_to_fleet(&self, line: impl FnOnce() -> Option<Value>) {
        if let Some(observer) = &*self.observer.borrow() {
            let _ = observer.send(FleetEvent::WatchLine(line()));
        }
    }

    pub fn request_watch(&self) {
        self.watch_requested.notify_one();
    }

    /// Keeps a watch open for as long as the process lives.
    pub async fn run(event_loop: Rc<EventLoop>) {
        let discovery = &event_loop.discovery_watch;
        let mut retry_interval = RETRY_INTERVAL;
        // A watch that timed out, kept until the next one has sent its request: if discovery returns between the two,
        // it answers on this one.
        let mut silent: Option<WatchConnection> = None;
        loop {
            while discovery.relayed.get() {
                silent = None;
                discovery.changed.notified().await;
            }
            let address = discovery.address.get();
            let mut watch = match silent.take_if(|watch| !watch.progress.silent.get()) {
                Some(active) => active,
                None => {
                    if discovery.on_request {
                        wait_or_active(&mut silent, discovery.watch_requested.notified()).await;
                    }
                    WatchConnection::open(&event_loop, address)
                }
            };
            let error = tokio::select! {
                error = watch.run_until_silent(&mut silent) => error,
                // The next watch continues from the last revision at the new address, so no change is lost.
                () = discovery.address_changed(address) => {
                    silent = None;
                    continue;
                }
            };
            log::debug!("discovery: watch at {address} ended: {error}");
            retry_interval = if watch.progress.last_line_at.get().is_some() {
                RETRY_INTERVAL
            } else {
                (retry_interval * 2).min(MAX_RETRY_INTERVAL)
            };
            if error == GatewayError::TimedOut && watch.progress.request_sent.get() {
                silent = Some(watch);
            }
            // Discovery does not respond, so the listener opens with the list that is known.
            event_loop.client_listener.open();
            event_loop.handle(Event::WatchLost);
            let pause = sleep(retry_interval.mul_f64(0.5 + fastrand::f64()));
            tokio::select! {
                () = wait_or_active(&mut silent, pause) => {}
                () = discovery.address_changed(address) => silent = None,
            }
        }
    }

    /// Waits until no watch may be open at this address any more. The loop ignores permits left over from earlier
    /// changes.
    async fn address_changed(&self, address: SocketAddr) {
        while self.address.get() == address && !self.relayed.get() {
            self.changed.notified().await;
        }
    }

    /// Opens one watch and reads its lists until it fails, recording how far it has come in `progress`.
    async fn read_lists(
        &self,
        event_loop: &Rc<EventLoop>,
        address: SocketAddr,
        progress: &WatchProgress,
    ) -> GatewayError {
        let connect = async {
            let stream = TcpStream::connect(address)
                .await
                .map_err(|_| GatewayError::ConnectFailed)?;
            let _ = stream.set_nodelay(true);
            let io = TokioIo::new(stream);
            hyper::client::conn::http1::handshake(io)
                .await
                .map_err(|_| GatewayError::ClosedBeforeSent)
        };
        let (mut sender, connection) = match timeout(CONNECT_TIMEOUT, connect).await {
            Ok(Ok(pair)) => pair,
            Ok(Err(error)) => return error,
            Err(_) => return GatewayError::ConnectFailed,
        };
        let read = async {
            let request = encode_watch(self.revision.get(), address)?;
            let response = sender.send_request(request);
            progress.request_sent.set(true);
            let response = response.await.map_err(|_| GatewayError::ClosedAfterSent)?;
            let (head, mut body) = response.into_parts();
            // The list of such a response would be read by a guess.
            dunespur_response_head::validate(&head)
                .map_err(|error| GatewayError::Malformed(error.to_string()))?;
            let mut lines = WatchLines::default();
            loop {
                // Only a complete line counts as activity: a trickle of bytes would keep a dead watch open.
                let line = loop {
                    if let Some(line) = lines.next_list()? {
                        break line;
                    }
                    let Some(Ok(frame)) = body.frame().await else {
                        return Err(GatewayError::ClosedAfterSent);
                    };
                    lines.push(frame.data_ref().map_or(&[], |d| d));
                };
                let Some(value) = line else {
                    progress.line_received();
                    self.report_to_fleet(|| None);
                    continue;
                };
                let mut update = decode_endpoints(&value, &event_loop.names)?;
                let all_decoded = update.all_decoded;
                // Applies the endpoints that could be decoded, even if others could not. The revision then stays as
                // it was, so that the next watch sends the whole update again, and until then no unlisted endpoint is
                // considered gone.
                update.complete &= all_decoded;
                if all_decoded {
                    progress.line_received();
                    self.revision.set(update.revision);
                    self.report_to_fleet(|| Some(value));
                }
                event_loop.handle(Event::EndpointsUpdated(update));
                event_loop.client_listener.open();
                if !all_decoded {
                    return Err(GatewayError::Malformed(
                        "an endpoint of the list cannot be decoded".into(),
                    ));
                }
            }
        };
        tokio::pin!(read, connection);
        let mut connection_open = true;
        loop {
            tokio::select! {
                biased;
                ended = &mut read => return ended.map_or_else(|error: GatewayError| error, |()| GatewayError::ClosedAfterSent),
                _ = &mut connection, if connection_open => connection_open = false,
            }
        }
    }
}

/// How far a watch has come, shared with the code that times it out.
struct WatchProgress {
    opened_at: Instant,
    /// The request has been handed to the connection.
    request_sent: Cell<bool>,
    /// When the last complete line arrived.
    last_line_at: Cell<Option<Instant>>,
    /// The watch timed out and has received no line since.
    silent: Cell<bool>,
}

impl WatchProgress {
    fn line_received(&self) {
        self.last_line_at.set(Some(Instant::now()));
        self.silent.set(false);
    }

    /// When the watch times out unless a line arrives.
    fn timeout_at(&self) -> Instant {
        self.last_line_at
            .get()
            .map_or(self.opened_at + CONNECT_TIMEOUT, |last_line_at| {
                last_line_at + WATCH_TIMEOUT
            })
    }
}

/// One watch; it makes progress only while it is polled.
struct WatchConnection {
    progress: Rc<WatchProgress>,
    end: Pin<Box<dyn Future<Output = GatewayError>>>,
}

impl WatchConnection {
    fn open(event_loop: &Rc<EventLoop>, address: SocketAddr) -> Self {
        let (request_sent, last_line_at, silent) =
            (Cell::new(false), Cell::new(None), Cell::new(false));
        let progress = Rc::new(WatchProgress {
            opened_at: Instant::now(),
            request_sent,
            last_line_at,
            silent,
        });
        let (event_loop, shared) = (event_loop.clone(), progress.clone());
        WatchConnection {
            progress,
            end: Box::pin(async move {
                event_loop
                    .discovery_watch
                    .read_lists(&event_loop, address, &shared)
                    .await
            }),
        }
    }

    /// Runs until the watch fails or times out. The previous watch is dropped once this one has sent its request, and
    /// replaces this one if it receives a line before that.
    async fn run_until_silent(&mut self, previous: &mut Option<WatchConnection>) -> GatewayError {
        loop {
            let timeout_at = self.progress.timeout_at();
            tokio::select! {
                biased;
                error = poll_fn(|cx| self.poll(previous, cx)) => return error,
                () = sleep_until(timeout_at) => {}
            }
            if Instant::now() >= self.progress.timeout_at() {
                self.progress.silent.set(true);
                return GatewayError::TimedOut;
            }
        }
    }

    fn poll(
        &mut self,
        previous: &mut Option<WatchConnection>,
        cx: &mut Context,
    ) -> Poll<GatewayError> {
        let ended = self.end.as_mut().poll(cx);
        if ended.is_ready() || self.progress.request_sent.get() {
            if ended.is_pending() {
                *previous = None;
            }
            return ended;
        }
        if poll_silent_watch(previous, cx) {
            *self = previous.take().expect("polled as active above");
            return self.poll(previous, cx);
        }
        Poll::Pending
    }
}

/// Polls the timed-out watch; true if it has received a line. Drops it if it has failed.
fn poll_silent_watch(silent: &mut Option<WatchConnection>, cx: &mut Context) -> bool {
    let Some(watch) = silent else { return false };
    if watch.end.as_mut().poll(cx).is_ready() {
        *silent = None;
        return false;
    }
    !watch.progress.silent.get()
}

/// Waits for `wait`, or until the timed-out watch receives a line.
async fn wait_or_active(silent: &mut Option<WatchConnection>, wait: impl Future<Output = ()>) {
    tokio::select! {
        () = wait => {}
        () = poll_fn(|cx| if poll_silent_watch(silent, cx) { Poll::Ready(()) } else { Poll::Pending }) => {}
    }
}
