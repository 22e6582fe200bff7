//! A discovery service: serves a list of endpoints, and sends each change to open watches.

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

/// Interval of the empty lines that keep an idle watch alive.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(2);
/// Maximum number of body frames of a response that wait to be written.
const MAX_QUEUED_FRAMES: usize = 8;

/// One frame of a response body.
type BodyFrame = Result<Frame<Bytes>, Infallible>;

/// A discovery service that returns its endpoint list once, or as a watch with each change.
pub struct Discovery {
    /// Loopback address and port.
    pub address: SocketAddr,
    /// Revision of the current list.
    pub revision: Cell<u64>,
    list: watch::Sender<String>,
    /// Number of responses in progress: open watches, and lists being sent once.
    pub watches: Cell<usize>,
    /// Requests so far.
    pub calls: Cell<u64>,
}

/// Counts one response in [`Discovery::watches`] until dropped.
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
    /// Starts a discovery service with a list in the format of [`endpoint_list`].
    ///
    /// # Errors
    ///
    /// Fails if no loopback port can be bound.
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

    /// Replaces the list and sends the new one to open watches.
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

    /// Responds with the list, and with each later change if the request asks for a watch (`follow=1`).
    fn respond(
        self: Rc<Self>,
        request: &Request<Incoming>,
    ) -> Response<StreamBody<impl futures_core::Stream<Item = BodyFrame>>> {
        self.calls.set(self.calls.get() + 1);
        let is_watch = request
            .uri()
            .query()
            .is_some_and(|query| query.contains("follow=1"));
        let (sender, mut receiver) = mpsc::channel(MAX_QUEUED_FRAMES);
        let list = self.list.subscribe();
        let open_watch = OpenWatch::begin(self);
        tokio::task::spawn_local(async move {
            let _open_watch = open_watch;
            send_lists(list, &sender, is_watch).await;
        });
        Response::new(StreamBody::new(stream_from_poll(move |context| {
            receiver.poll_recv(context)
        })))
    }
}

/// Sends the list, and for a watch also each later change.
async fn send_lists(
    mut list: watch::Receiver<String>,
    sender: &mpsc::Sender<BodyFrame>,
    is_watch: bool,
) {
    loop {
        let line = format!("{}\n", *list.borrow_and_update());
        if sender.send(Ok(Frame::data(line.into()))).await.is_err() || !is_watch {
            return;
        }
        if !next_change(&mut list, sender).await {
            return;
        }
    }
}

/// Waits for a change while keeping the watch alive. Returns false if the client disconnected or the service ended.
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

/// Builds a stream from a poll function.
fn stream_from_poll<T>(
    poll: impl FnMut(&mut Context<'_>) -> Poll<Option<T>>,
) -> impl futures_core::Stream<Item = T> {
    struct PollStream<F>(F);
    impl<T, F> futures_core::Stream for PollStream<F>
    where
        F: FnMut(&mut Context<'_>) -> Poll<Option<T>> + Unpin,
    {
        type Item = T;

        fn poll_next(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<T>> {
            (self.0)(context)
        }
    }
    PollStream(Box::new(poll))
}

/// Builds the JSON of an endpoint list from the servers' id, address, zone and phase.
#[must_use]
pub fn endpoint_list(revision: u64, servers: &[(String, SocketAddr, String, &str)]) -> String {
    let members: Vec<_> = servers
        .iter()
        .map(|(id, address, zone, phase)| {
            serde_json::json!({"id": id, "host_port": address.to_string(), "locality": zone, "flavor": "m",
                "cell": 0, "phase": phase, "size": 1.0, "up_since_ms": 0})
        })
        .collect();
    serde_json::json!({"revision": revision, "complete": true, "members": members}).to_string()
}
