//! The watch on the list of servers. Owns the connection to discovery and the revision last heard. It must
//! never drop what it held when discovery is silent, and never judge whether a server is fit to use.

use crate::fault::Fault;
use crate::fleet::Told;
use crate::hub::Hub;
use crate::message::{decode_news, encode_watch, Lines};
use crate::reducer::Event;
use http_body_util::BodyExt;
use hyper_util::rt::TokioIo;
use serde_json::Value;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout_at, Instant};

/// A watch says something every 2 s, be it an empty line. One that brought no whole line for two of these and
/// some is silent, whatever else came over it.
const SILENCE: Duration = Duration::from_millis(4250);
/// A connection and the head of its answer are awaited together no longer than this.
const ANSWER: Duration = Duration::from_secs(1);
/// Time from the end of one watch to the next; twice as long after each that never began, up to `LONGEST`,
/// and up to half more or less by chance. Guards against hundreds that ask a discovery with no room for them
/// again at once, and all together. With `ANSWER` it stays well under the six seconds after which what
/// discovery could tell counts as told, in whichever moment of a pause discovery is back.
const AGAIN: Duration = Duration::from_millis(100);
const LONGEST: Duration = Duration::from_secs(1);

pub struct Discovery {
    address: Cell<SocketAddr>,
    moved: Notify,
    /// The module asks for each watch; elsewhere one always stands.
    on_request: bool,
    revision: Cell<u64>,
    wanted: Notify,
    /// Another limiter of the zone tells the list: none stands here.
    relayed: Cell<bool>,
    /// Where the fleet hears of what the watch says.
    tap: RefCell<Option<UnboundedSender<Told>>>,
}

impl Discovery {
    pub fn new(address: SocketAddr, on_request: bool, revision: u64) -> Self {
        let (moved, wanted) = (Notify::new(), Notify::new());
        let (address, revision) = (Cell::new(address), Cell::new(revision));
        let (relayed, tap) = (Cell::new(false), RefCell::default());
        Discovery { address, moved, on_request, revision, wanted, relayed, tap }
    }

    /// From now on the list is watched at this address.
    pub fn move_to(&self, address: SocketAddr) {
        if self.address.replace(address) != address {
            self.moved.notify_one();
        }
    }

    /// Whether a watch of its own stands here from now on.
    pub fn hold(&self, own: bool) {
        if self.relayed.replace(!own) == own {
            self.moved.notify_one();
        }
    }

    /// The relayed list got to this revision.
    pub fn heard(&self, revision: u64) {
        self.revision.set(revision);
    }

    pub fn tap(&self, to: UnboundedSender<Told>) {
        *self.tap.borrow_mut() = Some(to);
    }

    fn tell_tap(&self, line: impl FnOnce() -> Option<Value>) {
        if let Some(tap) = &*self.tap.borrow() {
            let _ = tap.send(Told::Line(line()));
        }
    }

    pub fn watch(&self) {
        self.wanted.notify_one();
    }

    pub async fn run(hub: Rc<Hub>) {
        let mut again = AGAIN;
        loop {
            if hub.discovery.on_request {
                hub.discovery.wanted.notified().await;
            }
            again = (again * 2).min(LONGEST);
            let fault = loop {
                if hub.discovery.relayed.get() {
                    hub.discovery.moved.notified().await;
                    continue;
                }
                let address = hub.discovery.address.get();
                tokio::select! {
                    fault = hub.discovery.follow(&hub, address, &mut again) => break fault,
                    // The watch goes on at the new address, nothing is lost.
                    () = hub.discovery.leaves(address) => {}
                }
            };
            log::debug!("discovery: {fault}");
            // It can't tell: what is known has to do.
            hub.front.open();
            hub.tell(Event::RosterLost);
            let address = hub.discovery.address.get();
            tokio::select! {
                () = sleep(again.mul_f64(0.5 + fastrand::f64())) => {}
                () = hub.discovery.leaves(address) => {}
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

    /// Follows one watch to its end; one that tells something sets the pause after it back.
    async fn follow(&self, hub: &Rc<Hub>, address: SocketAddr, again: &mut Duration) -> Fault {
        let answered_by = Instant::now() + ANSWER;
        let connect = async {
            let stream = TcpStream::connect(address).await.map_err(|_| Fault::NotConnected)?;
            let _ = stream.set_nodelay(true);
            let io = TokioIo::new(stream);
            hyper::client::conn::http1::handshake(io).await.map_err(|_| Fault::Unwritten)
        };
        let (mut sender, connection) = match timeout_at(answered_by, connect).await {
            Ok(Ok(pair)) => pair,
            Ok(Err(fault)) => return fault,
            Err(_) => return Fault::NotConnected,
        };
        let read = async {
            let request = encode_watch(self.revision.get(), address)?;
            let answer = timeout_at(answered_by, sender.send_request(request)).await;
            let mut body = answer.map_err(|_| Fault::Silent)?.map_err(|_| Fault::Broken)?.into_body();
            let mut lines = Lines::default();
            loop {
                let silent_at = Instant::now() + SILENCE;
                // Only a whole line breaks the silence: bytes that trickle would keep a dead watch alive.
                let line = loop {
                    if let Some(line) = lines.take()? {
                        break line;
                    }
                    let frame = timeout_at(silent_at, body.frame()).await.map_err(|_| Fault::Silent)?;
                    let Some(Ok(frame)) = frame else { return Err(Fault::Broken) };
                    lines.add(frame.data_ref().map_or(&[], |d| d));
                };
                let Some(value) = line else {
                    *again = AGAIN;
                    self.tell_tap(|| None);
                    continue;
                };
                let mut news = decode_news(&value, &hub.names)?;
                let whole = news.whole;
                // Guards against one spoilt member that costs the news of all others, and against its own
                // news passing for heard: what can be read holds, and the watch begins anew from before it.
                // Until then nothing it does not name is taken for gone.
                news.complete &= whole;
                if whole {
                    *again = AGAIN;
                    self.revision.set(news.revision);
                    self.tell_tap(|| Some(value));
                }
                hub.tell(Event::Roster(news));
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
