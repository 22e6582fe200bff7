//! The watch on the list of servers: owns the connection to discovery and the revision of the last list. Keeps the last
//! list while discovery does not respond, and never judges whether a server is fit to use.

use crate::fault::Fault;
use crate::fleet::FleetEvent;
use crate::hub::Hub;
use crate::message::{decode_endpoints, encode_watch, Lines};
use crate::reducer::Event;
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

/// A watch sends a line every 2 s, be it an empty one. A watch without a complete line for two of these and some has
/// timed out, whatever else arrived over it.
const WATCH_TIMEOUT: Duration = Duration::from_millis(4250);
/// Time for a connection and the head of its response together.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time from the end of one watch to the next; twice as long after each that never began, up to `LONGEST`,
/// and up to half more or less by chance. Guards against hundreds that ask a discovery with no room for them
/// again at once, and all together. With `ANSWER` it stays well under the six seconds after which what
/// discovery could report counts as known, in whichever moment of a pause discovery is back.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);
const MAX_RETRY_INTERVAL: Duration = Duration::from_secs(1);

pub struct Discovery {
    address: Cell<SocketAddr>,
    moved: Notify,
    /// The limiter asks for each watch; otherwise there always is one.
    on_request: bool,
    revision: Cell<u64>,
    wanted: Notify,
    /// Another limiter of the zone relays the list: there is no own watch.
    relayed: Cell<bool>,
    /// Where the fleet's part gets each line of the watch.
    observer: RefCell<Option<UnboundedSender<FleetEvent>>>,
}

impl Discovery {
    pub fn new(address: SocketAddr, on_request: bool, revision: u64) -> Self {
        let (moved, wanted) = (Notify::new(), Notify::new());
        let (address, revision) = (Cell::new(address), Cell::new(revision));
        let (relayed, observer) = (Cell::new(false), RefCell::default());
        Discovery {
            address,
            moved,
            on_request,
            revision,
            wanted,
            relayed,
            observer,
        }
    }

    /// From now on the list is watched at this address.
    pub fn move_to(&self, address: SocketAddr) {
        if self.address.replace(address) != address {
            self.moved.notify_one();
        }
    }

    /// Whether there is an own watch from now on.
    pub fn set_own_watch(&self, own: bool) {
        if self.relayed.replace(!own) == own {
            self.moved.notify_one();
        }
    }

    /// The relayed list is at this revision.
    pub fn set_revision(&self, revision: u64) {
        self.revision.set(revision);
    }

    pub fn observer(&self, to: UnboundedSender<FleetEvent>) {
        *self.observer.borrow_mut() = Some(to);
    }

    fn report_to_fleet(&self, line: impl FnOnce() -> Option<Value>) {
        if let Some(observer) = &*self.observer.borrow() {
            let _ = observer.send(FleetEvent::Line(line()));
        }
    }

    pub fn watch(&self) {
        self.wanted.notify_one();
    }

    /// Keeps a watch open for as long as the process lives.
    pub async fn run(hub: Rc<Hub>) {
        let discovery = &hub.discovery;
        let mut again = RETRY_INTERVAL;
        // One that fell silent, kept until the next has asked: guards against a return of discovery in the
        // pause between two, which is told over whatever waits for it then.
        let mut silent: Option<Watch> = None;
        loop {
            while discovery.relayed.get() {
                silent = None;
                discovery.moved.notified().await;
            }
            let address = discovery.address.get();
            let mut watch = match silent.take_if(|w| !w.signs.silent.get()) {
                Some(spoke_again) => spoke_again,
                None => {
                    if discovery.on_request {
                        until_it_speaks(&mut silent, discovery.wanted.notified()).await;
                    }
                    Watch::open(&hub, address)
                }
            };
            let fault = tokio::select! {
                fault = watch.stand(&mut silent) => fault,
                // The watch goes on at the new address, nothing is lost.
                () = discovery.leaves(address) => {
                    silent = None;
                    continue;
                }
            };
            log::debug!("discovery: {fault}");
            again = if watch.signs.spoke.get().is_some() {
                RETRY_INTERVAL
            } else {
                (again * 2).min(MAX_RETRY_INTERVAL)
            };
            if fault == Fault::Silent && watch.signs.asked.get() {
                silent = Some(watch);
            }
            // It can't tell: what is known has to do.
            hub.front.open();
            hub.tell(Event::WatchLost);
            let pause = sleep(again.mul_f64(0.5 + fastrand::f64()));
            tokio::select! {
                () = until_it_speaks(&mut silent, pause) => {}
                () = discovery.leaves(address) => silent = None,
            }
        }
    }

    /// Ends once no watch is to stand at this address any more. A permit left over from an earlier move ends
    /// nothing.
    async fn leaves(&self, address: SocketAddr) {
        while self.address.get() == address && !self.relayed.get() {
            self.moved.notified().await;
        }
    }

