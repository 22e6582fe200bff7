//! The sending side: a bounded queue and a connection for each peer.

use crate::limits::Limits;
use crate::statistics::Statistics;
use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout, Instant};

/// A connection on which nothing was acknowledged for this long while something was sent is closed.
const ACKNOWLEDGEMENT_TIMEOUT: Duration = Duration::from_secs(1);
/// Least time that writing one frame may take. A peer that reads nothing for so long counts as failed.
const MIN_WRITE_TIMEOUT: Duration = Duration::from_secs(1);
/// First and longest delay between attempts to connect, in seconds, before it is randomised.
const MIN_BACKOFF_S: f64 = 0.02;
const MAX_BACKOFF_S: f64 = 1.0;

/// Queues and connections to peers.
pub(crate) struct Sender {
    pub limits: Limits,
    /// Addresses under which peers are reached in place of their own; for tests with a network between.
    pub address_overrides: BTreeMap<SocketAddrV4, SocketAddrV4>,
    pub statistics: Rc<RefCell<Statistics>>,
    pub peers: RefCell<BTreeMap<SocketAddrV4, Rc<PeerQueue>>>,
}

/// Frames that wait for one peer.
#[derive(Default)]
pub(crate) struct PeerQueue {
    frames: RefCell<VecDeque<Vec<u8>>>,
    /// Notified of each new frame.
    added: Notify,
}

impl PeerQueue {
    fn is_empty(&self) -> bool {
        self.frames.borrow().is_empty()
    }
}

impl Sender {
    /// The address under which a peer is reached.
    pub fn resolve(&self, peer: SocketAddrV4) -> SocketAddrV4 {
        self.address_overrides.get(&peer).copied().unwrap_or(peer)
    }

    /// How many peers have a queue.
    pub fn peer_count(&self) -> usize {
        self.peers.borrow().len()
    }

    /// Queues a frame; of a full queue the oldest frame is dropped, since it is the least useful one.
    pub fn enqueue(self: &Rc<Self>, peer: SocketAddrV4, frame: Vec<u8>) {
        let Some(queue) = self.queue_of(peer) else {
            self.statistics.borrow_mut().peers_full += 1;
            return;
        };
        let mut frames = queue.frames.borrow_mut();
        let mut statistics = self.statistics.borrow_mut();
        if frames.len() >= self.limits.queued_frames {
            frames.pop_front();
            statistics.queue_full += 1;
        }
        statistics.count_sent(frame.len());
        frames.push_back(frame);
        queue.added.notify_one();
    }

    /// The queue of a peer; none if there are too many peers for another.
    fn queue_of(self: &Rc<Self>, peer: SocketAddrV4) -> Option<Rc<PeerQueue>> {
        let mut peers = self.peers.borrow_mut();
        if let Some(queue) = peers.get(&peer) {
            return Some(queue.clone());
        }
        if peers.len() >= self.limits.peers {
            return None;
        }
        let queue = Rc::new(PeerQueue::default());
        peers.insert(peer, queue.clone());
        tokio::task::spawn_local(self.clone().drive(peer, queue.clone()));
        Some(queue)
    }

    /// Keeps the connection to one peer open while there are frames to send.
    async fn drive(self: Rc<Self>, peer: SocketAddrV4, queue: Rc<PeerQueue>) {
        let mut backoff = Backoff::default();
        let mut open: Option<Connection> = None;
        while self.wait_for_frame(&queue).await {
            let connection = match open.take() {
                Some(connection) => Some(connection),
                None => self.connect(peer).await,
            };
            let Some(mut connection) = connection else {
                // Nobody is there: what waits is stale by the time somebody is.
                queue.frames.borrow_mut().clear();
                backoff.wait().await;
                continue;
            };
            backoff = Backoff::default();
            let Some(frame) = queue.frames.borrow_mut().pop_front() else {
                open = Some(connection);
                continue;
            };
            let time_limit = self.connect_timeout().max(MIN_WRITE_TIMEOUT);
            if connection.send(&frame, time_limit).await.is_ok() {
                open = Some(connection);
            }
        }
        self.peers.borrow_mut().remove(&peer);
    }

    /// Waits until there is a frame to send. False if there was none for the idle time.
    async fn wait_for_frame(&self, queue: &PeerQueue) -> bool {
        let idle_timeout = Duration::from_secs_f64(self.limits.idle_timeout_s);
        while queue.is_empty() {
            let added = timeout(idle_timeout, queue.added.notified()).await;
            if added.is_err() && queue.is_empty() {
                return false;
            }
        }
        true
    }

    fn connect_timeout(&self) -> Duration {
        Duration::from_secs_f64(self.limits.connect_timeout_s)
    }

    async fn connect(&self, peer: SocketAddrV4) -> Option<Connection> {
        let attempt = TcpStream::connect(self.resolve(peer));
        let stream = timeout(self.connect_timeout(), attempt).await.ok()?.ok()?;
        let _ = stream.set_nodelay(true);
        Some(Connection {
            stream,
            unacknowledged_frames: 0,
            acknowledged_at: Instant::now(),
        })
    }
}

/// Delays between attempts to connect: doubled each time, and randomised between a half and one and a half.
struct Backoff {
    delay_s: f64,
}

impl Default for Backoff {
    fn default() -> Backoff {
        Backoff {
            delay_s: MIN_BACKOFF_S,
        }
    }
}

impl Backoff {
    async fn wait(&mut self) {
        let delay_s = self.delay_s * (0.5 + fastrand::f64());
        sleep(Duration::from_secs_f64(delay_s)).await;
        self.delay_s = (self.delay_s * 2.0).min(MAX_BACKOFF_S);
    }
}

/// An open connection. Its peer acknowledges each frame by a byte. Against a connection that stands and leads nowhere.
struct Connection {
    stream: TcpStream,
    unacknowledged_frames: usize,
    /// When a frame was last acknowledged, or the first one sent after all were.
    acknowledged_at: Instant,
}

impl Connection {
    /// Writes a frame. After an error the connection is of no more use.
    async fn send(&mut self, frame: &[u8], time_limit: Duration) -> io::Result<()> {
        let written = timeout(time_limit, self.stream.write_all(frame)).await;
        if self.unacknowledged_frames == 0 {
            self.acknowledged_at = Instant::now();
        }
        self.unacknowledged_frames += 1;
        written.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        self.read_acknowledgements()?;
        let overdue = self.acknowledged_at.elapsed() >= ACKNOWLEDGEMENT_TIMEOUT;
        if self.unacknowledged_frames > 0 && overdue {
            return Err(io::Error::from(io::ErrorKind::TimedOut));
        }
        Ok(())
    }

    /// Takes the acknowledgements that have arrived; an error once the connection is closed.
    fn read_acknowledgements(&mut self) -> io::Result<()> {
        let mut bytes = [0; 256];
        loop {
            match self.stream.try_read(&mut bytes) {
                Ok(0) => return Err(io::Error::from(io::ErrorKind::UnexpectedEof)),
                Ok(count) => {
                    self.unacknowledged_frames = self.unacknowledged_frames.saturating_sub(count);
                    self.acknowledged_at = Instant::now();
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
                Err(error) => return Err(error),
            }
        }
    }
}
