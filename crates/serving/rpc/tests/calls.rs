//! Calls over loopback: responses, one-way messages, ended connections, bytes that are no frames.

mod common;

use bytes::Bytes;
use common::run;
use dunespur_rpc::{serve, CallError, Client, Service};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::Notify;
use tokio::task::{spawn_local, yield_now};

const TIME_LIMIT: Duration = Duration::from_secs(10);

/// Responds with the payload reversed; `end` ends the connection, `never` gets no response.
#[derive(Default)]
struct Echo {
    seen: RefCell<Vec<Bytes>>,
    noticed: Notify,
}

impl Service for Echo {
    async fn call(self: Rc<Self>, payload: Bytes) -> Option<Bytes> {
        self.seen.borrow_mut().push(payload.clone());
        self.noticed.notify_one();
        if payload == "end" {
            return None;
        }
        if payload == "never" {
            std::future::pending::<()>().await;
        }
        Some(payload.iter().rev().copied().collect())
    }
}

async fn started() -> (Rc<Echo>, std::net::SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let service = Rc::new(Echo::default());
    spawn_local(serve(listener, service.clone()));
    (service, address)
}

#[test]
fn calls_get_each_its_own_response() {
    run(async {
        let (_, address) = started().await;
        let client = Client::new(address);
        let (a, b) = tokio::join!(
            client.call(Bytes::from_static(b"abc"), TIME_LIMIT),
            client.call(Bytes::from_static(b"xyz"), TIME_LIMIT)
        );
        assert_eq!(a.unwrap(), "cba");
        assert_eq!(b.unwrap(), "zyx");
    });
}

#[test]
fn large_payloads_pass_and_larger_ones_are_refused_unsent() {
    run(async {
        let (service, address) = started().await;
        let client = Client::new(address);
        let large = Bytes::from(vec![7; 3 * 1024 * 1024]);
        assert_eq!(client.call(large.clone(), TIME_LIMIT).await.unwrap(), large);
        let too_large = Bytes::from(vec![7; dunespur_rpc::MAX_FRAME_BYTES]);
        assert_eq!(
            client.call(too_large, TIME_LIMIT).await,
            Err(CallError::Full)
        );
        assert_eq!(service.seen.borrow().len(), 1);
    });
}

#[test]
fn messages_arrive_in_order() {
    run(async {
        let (service, address) = started().await;
        let client = Client::new(address);
        for text in ["one", "two", "three"] {
            client.notify(Bytes::from_static(text.as_bytes())).unwrap();
        }
        client
            .call(Bytes::from_static(b"last"), TIME_LIMIT)
            .await
            .unwrap();
        assert_eq!(*service.seen.borrow(), ["one", "two", "three", "last"]);
    });
}

#[test]
fn a_closed_port_is_unreachable_and_the_observer_is_called() {
    run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        drop(listener);
        let notices = Rc::new(Cell::new(0));
        let counted = notices.clone();
        let client =
            Client::with_close_observer(address, Box::new(move || counted.set(counted.get() + 1)));
        assert_eq!(
            client.call(Bytes::new(), TIME_LIMIT).await,
            Err(CallError::Unreachable)
        );
        assert_eq!(notices.get(), 1);
    });
}

/// Fills the backlog of a listener with connections that nobody has accepted, so that it ignores further ones, as an
/// unreachable machine does.
async fn ignoring_listener() -> (TcpListener, Vec<TcpStream>) {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let listener = socket.listen(1).unwrap();
    let address = listener.local_addr().unwrap();
    let mut taken = Vec::new();
    for _ in 0..2 {
        taken.push(TcpStream::connect(address).await.unwrap());
    }
    (listener, taken)
}

#[test]
fn a_machine_that_comes_back_is_reached_before_the_first_attempt_is_given_up() {
    run(async {
        let (listener, taken) = ignoring_listener().await;
        let client = Client::new(listener.local_addr().unwrap());
        let call =
            spawn_local(async move { client.call(Bytes::from_static(b"abc"), TIME_LIMIT).await });
        // The first attempt goes out, and is ignored.
        for _ in 0..10 {
            yield_now().await;
        }
        drop(taken);
        spawn_local(serve(listener, Rc::new(Echo::default())));
        assert_eq!(call.await.unwrap().unwrap(), "cba");
    });
}

#[test]
fn a_connection_that_ends_fails_its_calls_and_the_next_call_opens_another() {
    run(async {
        let (_, address) = started().await;
        let client = Client::new(address);
        let (hanging, ending) = tokio::join!(
            client.call(Bytes::from_static(b"never"), TIME_LIMIT),
            client.call(Bytes::from_static(b"end"), TIME_LIMIT)
        );
        assert_eq!(hanging, Err(CallError::Closed));
        assert_eq!(ending, Err(CallError::Closed));
        assert_eq!(
            client
                .call(Bytes::from_static(b"ab"), TIME_LIMIT)
                .await
                .unwrap(),
            "ba"
        );
    });
}

#[test]
fn bytes_that_are_no_frame_end_only_their_connection() {
    run(async {
        let (service, address) = started().await;
        let client = Client::new(address);
        client
            .call(Bytes::from_static(b"ab"), TIME_LIMIT)
            .await
            .unwrap();
        for malformed in [
            &b"GET / HTTP/1.1\r\n\r\n"[..],
            &[9, 0, 0, 0, 1, 2, 3, 4, 0, 0, 0, 0, 0, 0, 0, 0, 65],
        ] {
            let mut stranger = TcpStream::connect(address).await.unwrap();
            stranger.write_all(malformed).await.unwrap();
            let mut rest = Vec::new();
            let _ = stranger.read_to_end(&mut rest).await;
            assert!(rest.is_empty());
        }
        assert_eq!(
            client
                .call(Bytes::from_static(b"cd"), TIME_LIMIT)
                .await
                .unwrap(),
            "dc"
        );
        assert_eq!(service.seen.borrow().len(), 2);
    });
}

#[test]
fn a_dropped_client_ends_its_connection() {
    run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let client = Client::new(listener.local_addr().unwrap());
        client.notify(Bytes::from_static(b"hello")).unwrap();
        let (mut stream, _) = listener.accept().await.unwrap();
        drop(client);
        let mut rest = Vec::new();
        let _ = stream.read_to_end(&mut rest).await;
    });
}