    /// Follows one watch to its end; what it says of itself are its signs.
    async fn follow(&self, hub: &Rc<Hub>, address: SocketAddr, signs: &Signs) -> Fault {
        let connect = async {
            let stream = TcpStream::connect(address)
                .await
                .map_err(|_| Fault::NotConnected)?;
            let _ = stream.set_nodelay(true);
            let io = TokioIo::new(stream);
            hyper::client::conn::http1::handshake(io)
                .await
                .map_err(|_| Fault::Unwritten)
        };
        let (mut sender, connection) = match timeout(CONNECT_TIMEOUT, connect).await {
            Ok(Ok(pair)) => pair,
            Ok(Err(fault)) => return fault,
            Err(_) => return Fault::NotConnected,
        };
        let read = async {
            let request = encode_watch(self.revision.get(), address)?;
            let answer = sender.send_request(request);
            signs.asked.set(true);
            let mut body = answer.await.map_err(|_| Fault::Broken)?.into_body();
            let mut lines = Lines::default();
            loop {
                // Only a whole line breaks the silence: bytes that trickle would keep a dead watch alive.
                let line = loop {
                    if let Some(line) = lines.take()? {
                        break line;
                    }
                    let Some(Ok(frame)) = body.frame().await else {
                        return Err(Fault::Broken);
                    };
                    lines.add(frame.data_ref().map_or(&[], |d| d));
                };
                let Some(value) = line else {
                    signs.speak();
                    self.report_to_fleet(|| None);
                    continue;
                };
                let mut news = decode_endpoints(&value, &hub.names)?;
                let whole = news.whole;
                // Guards against one spoilt member that costs the news of all others, and against its own
                // news passing for heard: what can be read holds, and the watch begins anew from before it.
                // Until then nothing it does not name is taken for gone.
                news.complete &= whole;
                if whole {
                    signs.speak();
                    self.revision.set(news.revision);
                    self.report_to_fleet(|| Some(value));
                }
                hub.tell(Event::Endpoints(news));
                hub.front.open();
                if !whole {
                    return Err(Fault::Malformed("a member of the list".into()));
                }
            }
        };
        tokio::pin!(read, connection);
        let mut up = true;
        loop {
            tokio::select! {
                biased;
                ended = &mut read => return ended.map_or_else(|fault: Fault| fault, |()| Fault::Broken),
                _ = &mut connection, if up => up = false,
            }
        }
    }
}

/// How far a watch has come.
struct Signs {
    begun: Instant,
    /// Its request is on its way.
    asked: Cell<bool>,
    /// When a whole line came last.
    spoke: Cell<Option<Instant>>,
    /// It was found silent, and has not spoken since.
    silent: Cell<bool>,
}

impl Signs {
    fn speak(&self) {
        self.spoke.set(Some(Instant::now()));
        self.silent.set(false);
    }

    /// When it is to be taken for silent.
    fn silent_at(&self) -> Instant {
        self.spoke
            .get()
            .map_or(self.begun + CONNECT_TIMEOUT, |spoke| spoke + WATCH_TIMEOUT)
    }
}

/// One watch, that stands for as long as it is polled.
struct Watch {
    signs: Rc<Signs>,
    end: Pin<Box<dyn Future<Output = Fault>>>,
}

impl Watch {
    fn open(hub: &Rc<Hub>, address: SocketAddr) -> Self {
        let (asked, spoke, silent) = (Cell::new(false), Cell::new(None), Cell::new(false));
        let signs = Rc::new(Signs {
            begun: Instant::now(),
            asked,
            spoke,
            silent,
        });
        let (hub, shared) = (hub.clone(), signs.clone());
        Watch {
            signs,
            end: Box::pin(async move { hub.discovery.follow(&hub, address, &shared).await }),
        }
    }

    /// Stands until it ends or is silent. The one before it is let go once this one has asked, and takes its
    /// place if it speaks first.
    async fn stand(&mut self, before: &mut Option<Watch>) -> Fault {
        loop {
            let silent_at = self.signs.silent_at();
            tokio::select! {
                biased;
                fault = poll_fn(|cx| self.poll(before, cx)) => return fault,
                () = sleep_until(silent_at) => {}
            }
            if Instant::now() >= self.signs.silent_at() {
                self.signs.silent.set(true);
                return Fault::Silent;
            }
        }
    }

    fn poll(&mut self, before: &mut Option<Watch>, cx: &mut Context) -> Poll<Fault> {
        let ended = self.end.as_mut().poll(cx);
        if ended.is_ready() || self.signs.asked.get() {
            if ended.is_pending() {
                *before = None;
            }
            return ended;
        }
        if poll_silent(before, cx) {
            *self = before.take().expect("it has just spoken");
            return self.poll(before, cx);
        }
        Poll::Pending
    }
}

/// Whether the silent watch has spoken again; none is left where it ended.
fn poll_silent(silent: &mut Option<Watch>, cx: &mut Context) -> bool {
    let Some(watch) = silent else { return false };
    if watch.end.as_mut().poll(cx).is_ready() {
        *silent = None;
        return false;
    }
    !watch.signs.silent.get()
}

/// Waits for this, no longer than until the silent watch speaks again.
async fn until_it_speaks(silent: &mut Option<Watch>, wait: impl Future<Output = ()>) {
    tokio::select! {
        () = wait => {}
        () = poll_fn(|cx| if poll_silent(silent, cx) { Poll::Ready(()) } else { Poll::Pending }) => {}
    }
}
