//! Two transports over loopback: delivery, rejected frames, bounds.

use dunespur_peer_transport::{Frame, Kind, Limits, Received, Transport, VERSION};
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
        SocketAddr::V6(_) => unreachable!("it was bound to an address of version 4"),
    }
}

/// One limiter of fleet "f".
struct Limiter {
    transport: Rc<Transport>,
    inbox: mpsc::Receiver<Received>,
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

    /// A frame as this limiter's transport makes it.
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

    async fn next(&mut self) -> Received {
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
    let ended = timeout(TIME_LIMIT, stream.read(&mut rest)).await.unwrap();
    assert!(!matches!(ended, Ok(count) if count > 0), "closed or reset");
}

#[tokio::test]
async fn both_ways_of_sending_arrive_and_corrupt_bytes_end_only_their_connection() {
    let test = async {
        let (mut a, mut b) = (Limiter::open("a").await, Limiter::open("b").await);
        a.transport.send(b.address, Kind::SingletonRoles, vec![1]);
        assert_eq!(b.next().await.frame.body, [1]);
        b.transport.send_datagram(a.address, Kind::Gossip, vec![2]);
        let received = a.next().await;
        let sender = received.frame.sender.as_str();
        assert_eq!((received.kind, sender), (Kind::Gossip, "b"));

        write_corrupt_bytes(b.address).await;
        let other_fleet = Frame {
            fleet: "g".into(),
            ..a.frame(Kind::SingletonRoles, vec![3])
        };
        let newer = Frame {
            kind: 77,
            ..a.frame(Kind::SingletonRoles, vec![4])
        };
        let readable = a.frame(Kind::SingletonRoles, vec![5]);
        let mut stream = TcpStream::connect(b.address).await.unwrap();
        for frame in [other_fleet, newer, readable] {
            stream.write_all(&frame.to_stream()).await.unwrap();
        }
        let received = b.next().await.frame.body;
        assert_eq!(received, [5], "what it can't read is skipped");
        let statistics = b.transport.statistics().clone();
        let rejected = (
            statistics.too_large,
            statistics.other_fleet,
            statistics.unknown,
        );
        assert_eq!(rejected, (1, 1, 1));

        a.transport.send(b.address, Kind::SingletonRoles, vec![6]);
        let received = b.next().await.frame.body;
        assert_eq!(received, [6], "the first connection still stands");
    };
    LocalSet::new().run_until(test).await;
}

#[tokio::test]
async fn queues_and_peers_are_bounded() {
    let test = async {
        let a = Limiter::open("a").await.transport;
        let nobody = free_address();
        (0..20).for_each(|number| a.send(nobody, Kind::SingletonRoles, vec![number]));
        assert_eq!(a.statistics().queue_full, 12);
        a.send(nobody, Kind::SingletonRoles, vec![0; 2000]);
        assert_eq!(a.statistics().too_large, 1);
        (0..6).for_each(|_| a.send(free_address(), Kind::SingletonRoles, vec![1]));
        assert!(a.statistics().peers_full >= 3);
    };
    LocalSet::new().run_until(test).await;
}
