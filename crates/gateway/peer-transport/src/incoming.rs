//! Receiving: datagrams, and frames on connections that peers open.

use crate::frame::{Frame, FrameError, Kind, StreamHeader, HEADER_BYTES};
use crate::limits::Limits;
use crate::statistics::Statistics;
use std::cell::{Cell, RefCell};
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout_at, Instant};

/// Maximum size of a UDP datagram, rounded up.
const DATAGRAM_BUFFER_BYTES: usize = 65_536;
/// Delay after a failed receive. Without it, the loop would occupy the processor.
const RECEIVE_RETRY_DELAY: Duration = Duration::from_millis(1);
/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);
/// The idle timeout of accepted connections is this many times that of outgoing ones, so that the peer that opened a
/// connection closes it first.
const IDLE_TIMEOUT_FACTOR: f64 = 4.0;
/// The byte that acknowledges a frame on a connection.
const ACKNOWLEDGEMENT: [u8; 1] = [1];

/// A received frame of this fleet and of a known kind.
#[derive(Debug)]
pub struct ReceivedFrame {
    /// Kind of the message.
    pub kind: Kind,
    /// The envelope and the encoded message.
    pub frame: Frame,
}

/// Receives frames and puts them into the inbox of the process.
pub(crate) struct Receiver {
    pub fleet: String,
    pub limits: Limits,
    pub inbox: mpsc::Sender<ReceivedFrame>,
    pub statistics: Rc<RefCell<Statistics>>,
    /// Number of open accepted connections.
    pub connections: Cell<usize>,
}

impl Receiver {
    /// Receives datagrams until the task is aborted.
    pub async fn receive_datagrams(self: Rc<Self>, socket: Rc<UdpSocket>) {
        let mut buffer = vec![0; DATAGRAM_BUFFER_BYTES];
        loop {
            // Such an error is an ICMP reply to an earlier datagram for an unreachable peer; the socket remains usable.
            let Ok((length, _)) = socket.recv_from(&mut buffer).await else {
                sleep(RECEIVE_RETRY_DELAY).await;
                continue;
            };
            let frame = Frame::from_datagram(&buffer[..length], &self.fleet);
            match frame.and_then(|frame| self.accept(frame)) {
                Ok(received) => {
                    if self.inbox.try_send(received).is_err() {
                        self.statistics.borrow_mut().inbox_full += 1;
                    }
                }
                Err(error) => self.reject(error),
            }
        }
    }

    /// Accepts connections until the task is aborted.
    pub async fn accept_connections(self: Rc<Self>, listener: TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            if self.connections.get() >= self.limits.peers {
                self.statistics.borrow_mut().peers_full += 1;
                continue;
            }
            self.connections.set(self.connections.get() + 1);
            let receiver = self.clone();
            tokio::task::spawn_local(async move {
                let _ = receiver.read_frames(stream).await;
                receiver.connections.set(receiver.connections.get() - 1);
            });
        }
    }

    /// Reads frames until the connection is closed or idle for too long, or until a frame is corrupt: the position of
    /// the next frame is then unknown.
    async fn read_frames(&self, mut stream: TcpStream) -> io::Result<()> {
        let idle_timeout =
            Duration::from_secs_f64(self.limits.idle_timeout_s * IDLE_TIMEOUT_FACTOR);
        let mut header = [0; HEADER_BYTES];
        let mut body = Vec::new();
        loop {
            let deadline = Instant::now() + idle_timeout;
            read_exact_until(&mut stream, &mut header, deadline).await?;
            let header = match StreamHeader::decode(&header, self.limits.frame_bytes) {
                Ok(header) => header,
                Err(error) => {
                    self.reject(error);
                    return Ok(());
                }
            };
            body.resize(header.length, 0);
            read_exact_until(&mut stream, &mut body, deadline).await?;
            let _ = stream.try_write(&ACKNOWLEDGEMENT);
            let frame = Frame::decode(header.checksum, &body, &self.fleet);
            match frame.and_then(|frame| self.accept(frame)) {
                Ok(received) => {
                    if self.inbox.send(received).await.is_err() {
                        return Ok(());
                    }
                }
                Err(error) => {
                    self.reject(error);
                    if !matches!(error, FrameError::OtherFleet | FrameError::UnknownKind) {
                        return Ok(());
                    }
                }
            }
        }
    }

    fn accept(&self, frame: Frame) -> Result<ReceivedFrame, FrameError> {
        let kind = frame.kind()?;
        self.statistics.borrow_mut().received += 1;
        Ok(ReceivedFrame { kind, frame })
    }

    /// Counts a rejected frame. For each cause, logs the first rejection and then every thousandth.
    pub fn reject(&self, error: FrameError) {
        let count = self.statistics.borrow_mut().count_rejected(error);
        if count % 1000 == 1 {
            log::warn!("peer: rejected a frame: {error} ({count} rejected for this cause so far)");
        }
    }
}

async fn read_exact_until(
    stream: &mut TcpStream,
    buffer: &mut [u8],
    deadline: Instant,
) -> io::Result<()> {
    let read = timeout_at(deadline, stream.read_exact(buffer)).await;
    read.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    Ok(())
}
