//! An endpoint that a test drives.

use super::{Message, Peer};
use dunespur_routing::Server;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::{TcpListener, TcpSocket};

/// What a narrow endpoint's socket holds of what it has not read.
const NARROW_BYTES: u32 = 16 * 1024;

/// An endpoint whose connections a test drives.
pub struct TestEndpoint {
    pub id: String,
    pub address: SocketAddr,
    listener: Option<TcpListener>,
}

impl TestEndpoint {
    pub async fn start(id: &str) -> TestEndpoint {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        TestEndpoint {
            id: id.to_owned(),
            address: listener.local_addr().unwrap(),
            listener: Some(listener),
        }
    }

    /// One whose connections hold little that it has not read, so that a long request stays with its sender.
    pub async fn narrow(id: &str) -> TestEndpoint {
        let socket = TcpSocket::new_v4().unwrap();
        socket.set_recv_buffer_size(NARROW_BYTES).unwrap();
        socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
        let listener = socket.listen(64).unwrap();
        TestEndpoint {
            id: id.to_owned(),
            address: listener.local_addr().unwrap(),
            listener: Some(listener),
        }
    }

    /// One at whose port nobody listens.
    pub async fn dead(id: &str) -> TestEndpoint {
        let mut dead = TestEndpoint::start(id).await;
        dead.die();
        dead
    }

    /// Stops listening; connections that are open stay.
    pub fn die(&mut self) {
        self.listener = None;
    }

    pub fn endpoint(&self) -> Rc<Server> {
        Rc::new(Server {
            id: self.id.as_str().into(),
            backend: "plain".into(),
            address: self.address,
            zone: "z".into(),
            slots: 8,
            draining: false,
            warmup_left_ms: 0,
            engine: None,
            max_conns: 100,
        })
    }

    pub async fn accept(&self) -> Peer {
        Peer::new(
            self.listener
                .as_ref()
                .expect("it listens")
                .accept()
                .await
                .unwrap()
                .0,
        )
    }

    /// The next connection with the first request on it.
    pub async fn next_request(&self) -> (Peer, Message) {
        let mut peer = self.accept().await;
        let message = peer.message().await;
        (peer, message)
    }

    /// Whether nobody has connected so far.
    pub async fn has_no_connection(&self) -> bool {
        let mut accept = std::pin::pin!(self.listener.as_ref().expect("it listens").accept());
        std::future::poll_fn(|cx| std::task::Poll::Ready(accept.as_mut().poll(cx).is_pending()))
            .await
    }
}

/// Two endpoints with the ids `i-1` and `i-2`.
pub async fn two_endpoints() -> (TestEndpoint, TestEndpoint) {
    (
        TestEndpoint::start("i-1").await,
        TestEndpoint::start("i-2").await,
    )
}
