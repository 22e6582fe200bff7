//! An endpoint whose connections a test drives.

use super::{Message, Peer};
use dunespur_routing::Server;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::{TcpListener, TcpSocket};

/// The size of the receive buffer of an endpoint with a small buffer.
const SMALL_BUFFER_BYTES: u32 = 16 * 1024;

/// A listening endpoint; the test accepts its connections.
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

    /// Starts an endpoint with a small receive buffer, so that most of an unread long request stays with the proxy.
    pub async fn with_small_buffer(id: &str) -> TestEndpoint {
        let socket = TcpSocket::new_v4().unwrap();
        socket.set_recv_buffer_size(SMALL_BUFFER_BYTES).unwrap();
        socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
        let listener = socket.listen(64).unwrap();
        TestEndpoint {
            id: id.to_owned(),
            address: listener.local_addr().unwrap(),
            listener: Some(listener),
        }
    }

    /// Returns an endpoint that does not listen at its port.
    pub async fn dead(id: &str) -> TestEndpoint {
        let mut endpoint = TestEndpoint::start(id).await;
        endpoint.stop_listening();
        endpoint
    }

    /// Stops listening; open connections stay open.
    pub fn stop_listening(&mut self) {
        self.listener = None;
    }

    /// Describes the endpoint as the node knows it.
    pub fn server(&self) -> Rc<Server> {
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
                .expect("the endpoint listens")
                .accept()
                .await
                .unwrap()
                .0,
        )
    }

    /// Accepts the next connection and reads the first request on it.
    pub async fn next_request(&self) -> (Peer, Message) {
        let mut peer = self.accept().await;
        let message = peer.message().await;
        (peer, message)
    }

    /// Whether no further connection is waiting to be accepted.
    pub async fn has_no_connection(&self) -> bool {
        let mut accept = std::pin::pin!(self
            .listener
            .as_ref()
            .expect("the endpoint listens")
            .accept());
        std::future::poll_fn(|cx| std::task::Poll::Ready(accept.as_mut().poll(cx).is_pending()))
            .await
    }
}

/// Starts two endpoints with the ids `i-1` and `i-2`.
pub async fn two_endpoints() -> (TestEndpoint, TestEndpoint) {
    (
        TestEndpoint::start("i-1").await,
        TestEndpoint::start("i-2").await,
    )
}
