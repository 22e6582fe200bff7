//! Proxies on the links between limiters, for datagrams and connections, by which the faults of a trial reach the network.

use crate::trial::{Active, Fault, Kind};
use dunespur_gateway::clock;
use rand::RngExt;
use rand_xoshiro::Xoshiro256PlusPlus;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::{SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::time::{sleep, timeout};

/// Largest datagram.
const MAX_DATAGRAM_BYTES: usize = 65_536;
/// Bytes of a connection that are forwarded at a time.
const CHUNK_BYTES: usize = 16_384;
/// Interval at which a proxy checks whether its link is still cut.
const CUT_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time within which a connection to the receiver must be established.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay of lost bytes of a connection until they are sent again, in seconds.
const RETRANSMISSION_DELAY_S: f64 = 0.2;
/// Maximum delay of a duplicated datagram behind the first one, in seconds.
const MAX_DUPLICATE_DELAY_S: f64 = 0.3;

/// The combined effect of the active faults on one direction between two limiters.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct LinkState {
    is_cut: bool,
    /// Probability that a message is lost.
    loss: f64,
    /// Delay of each message, in seconds.
    delay_s: f64,
    /// Maximum additional delay, drawn for each datagram, in seconds.
    reorder_s: f64,
    duplicates: bool,
}

/// The faults of a trial, as the proxies apply them.
pub(super) struct LinkFaults {
    faults: Vec<Fault>,
    /// The faults that are active now.
    pub(super) active: RefCell<Vec<Active>>,
    /// When the trial started.
    pub(super) start: Cell<f64>,
    rng: RefCell<Xoshiro256PlusPlus>,
}

impl LinkFaults {
    /// Creates the faults of a trial, none of them active.
    pub(super) fn new(faults: Vec<Fault>, rng: Xoshiro256PlusPlus) -> LinkFaults {
        LinkFaults {
            faults,
            active: RefCell::default(),
            start: Cell::new(clock()),
            rng: RefCell::new(rng),
        }
    }

    fn link(&self, from: usize, to: usize) -> LinkState {
        let mut link = LinkState::default();
        let now = clock() - self.start.get();
        for active in self.active.borrow().iter() {
            let fault = &self.faults[active.n];
            if !active.hits(fault, from, to, now) {
                continue;
            }
            match fault.kind {
                Kind::Cut | Kind::HalfOpen => link.is_cut = true,
                Kind::Lose => link.loss = 1.0 - (1.0 - link.loss) * (1.0 - fault.amount),
                Kind::Delay => link.delay_s += fault.amount,
                Kind::Reorder => link.reorder_s += fault.amount,
                Kind::Double => link.duplicates = true,
                _ => {}
            }
        }
        link
    }

    /// A random number below `limit`.
    pub(super) fn draw_below(&self, limit: usize) -> usize {
        self.rng.borrow_mut().random_range(0..limit)
    }

    /// A random number from 0 to 1.
    pub(super) fn chance(&self) -> f64 {
        self.rng.borrow_mut().random()
    }
}

/// One direction between two limiters, by their numbers.
#[derive(Clone)]
struct Direction {
    faults: Rc<LinkFaults>,
    from: usize,
    to: usize,
}

impl Direction {
    fn state(&self) -> LinkState {
        self.faults.link(self.from, self.to)
    }

    fn reversed(&self) -> Direction {
        Direction {
            faults: self.faults.clone(),
            from: self.to,
            to: self.from,
        }
    }

    /// Waits until the direction is not cut, and returns its state.
    async fn until_connected(&self) -> LinkState {
        let mut link = self.state();
        while link.is_cut {
            sleep(CUT_POLL_INTERVAL).await;
            link = self.state();
        }
        link
    }
}

/// Starts a proxy between each two limiters, which have these peer addresses. Returns for each limiter the proxy's address
/// by the real address of each other limiter.
pub(super) async fn start_proxies(
    faults: &Rc<LinkFaults>,
    peers: &[SocketAddrV4],
) -> std::io::Result<Vec<BTreeMap<SocketAddrV4, SocketAddrV4>>> {
    let mut proxies = Vec::new();
    for from in 0..peers.len() {
        let mut addresses = BTreeMap::new();
        for to in (0..peers.len()).filter(|to| *to != from) {
            let direction = Direction {
                faults: faults.clone(),
                from,
                to,
            };
            addresses.insert(peers[to], start_proxy(direction, peers[to]).await?);
        }
        proxies.push(addresses);
    }
    Ok(proxies)
}

