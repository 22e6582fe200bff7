//! The sockets' owners: one UDP socket, one TCP listener, a connection and a bounded queue to each peer.

use crate::frame::{Frame, Kind, Refused, HEAD, VERSION};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::{mpsc, Notify};
use tokio::time::{sleep, timeout, Instant};

/// Bounds come from the operators' file.
#[derive(Clone, Debug, PartialEq)]
pub struct Bounds {
    /// Peers with a connection from here, and connections that are taken.
    pub peers: usize,
    /// Frames that wait for one peer.
    pub queue: usize,
    /// Largest frame, in bytes.
    pub frame: usize,
    /// Seconds a connection may take to come up.
    pub dial: f64,
    /// Seconds after which an idle connection is closed.
    pub idle: f64,
}

/// What came in.
#[derive(Debug)]
pub struct Came {
    pub kind: Kind,
    pub frame: Frame,
}

/// What was dropped, by cause.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Counts {
    pub checksum: u64,
    pub malformed: u64,
    pub too_large: u64,
    pub other_fleet: u64,
    pub unknown: u64,
    pub queue_full: u64,
    pub peers_full: u64,
    pub inbox_full: u64,
    pub sent: u64,
    pub sent_bytes: u64,
    pub came: u64,
}

struct Peer {
    queue: RefCell<VecDeque<Vec<u8>>>,
    more: Notify,
}

pub struct Links {
    fleet: String,
    me: String,
    at: SocketAddrV4,
    bounds: Bounds,
    udp: UdpSocket,
    /// Where a peer is really reached; for trials, which stand on the links.
    via: BTreeMap<SocketAddrV4, SocketAddrV4>,
    peers: RefCell<BTreeMap<SocketAddrV4, Rc<Peer>>>,
    taken: Cell<usize>,
    inbox: mpsc::Sender<Came>,
    pub counts: RefCell<Counts>,
    /// What its frames say of their version; a trial sets another one.
    pub version: Cell<u16>,
}

impl Links {
    /// Binds both sockets at the one address, and listens.
    pub async fn open(
        fleet: String,
        me: String,
        at: SocketAddrV4,
        bounds: Bounds,
        via: BTreeMap<SocketAddrV4, SocketAddrV4>,
        inbox: mpsc::Sender<Came>,
    ) -> io::Result<Rc<Self>> {
        let udp = UdpSocket::bind(at).await?;
        let listener = TcpListener::bind(at).await?;
        let (peers, taken, counts) = (RefCell::default(), Cell::new(0), RefCell::default());
        let version = Cell::new(VERSION);
        let links = Rc::new(Links {
            fleet,
            me,
            at,
            bounds,
            udp,
            via,
            peers,
            taken,
            inbox,
            counts,
            version,
        });
        tokio::task::spawn_local(links.clone().hear());
        tokio::task::spawn_local(links.clone().listen(listener));
        Ok(links)
    }

    fn frame(&self, kind: Kind, body: Vec<u8>) -> Frame {
        let (fleet, from, version) = (self.fleet.clone(), self.me.clone(), self.version.get());
        Frame {
            version,
            fleet,
            from,
            at: self.at,
            kind: kind.number(),
            body,
        }
    }

    /// For trials: what a newer version may send, of a kind that this one does not know.
    pub fn strange(&self, to: SocketAddrV4) {
        let frame = Frame {
            kind: u16::MAX,
            ..self.frame(Kind::Work, vec![0xA5; 40])
        };
        let _ = self
            .udp
            .try_send_to(&frame.datagram(), self.reach(to).into());
    }

    fn reach(&self, to: SocketAddrV4) -> SocketAddrV4 {
        self.via.get(&to).copied().unwrap_or(to)
    }

    /// A datagram, gone or not.
    pub fn datagram(&self, to: SocketAddrV4, kind: Kind, body: Vec<u8>) {
        let bytes = self.frame(kind, body).datagram();
        let mut counts = self.counts.borrow_mut();
        counts.sent += 1;
        counts.sent_bytes += bytes.len() as u64;
        let _ = self.udp.try_send_to(&bytes, self.reach(to).into());
    }

    /// Over the connection to this peer, in order, at most once, perhaps never.
    pub fn send(self: &Rc<Self>, to: SocketAddrV4, kind: Kind, body: Vec<u8>) {
        let bytes = self.frame(kind, body).stream();
        let mut counts = self.counts.borrow_mut();
        if bytes.len() > self.bounds.frame + HEAD {
            counts.too_large += 1;
            return;
        }
        let mut peers = self.peers.borrow_mut();
        let known = peers.len();
        let peer = match peers.get(&to) {
            Some(peer) => peer.clone(),
            None if known >= self.bounds.peers => {
                counts.peers_full += 1;
                return;
            }
            None => {
                let peer = Rc::new(Peer {
                    queue: RefCell::default(),
                    more: Notify::new(),
                });
                peers.insert(to, peer.clone());
                tokio::task::spawn_local(self.clone().serve(to, peer.clone()));
                peer
            }
        };
        let mut queue = peer.queue.borrow_mut();
        if queue.len() >= self.bounds.queue {
            // The oldest goes: what waited longest is worth least.
            queue.pop_front();
            counts.queue_full += 1;
        }
        counts.sent += 1;
        counts.sent_bytes += bytes.len() as u64;
        queue.push_back(bytes);
        peer.more.notify_one();
    }

