//! Two transports over loopback: delivery, rejected frames and limits.

use dunespur_peer_transport::{Frame, Kind, Limits, ReceivedFrame, Transport, VERSION};
use std::collections::BTreeMap;
use std::net::{SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::LocalSet;
use tokio::time::timeout;

const TIME_LIMIT: Duration = Duration::from_secs(10);

fn limits() -> Limits {
    Limits {
        peers: 4,
        queued_frames: 8,
        frame_bytes: 1000,
        connect_timeout_s: 0.5,
        idle_timeout_s: 5.0,
    }
}

fn free_address() -> SocketAddrV4 {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    match listener.local_addr().unwrap() {
        SocketAddr::V4(address) => address,
        SocketAddr::V6(_) => unreachable!("the listener was bound to an IPv4 address"),
    }
}

/// One limiter of fleet "f".
struct Limiter {
    transport: Rc<Transport>,
    inbox: mpsc::Receiver<ReceivedFrame>,
    name: String,
    address: SocketAddrV4,
}

impl Limiter {
    async fn open(name: &str) -> Limiter {
        let (sender, inbox) = mpsc::channel(64);
        let address = free_address();
        let (fleet, overrides) = ("f".to_owned(), BTreeMap::new());
        let name = name.to_owned();
        let opened =
            Transport::open(fleet, name.clone(), address, limits(), overrides, sender).await;
        Limiter {
            transport: opened.unwrap(),
            inbox,
            name,
            address,
        }
    }

    /// Builds a frame as this limiter's transport does.
    fn frame(&self, kind: Kind, body: Vec<u8>) -> Frame {
        Frame {
            version: VERSION,
            fleet: "f".to_owned(),
            sender: self.name.clone(),
            sender_address: self.address,
            kind: kind.number(),
            body,
        }
    }

    async fn next(&mut self) -> ReceivedFrame {
        timeout(TIME_LIMIT, self.inbox.recv())
            .await
            .unwrap()
            .unwrap()
    }
}

async fn write_corrupt_bytes(address: SocketAddrV4) {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(&[0xFF; 64]).await.unwrap();
    let mut rest = [0];
    let read = timeout(TIME_LIMIT, stream.read(&mut rest)).await.unwrap();
    assert!(
        !matches!(read, Ok(count) if count > 0),
        "the connection is closed or reset"
    );
}

#[tokio::test]
async fn frames_arrive_over_udp_and_tcp_and_corrupt_bytes_close_only_their_connection() {
    let test = async {
        let (mut first, mut second) = (Limiter::open("a").await, Limiter::open("b").await);
        first
            .transport
            .send(second.address, Kind::SingletonRoles, vec![1]);
        assert_eq!(second.next().await.frame.body, [1]);
        second
            .transport
            .send_datagram(first.address, Kind::Gossip, vec![2]);
        let received = first.next().await;
        let sender = received.frame.sender.as_str();
        assert_eq!((received.kind, sender), (Kind::Gossip, "b"));

        write_corrupt_bytes(second.address).await;
        let other_fleet = Frame {
            fleet: "g".into(),
            ..first.frame(Kind::SingletonRoles, vec![3])
        };
        let newer = Frame {
            kind: 77,
            ..first.frame(Kind::SingletonRoles, vec![4])
        };
        let readable = first.frame(Kind::SingletonRoles, vec![5]);
        let mut stream = TcpStream::connect(second.address).await.unwrap();
        for frame in [other_fleet, newer, readable] {
            stream.write_all(&frame.to_stream()).await.unwrap();
        }
        let received = second.next().await.frame.body;
        assert_eq!(received, [5], "unreadable frames are skipped");
        let statistics = second.transport.statistics().clone();
        let rejected = (
            statistics.too_large,
            statistics.other_fleet,
            statistics.unknown,
        );
        assert_eq!(rejected, (1, 1, 1));

        first
            .transport
            .send(second.address, Kind::SingletonRoles, vec![6]);
        let received = second.next().await.frame.body;
        assert_eq!(received, [6], "the first connection is still open");
    };
    LocalSet::new().run_until(test).await;
}

#[tokio::test]
async fn queues_and_peers_are_bounded() {
    let test = async {
        let transport = Limiter::open("a").await.transport;
        let unreachable = free_address();
        (0..20).for_each(|number| transport.send(unreachable, Kind::SingletonRoles, vec![number]));
        assert_eq!(transport.statistics().queue_full, 12);
        transport.send(unreachable, Kind::SingletonRoles, vec![0; 2000]);
        assert_eq!(transport.statistics().too_large, 1);
        (0..6).for_each(|_| transport.send(free_address(), Kind::SingletonRoles, vec![1]));
        assert!(transport.statistics().peers_full >= 3);
    };
    LocalSet::new().run_until(test).await;
}
