//! The watch on the list of servers. Owns the connection to discovery and the revision last heard. It must
//! never drop what it held when discovery is silent, and never judge whether a server is fit to use.

use crate::fault::Fault;
use crate::fleet::Told;
use crate::hub::Hub;
use crate::message::{decode_news, encode_watch, take_line};
use crate::reducer::Event;
use bytes::BytesMut;
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
use tokio::time::{sleep, timeout};

/// A watch says something this often, be it an empty line; no answer at all is awaited longer.
const HEARTBEAT: Duration = Duration::from_secs(2);
/// Time from the end of one watch to the next; twice as long after each that never began, up to a heartbeat,
/// and up to half more or less by chance. Guards against hundreds that ask a discovery with no room for them
/// again at once, and all together.
const AGAIN: Duration = Duration::from_millis(100);

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
            again = (again * 2).min(HEARTBEAT);
            let fault = loop {
                if hub.discovery.relayed.get() {
                    hub.discovery.moved.notified().await;
                    continue;
                }
                tokio::select! {
                    fault = hub.discovery.follow(&hub, &mut again) => break fault,
                    // The watch goes on at the new address, nothing is lost.
                    _ = hub.discovery.moved.notified() => {}
                }
            };
            log::debug!("discovery: {fault}");
            hub.tell(Event::RosterLost);
            sleep(again.mul_f64(0.5 + fastrand::f64())).await;
        }
    }

    /// Follows one watch to its end; one that is answered sets the pause after it back.
    async fn follow(&self, hub: &Rc<Hub>, again: &mut Duration) -> Fault {
        // Two heartbeats and some: a silent watch may be cut off without a word.
        let silence = HEARTBEAT * 2 + HEARTBEAT / 2;
        let connect = async {
            let stream = TcpStream::connect(self.address.get()).await.map_err(|_| Fault::NotConnected)?;
            let _ = stream.set_nodelay(true);
            let io = TokioIo::new(stream);
            hyper::client::conn::http1::handshake(io).await.map_err(|_| Fault::Unwritten)
        };
        let (mut sender, connection) = match timeout(HEARTBEAT, connect).await {
            Ok(Ok(pair)) => pair,
            Ok(Err(fault)) => return fault,
            Err(_) => return Fault::NotConnected,
        };
        let read = async {
            let request = encode_watch(self.revision.get(), self.address.get())?;
            let answer = timeout(HEARTBEAT, sender.send_request(request)).await.map_err(|_| Fault::Silent)?;
            let mut body = answer.map_err(|_| Fault::Broken)?.into_body();
            *again = AGAIN;
            let mut buffer = BytesMut::new();
            loop {
                let frame = timeout(silence, body.frame()).await.map_err(|_| Fault::Silent)?;
                let Some(Ok(frame)) = frame else { return Err(Fault::Broken) };
                buffer.extend_from_slice(frame.data_ref().map_or(&[], |d| d));
                while let Some(line) = take_line(&mut buffer)? {
                    if line.is_empty() {
                        self.tell_tap(|| None);
                        continue;
                    }
                    let value: Value =
                        serde_json::from_slice(&line).map_err(|e| Fault::Malformed(e.to_string()))?;
                    let news = decode_news(&value, &hub.names)?;
                    self.revision.set(news.revision);
                    self.tell_tap(|| Some(value));
                    hub.tell(Event::Roster(news));
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
