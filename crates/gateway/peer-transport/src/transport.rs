//! The transport of one limiter: a UDP socket, a TCP listener, and a connection with a bounded queue to each peer.

use crate::frame::{Frame, FrameError, Kind, HEADER_BYTES, VERSION};
use crate::incoming::{ReceivedFrame, Receiver};
use crate::limits::Limits;
use crate::outgoing::Sender;
use crate::statistics::Statistics;
use std::cell::{Cell, Ref, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddrV4;
use std::rc::Rc;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::mpsc;

/// Sends and receives the frames of one limiter.
pub struct Transport {
    fleet: String,
    name: String,
    address: SocketAddrV4,
    version: Cell<u16>,
    socket: Rc<UdpSocket>,
    sender: Rc<Sender>,
    receiver: Rc<Receiver>,
    statistics: Rc<RefCell<Statistics>>,
}

impl Transport {
    /// Binds the UDP socket and the TCP listener at `address`. Received frames of `fleet` go to `inbox`. `name` is
    /// the name of this limiter. `address_overrides` maps peer addresses to the addresses to connect to instead, for
    /// tests with a simulated network; otherwise it is empty.
    ///
    /// # Errors
    /// The address can't be bound.
    pub async fn open(
        fleet: String,
        name: String,
        address: SocketAddrV4,
        limits: Limits,
        address_overrides: BTreeMap<SocketAddrV4, SocketAddrV4>,
        inbox: mpsc::Sender<ReceivedFrame>,
    ) -> io::Result<Rc<Transport>> {
        let socket = Rc::new(UdpSocket::bind(address).await?);
        let listener = TcpListener::bind(address).await?;
        let statistics = Rc::new(RefCell::new(Statistics::default()));
        let sender = Rc::new(Sender {
            limits: limits.clone(),
            address_overrides,
            statistics: statistics.clone(),
            peers: RefCell::default(),
        });
        let receiver = Rc::new(Receiver {
            fleet: fleet.clone(),
            limits,
            inbox,
            statistics: statistics.clone(),
            connections: Cell::new(0),
        });
        tokio::task::spawn_local(receiver.clone().receive_datagrams(socket.clone()));
        tokio::task::spawn_local(receiver.clone().accept_connections(listener));
        Ok(Rc::new(Transport {
            fleet,
            name,
            address,
            version: Cell::new(VERSION),
            socket,
            sender,
            receiver,
            statistics,
        }))
    }

    /// The protocol version that sent frames state.
    #[must_use]
    pub fn version(&self) -> u16 {
        self.version.get()
    }

    /// Sets the protocol version that sent frames state, for tests of fleets with mixed versions.
    pub fn set_version(&self, version: u16) {
        self.version.set(version);
    }

    /// Counts of transferred, rejected and dropped frames so far.
    #[must_use]
    pub fn statistics(&self) -> Ref<'_, Statistics> {
        self.statistics.borrow()
    }

    /// Number of peers with a queue plus number of open accepted connections.
    #[must_use]
    pub fn connections(&self) -> usize {
        self.sender.peer_count() + self.receiver.connections.get()
    }

    fn frame(&self, kind: Kind, body: Vec<u8>) -> Frame {
        Frame {
            version: self.version.get(),
            fleet: self.fleet.clone(),
            sender: self.name.clone(),
            sender_address: self.address,
            kind: kind.number(),
            body,
        }
    }

    /// Sends a datagram, which may be lost.
    pub fn send_datagram(&self, peer: SocketAddrV4, kind: Kind, body: Vec<u8>) {
        let bytes = self.frame(kind, body).to_datagram();
        self.statistics.borrow_mut().count_sent(bytes.len());
        self.try_send_datagram(peer, &bytes);
    }

    /// Sends a datagram of an unknown kind, as a newer version might, for tests of fleets with mixed versions.
    pub fn send_unknown_kind(&self, peer: SocketAddrV4) {
        let frame = Frame {
            kind: u16::MAX,
            ..self.frame(Kind::Work, vec![0xA5; 40])
        };
        self.try_send_datagram(peer, &frame.to_datagram());
    }

    fn try_send_datagram(&self, peer: SocketAddrV4, bytes: &[u8]) {
        let address = self.sender.resolve(peer);
        let _ = self.socket.try_send_to(bytes, address.into());
    }

    /// Queues a message for the connection to this peer. Messages arrive in order and at most once, and may be lost.
    pub fn send(&self, peer: SocketAddrV4, kind: Kind, body: Vec<u8>) {
        let bytes = self.frame(kind, body).to_stream();
        if bytes.len() > self.sender.limits.frame_bytes + HEADER_BYTES {
            self.statistics.borrow_mut().too_large += 1;
            return;
        }
        self.sender.enqueue(peer, bytes);
    }

    /// Counts a received frame whose body the process could not decode.
    pub fn reject(&self, error: FrameError) {
        self.receiver.reject(error);
    }
}