    /// Keeps the connection to one peer while there is something to say.
    async fn serve(self: Rc<Self>, to: SocketAddrV4, peer: Rc<Peer>) {
        let idle = Duration::from_secs_f64(self.bounds.idle);
        let dial = Duration::from_secs_f64(self.bounds.dial);
        let mut pause = 0.02;
        let mut stream: Option<TcpStream> = None;
        // Frames written and not yet taken, and since when.
        let (mut unread, mut since) = (0usize, Instant::now());
        loop {
            while peer.queue.borrow().is_empty() {
                if timeout(idle, peer.more.notified()).await.is_err()
                    && peer.queue.borrow().is_empty()
                {
                    self.peers.borrow_mut().remove(&to);
                    return;
                }
            }
            let open = match stream.take() {
                Some(s) => Some(s),
                None => match timeout(dial, TcpStream::connect(self.reach(to))).await {
                    Ok(Ok(s)) => {
                        let _ = s.set_nodelay(true);
                        unread = 0;
                        Some(s)
                    }
                    _ => None,
                },
            };
            let Some(mut s) = open else {
                // Nobody is there: what waits is old by the time somebody is.
                peer.queue.borrow_mut().clear();
                sleep(Duration::from_secs_f64(pause * (0.5 + fastrand::f64()))).await;
                pause = (pause * 2.0f64).min(1.0);
                continue;
            };
            pause = 0.02;
            let Some(bytes) = peer.queue.borrow_mut().pop_front() else {
                stream = Some(s);
                continue;
            };
            // A peer that takes nothing for so long is as good as gone.
            let wrote = timeout(dial.max(Duration::from_secs(1)), s.write_all(&bytes)).await;
            if unread == 0 {
                since = Instant::now();
            }
            unread += 1;
            // Guards against a connection that stands and leads nowhere: each frame is answered by a byte.
            if let (Ok(Ok(())), Some(read)) = (wrote, answered(&s)) {
                if read > 0 {
                    unread = unread.saturating_sub(read);
                    since = Instant::now();
                }
                if unread == 0 || since.elapsed() < SILENT {
                    stream = Some(s);
                }
            }
        }
    }

    async fn hear(self: Rc<Self>) {
        let mut buffer = vec![0; 65_536];
        loop {
            match self.udp.recv_from(&mut buffer).await {
                Ok((n, _)) => match Frame::from_datagram(&buffer[..n], &self.fleet) {
                    Ok(frame) => {
                        if let Some(came) = self.admit(frame) {
                            if self.inbox.try_send(came).is_err() {
                                self.counts.borrow_mut().inbox_full += 1;
                            }
                        }
                    }
                    Err(refused) => self.refuse(refused),
                },
                // An unreachable peer's answer to an earlier datagram; nothing is wrong here.
                Err(_) => sleep(Duration::from_millis(1)).await,
            }
        }
    }

    async fn listen(self: Rc<Self>, listener: TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                sleep(Duration::from_millis(10)).await;
                continue;
            };
            if self.taken.get() >= self.bounds.peers {
                self.counts.borrow_mut().peers_full += 1;
                continue;
            }
            self.taken.set(self.taken.get() + 1);
            let links = self.clone();
            tokio::task::spawn_local(async move {
                let _ = links.read(stream).await;
                links.taken.set(links.taken.get() - 1);
            });
        }
    }

    /// Reads frames until the connection ends, stands idle too long or brings something spoilt: after that
    /// nothing on it can be told apart.
    async fn read(&self, mut stream: TcpStream) -> io::Result<()> {
        let idle = Duration::from_secs_f64(self.bounds.idle * 4.0);
        let mut head = [0; HEAD];
        let mut body = Vec::new();
        loop {
            let end = Instant::now() + idle;
            let quiet = |_| io::Error::from(io::ErrorKind::TimedOut);
            tokio::time::timeout_at(end, stream.read_exact(&mut head))
                .await
                .map_err(quiet)??;
            let (length, sum) = match Frame::head(&head, self.bounds.frame) {
                Ok(head) => head,
                Err(refused) => {
                    self.refuse(refused);
                    return Ok(());
                }
            };
            body.resize(length, 0);
            tokio::time::timeout_at(end, stream.read_exact(&mut body))
                .await
                .map_err(quiet)??;
            let _ = stream.try_write(&[1]);
            match Frame::checked(sum, &body, &self.fleet) {
                Ok(frame) => {
                    if let Some(came) = self.admit(frame) {
                        if self.inbox.send(came).await.is_err() {
                            return Ok(());
                        }
                    }
                }
                Err(refused) => {
                    self.refuse(refused);
                    if refused != Refused::Fleet {
                        return Ok(());
                    }
                }
            }
        }
    }

    fn admit(&self, frame: Frame) -> Option<Came> {
        match frame.kind() {
            Ok(kind) => {
                self.counts.borrow_mut().came += 1;
                Some(Came { kind, frame })
            }
            Err(refused) => {
                self.refuse(refused);
                None
            }
        }
    }

    /// Counted, and said in the log for the first and then for each thousandth.
    pub fn refuse(&self, refused: Refused) {
        let mut counts = self.counts.borrow_mut();
        let count = match refused {
            Refused::Checksum => &mut counts.checksum,
            Refused::Malformed => &mut counts.malformed,
            Refused::TooLarge => &mut counts.too_large,
            Refused::Fleet => &mut counts.other_fleet,
            Refused::Unknown => &mut counts.unknown,
        };
        *count += 1;
        if *count % 1000 == 1 {
            log::warn!("peer: a message was refused ({refused:?}), {count} so far");
        }
    }

    pub fn connections(&self) -> usize {
        self.peers.borrow().len() + self.taken.get()
    }
}

