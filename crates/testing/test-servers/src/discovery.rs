//! Discovery: a list of endpoints, and watches that receive each change.

use bytes::Bytes;
use http_body_util::StreamBody;
use hyper::body::{Frame, Incoming};
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::cell::Cell;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::time::sleep;

/// Interval of the empty lines by which an idle watch shows that it is alive.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(2);
/// Frames of a response that may wait to be written.
const FRAMES_IN_FLIGHT: usize = 8;

/// A frame of a response's body.
type BodyFrame = Result<Frame<Bytes>, Infallible>;

/// Discovery: serves a list of endpoints, once or as a watch.
pub struct Discovery {
    /// Address on loopback.
    pub address: SocketAddr,
    /// Revision of the present list.
    pub revision: Cell<u64>,
    list: watch::Sender<String>,
    /// Watches that are open now.
    pub watches: Cell<usize>,
    /// Requests so far.
    pub calls: Cell<u64>,
}

/// Counts one open watch until this is dropped.
struct OpenWatch(Rc<Discovery>);

impl OpenWatch {
    fn begin(discovery: Rc<Discovery>) -> OpenWatch {
        discovery.watches.set(discovery.watches.get() + 1);
        OpenWatch(discovery)
    }
}

impl Drop for OpenWatch {
    fn drop(&mut self) {
        self.0.watches.set(self.0.watches.get() - 1);
    }
}

impl Discovery {
    /// Starts discovery with a list as [`list`] writes it.
    ///
    /// # Errors
    ///
    /// Fails where no port on loopback can be bound.
    pub async fn start(revision: u64, list: String) -> io::Result<Rc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let discovery = Rc::new(Discovery {
            address: listener.local_addr()?,
            revision: Cell::new(revision),
            list: watch::Sender::new(list),
            watches: Cell::new(0),
            calls: Cell::new(0),
        });
        let shared = discovery.clone();
        tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::task::spawn_local(shared.clone().serve(stream));
            }
        });
        Ok(discovery)
    }

    /// Replaces the list; open watches receive it.
    pub fn set(&self, revision: u64, list: String) {
        self.revision.set(revision);
        self.list.send_replace(list);
    }

    async fn serve(self: Rc<Self>, stream: TcpStream) {
        let service = service_fn(move |request: Request<Incoming>| {
            let discovery = self.clone();
            async move { Ok::<_, Infallible>(discovery.respond(&request)) }
        });
        let _ = hyper::server::conn::http1::Builder::new()
            .serve_connection(TokioIo::new(stream), service)
            .await;
    }

    /// A response whose body is the list, followed by each change where the request asks for a watch.
    fn respond(
        self: Rc<Self>,
        request: &Request<Incoming>,
    ) -> Response<StreamBody<impl futures_core::Stream<Item = BodyFrame>>> {
        self.calls.set(self.calls.get() + 1);
        let follows = request
            .uri()
            .query()
            .is_some_and(|query| query.contains("follow=1"));
        let (sender, mut receiver) = mpsc::channel(FRAMES_IN_FLIGHT);
        let list = self.list.subscribe();
        let open = OpenWatch::begin(self);
        tokio::task::spawn_local(async move {
            let _open = open;
            send_lists(list, &sender, follows).await;
        });
        Response::new(StreamBody::new(stream_of(move |context| {
            receiver.poll_recv(context)
        })))
    }
}

/// Sends the list, and each change of it where the caller follows.
async fn send_lists(
    mut list: watch::Receiver<String>,
    sender: &mpsc::Sender<BodyFrame>,
    follows: bool,
) {
    loop {
        let line = format!("{}\n", *list.borrow_and_update());
        if sender.send(Ok(Frame::data(line.into()))).await.is_err() || !follows {
            return;
        }
        if !next_change(&mut list, sender).await {
            return;
        }
    }
}

/// Waits for a change and keeps the watch alive; false once the caller has disconnected or discovery has ended.
async fn next_change(list: &mut watch::Receiver<String>, sender: &mpsc::Sender<BodyFrame>) -> bool {
    loop {
        tokio::select! {
            changed = list.changed() => return changed.is_ok(),
            () = sender.closed() => return false,
            () = sleep(KEEP_ALIVE_INTERVAL) => {
                let empty_line = Frame::data(Bytes::from_static(b"\n"));
                if sender.send(Ok(empty_line)).await.is_err() {
                    return false;
                }
            }
        }
    }
}

/// A stream that polls by a closure.
fn stream_of<T>(
    poll: impl FnMut(&mut Context<'_>) -> Poll<Option<T>>,
) -> impl futures_core::Stream<Item = T> {
    struct Polled<F>(F);
    impl<T, F> futures_core::Stream for Polled<F>
    where
        F: FnMut(&mut Context<'_>) -> Poll<Option<T>> + Unpin,
    {
        type Item = T;

        fn poll_next(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<T>> {
            (self.0)(context)
        }
    }
    Polled(Box::new(poll))
}

/// A list of servers (id, address, zone, phase) in the format of discovery.
#[must_use]
pub fn list(revision: u64, servers: &[(String, SocketAddr, String, &str)]) -> String {
    let members: Vec<_> = servers
        .iter()
        .map(|(id, address, zone, phase)| {
            serde_json::json!({"id": id, "host_port": address.to_string(), "locality": zone, "flavor": "m",
                "cell": 0, "phase": phase, "size": 1.0, "up_since_ms": 0})
        })
        .collect();
    serde_json::json!({"revision": revision, "complete": true, "members": members}).to_string()
}
