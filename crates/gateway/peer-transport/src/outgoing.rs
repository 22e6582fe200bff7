//! Sending: a bounded queue and a connection for each peer.

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

/// A connection is closed if sent frames stay unacknowledged for this time.
const ACKNOWLEDGEMENT_TIMEOUT: Duration = Duration::from_secs(1);
/// Minimum time limit for writing one frame. A peer that reads nothing for this time is considered failed.
const MIN_WRITE_TIMEOUT: Duration = Duration::from_secs(1);
/// Initial and maximum delay between connection attempts in seconds, before randomisation.
const MIN_BACKOFF_S: f64 = 0.02;
const MAX_BACKOFF_S: f64 = 1.0;

/// Queues of frames for the peers, and the connections to them.
pub(crate) struct Sender {
    pub limits: Limits,
    /// Maps peer addresses to the addresses to connect to instead, for tests with a simulated network between limiters.
    pub address_overrides: BTreeMap<SocketAddrV4, SocketAddrV4>,
    pub statistics: Rc<RefCell<Statistics>>,
    pub peers: RefCell<BTreeMap<SocketAddrV4, Rc<PeerQueue>>>,
}

/// Queue of frames for one peer.
#[derive(Default)]
pub(crate) struct PeerQueue {
    frames: RefCell<VecDeque<Vec<u8>>>,
    /// Notified when a frame is queued.
    frame_added: Notify,
}

impl PeerQueue {
    fn is_empty(&self) -> bool {
        self.frames.borrow().is_empty()
    }
}

impl Sender {
    /// The address to which frames for `peer` are sent.
    pub fn resolve(&self, peer: SocketAddrV4) -> SocketAddrV4 {
        self.address_overrides.get(&peer).copied().unwrap_or(peer)
    }

    /// Number of peers that have a queue.
    pub fn peer_count(&self) -> usize {
        self.peers.borrow().len()
    }

    /// Queues a frame. If the queue is full, its oldest frame is dropped, as it is the least useful one.
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
        queue.frame_added.notify_one();
    }

    /// Returns the queue of a peer, creating it if needed; `None` if the limit of peers is reached.
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
        tokio::task::spawn_local(self.clone().send_queued_frames(peer, queue.clone()));
        Some(queue)
    }

    /// Sends the frames queued for one peer over a connection that is opened as needed. Ends when no frame was queued
    /// for the idle timeout.
    async fn send_queued_frames(self: Rc<Self>, peer: SocketAddrV4, queue: Rc<PeerQueue>) {
        let mut backoff = Backoff::default();
        let mut open: Option<Connection> = None;
        while self.wait_for_frame(&queue).await {
            let connection = match open.take() {
                Some(connection) => Some(connection),
                None => self.connect(peer).await,
            };
            let Some(mut connection) = connection else {
                // The peer is unreachable: the queued frames would be stale by the time it is reachable again.
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

    /// Waits for a queued frame. Returns false if none was queued for the idle timeout.
    async fn wait_for_frame(&self, queue: &PeerQueue) -> bool {
        let idle_timeout = Duration::from_secs_f64(self.limits.idle_timeout_s);
        while queue.is_empty() {
            let notified = timeout(idle_timeout, queue.frame_added.notified()).await;
            if notified.is_err() && queue.is_empty() {
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

/// Exponential backoff between connection attempts. Each delay is randomised to between 0.5 and 1.5 times its value.
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

/// An open connection. The peer acknowledges each frame with one byte, so that a connection that is established but no
/// longer delivers frames is detected.
struct Connection {
    stream: TcpStream,
    unacknowledged_frames: usize,
    /// Time of the last acknowledgement, or of the first frame sent after all earlier ones were acknowledged.
    acknowledged_at: Instant,
}

impl Connection {
    /// Writes a frame. After an error the connection must be dropped.
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

    /// Counts the acknowledgements that have arrived. Fails if the connection is closed.
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