/// A connection on which nothing was taken for this long while something was sent is given up.
const SILENT: Duration = Duration::from_secs(1);

/// How many frames were taken since the last look; none once the connection is closed.
fn answered(stream: &TcpStream) -> Option<usize> {
    let (mut bytes, mut read) = ([0; 256], 0);
    loop {
        match stream.try_read(&mut bytes) {
            Ok(0) => return None,
            Ok(n) => read += n,
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Some(read),
            Err(_) => return None,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn bounds() -> Bounds {
        Bounds {
            peers: 4,
            queue: 8,
            frame: 1000,
            dial: 0.5,
            idle: 5.0,
        }
    }

    fn free() -> SocketAddrV4 {
        let l = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        match l.local_addr().unwrap() {
            std::net::SocketAddr::V4(a) => a,
            _ => unreachable!(),
        }
    }

    async fn open(name: &str) -> (Rc<Links>, mpsc::Receiver<Came>) {
        let (tx, rx) = mpsc::channel(64);
        let links = Links::open(
            "f".into(),
            name.into(),
            free(),
            bounds(),
            BTreeMap::new(),
            tx,
        )
        .await;
        (links.unwrap(), rx)
    }

    async fn next(rx: &mut mpsc::Receiver<Came>) -> Came {
        timeout(Duration::from_secs(10), rx.recv())
            .await
            .unwrap()
            .unwrap()
    }

    #[tokio::test]
    async fn both_ways_of_sending_arrive_and_spoilt_bytes_end_only_their_connection() {
        tokio::task::LocalSet::new()
            .run_until(async {
                let (a, mut from_b) = open("a").await;
                let (b, mut from_a) = open("b").await;
                a.send(b.at, Kind::Duties, vec![1]);
                assert_eq!(next(&mut from_a).await.frame.body, [1]);
                b.datagram(a.at, Kind::Gossip, vec![2]);
                let came = next(&mut from_b).await;
                assert_eq!((came.kind, came.frame.from.as_str()), (Kind::Gossip, "b"));
                // A stranger writes rubbish, a frame that is too large, and one of another fleet.
                let mut s = TcpStream::connect(b.at).await.unwrap();
                s.write_all(&[0xFF; 64]).await.unwrap();
                let mut end = [0];
                let ended = timeout(Duration::from_secs(10), s.read(&mut end))
                    .await
                    .unwrap();
                assert!(!matches!(ended, Ok(n) if n > 0), "closed or reset");
                let other = Frame {
                    fleet: "g".into(),
                    ..a.frame(Kind::Duties, vec![3])
                };
                let newer = Frame {
                    kind: 77,
                    ..a.frame(Kind::Duties, vec![4])
                };
                let mut s = TcpStream::connect(b.at).await.unwrap();
                s.write_all(&other.stream()).await.unwrap();
                s.write_all(&newer.stream()).await.unwrap();
                s.write_all(&a.frame(Kind::Duties, vec![5]).stream())
                    .await
                    .unwrap();
                assert_eq!(
                    next(&mut from_a).await.frame.body,
                    [5],
                    "what it can't read is skipped"
                );
                let counts = b.counts.borrow().clone();
                assert_eq!(
                    (counts.too_large, counts.other_fleet, counts.unknown),
                    (1, 1, 1)
                );
                a.send(b.at, Kind::Duties, vec![6]);
                assert_eq!(
                    next(&mut from_a).await.frame.body,
                    [6],
                    "the old link still stands"
                );
            })
            .await;
    }

    #[tokio::test]
    async fn queues_and_peers_are_bounded() {
        tokio::task::LocalSet::new()
            .run_until(async {
                let (a, _rx) = open("a").await;
                let dead = free();
                (0..20).for_each(|n| a.send(dead, Kind::Duties, vec![n]));
                assert_eq!(a.counts.borrow().queue_full, 12);
                a.send(dead, Kind::Duties, vec![0; 2000]);
                assert_eq!(a.counts.borrow().too_large, 1);
                (0..6).for_each(|_| a.send(free(), Kind::Duties, vec![1]));
                assert!(a.counts.borrow().peers_full >= 3);
            })
            .await;
    }
}
