//! A proxy under test.

use super::{Message, Peer, TestEndpoint, TestNode};
use dunespur_proxy::{ProxyServer, ProxySettings, Safeguards};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::{TcpListener, TcpStream};

/// A proxy that listens on its own port.
pub struct TestProxy {
    pub node: Rc<TestNode>,
    pub server: Rc<ProxyServer<TestNode>>,
    pub address: SocketAddr,
}

impl TestProxy {
    pub async fn start(endpoints: &[&TestEndpoint]) -> TestProxy {
        TestProxy::with_settings(endpoints, ProxySettings::default()).await
    }

    /// Starts a proxy with a single endpoint, `i-1`.
    pub async fn with_endpoint() -> (TestProxy, TestEndpoint) {
        let endpoint = TestEndpoint::start("i-1").await;
        let proxy = TestProxy::start(&[&endpoint]).await;
        (proxy, endpoint)
    }

    pub async fn with_settings(endpoints: &[&TestEndpoint], settings: ProxySettings) -> TestProxy {
        TestProxy::with_safeguards(endpoints, settings, Safeguards::default()).await
    }

    /// Starts a proxy with the given safeguards.
    pub async fn with_safeguards(
        endpoints: &[&TestEndpoint],
        settings: ProxySettings,
        safeguards: Safeguards,
    ) -> TestProxy {
        let node = TestNode::new(endpoints.iter().map(|endpoint| endpoint.server()).collect());
        let server = ProxyServer::with_safeguards(node.clone(), settings, safeguards);
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        tokio::task::spawn_local(server.clone().serve(listener));
        TestProxy {
            node,
            server,
            address,
        }
    }

    pub async fn client(&self) -> Peer {
        Peer::new(TcpStream::connect(self.address).await.unwrap())
    }

    /// Sends a request from a new client and returns the response.
    pub async fn response(&self, request: &str) -> Message {
        self.send_request(request).await.message().await
    }

    /// Sends a request from a new client and returns the client.
    pub async fn send_request(&self, request: &str) -> Peer {
        let mut client = self.client().await;
        client.send(request.as_bytes()).await;
        client
    }
}