/// Starts a proxy for what one limiter sends to another, and returns its address.
async fn start_proxy(
    direction: Direction,
    receiver: SocketAddrV4,
) -> std::io::Result<SocketAddrV4> {
    let (listener, socket, address) = bind_both().await?;
    tokio::task::spawn_local(forward_datagrams(direction.clone(), socket, receiver));
    tokio::task::spawn_local(forward_connections(direction, listener, receiver));
    Ok(address)
}

/// Binds a port for connections and datagrams.
async fn bind_both() -> std::io::Result<(TcpListener, UdpSocket, SocketAddrV4)> {
    loop {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let SocketAddr::V4(address) = listener.local_addr()? else {
            continue;
        };
        if let Ok(socket) = UdpSocket::bind(address).await {
            return Ok((listener, socket, address));
        }
    }
}

async fn forward_datagrams(direction: Direction, socket: UdpSocket, receiver: SocketAddrV4) {
    let socket = Rc::new(socket);
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((length, _)) = socket.recv_from(&mut buffer).await else {
            continue;
        };
        forward_datagram(&direction, &buffer[..length], &socket, receiver);
    }
}

/// Sends a datagram on, unless it is lost, after the delay that the faults demand.
fn forward_datagram(
    direction: &Direction,
    bytes: &[u8],
    socket: &Rc<UdpSocket>,
    receiver: SocketAddrV4,
) {
    let (faults, link) = (&direction.faults, direction.state());
    if link.is_cut || faults.chance() < link.loss {
        return;
    }
    for copy in 0..1 + usize::from(link.duplicates) {
        let delay_s = link.delay_s
            + link.reorder_s * faults.chance()
            + copy as f64 * MAX_DUPLICATE_DELAY_S * faults.chance();
        if delay_s <= 0.0 {
            let _ = socket.try_send_to(bytes, receiver.into());
            continue;
        }
        let (bytes, socket) = (bytes.to_vec(), socket.clone());
        tokio::task::spawn_local(async move {
            sleep(Duration::from_secs_f64(delay_s)).await;
            let _ = socket.send_to(&bytes, receiver).await;
        });
    }
}

async fn forward_connections(direction: Direction, listener: TcpListener, receiver: SocketAddrV4) {
    while let Ok((stream, _)) = listener.accept().await {
        tokio::task::spawn_local(forward_connection(direction.clone(), stream, receiver));
    }
}

/// Forwards one connection. Over a cut link the connection is established all the same, and leads nowhere until the link
/// is repaired; a partitioned machine would not answer at all.
async fn forward_connection(direction: Direction, stream: TcpStream, receiver: SocketAddrV4) {
    direction.until_connected().await;
    let Ok(Ok(onward)) = timeout(CONNECT_TIMEOUT, TcpStream::connect(receiver)).await else {
        return;
    };
    let _ = (stream.set_nodelay(true), onward.set_nodelay(true));
    let (client_input, client_output) = stream.into_split();
    let (server_input, server_output) = onward.into_split();
    let backward = direction.reversed();
    let requests = tokio::task::spawn_local(carry(direction, client_input, server_output));
    let responses = tokio::task::spawn_local(carry(backward, server_input, client_output));
    let _ = requests.await;
    responses.abort();
}

/// Forwards one direction of a connection. Bytes on a cut link are held, and lost ones come later and delay those behind
/// them, because TCP would send them again.
async fn carry(direction: Direction, mut input: OwnedReadHalf, mut output: OwnedWriteHalf) {
    let mut buffer = vec![0; CHUNK_BYTES];
    loop {
        let length = input.read(&mut buffer).await.unwrap_or(0);
        if length == 0 {
            return;
        }
        let link = direction.until_connected().await;
        let is_lost = direction.faults.chance() < link.loss;
        let retransmission_s = if is_lost { RETRANSMISSION_DELAY_S } else { 0.0 };
        let delay_s = link.delay_s + retransmission_s;
        if delay_s > 0.0 {
            sleep(Duration::from_secs_f64(delay_s)).await;
        }
        if output.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}
