//! A late, duplicate or unexpected response is never taken for the response to another call, and no call is sent twice.

mod common;

use bytes::{Buf, Bytes};
use common::run;
use dunespur_rpc::{CallError, Client};
use fastrand::Rng;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::{spawn_local, yield_now, JoinHandle};

const TIME_LIMIT: Duration = Duration::from_secs(10);
/// A time limit that has elapsed before a response can arrive.
const NO_WAIT: Duration = Duration::ZERO;
/// Size of the call id in front of a payload.
const CALL_ID_BYTES: usize = 8;
const SEEDS: u64 = 300;
const CALLS: u64 = 12;

/// A server that reads and writes frames independently of the package.
struct RawServer {
    stream: TcpStream,
}

impl RawServer {
    async fn accept(listener: &TcpListener) -> RawServer {
        RawServer {
            stream: listener.accept().await.unwrap().0,
        }
    }

    /// Reads the next call: its id and payload.
    async fn read_call(&mut self) -> (u64, Bytes) {
        let mut head = [0; 8];
        self.stream.read_exact(&mut head).await.unwrap();
        let length = u32::from_le_bytes(head[..4].try_into().unwrap()) as usize;
        let mut rest = vec![0; length];
        self.stream.read_exact(&mut rest).await.unwrap();
        assert_eq!(
            u32::from_le_bytes(head[4..].try_into().unwrap()),
            crc32fast::hash(&rest)
        );
        let mut rest = Bytes::from(rest);
        (rest.get_u64_le(), rest)
    }

    async fn respond(&mut self, call_id: u64, payload: &[u8]) {
        let mut rest = call_id.to_le_bytes().to_vec();
        rest.extend(payload);
        let mut frame = (rest.len() as u32).to_le_bytes().to_vec();
        frame.extend(crc32fast::hash(&rest).to_le_bytes());
        frame.extend(&rest);
        assert_eq!(frame.len(), 8 + CALL_ID_BYTES + payload.len());
        self.stream.write_all(&frame).await.unwrap();
    }
}

async fn listener_and_client() -> (TcpListener, Rc<Client>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let client = Client::new(listener.local_addr().unwrap());
    (listener, client)
}

fn start_call(client: &Rc<Client>, payload: &str) -> JoinHandle<Result<Bytes, CallError>> {
    let (client, payload) = (client.clone(), Bytes::copy_from_slice(payload.as_bytes()));
    spawn_local(async move { client.call(payload, TIME_LIMIT).await })
}

#[test]
fn a_late_response_to_a_timed_out_call_is_not_taken_for_the_next_one() {
    run(async {
        let (listener, client) = listener_and_client().await;
        let first = client.call(Bytes::from_static(b"first"), NO_WAIT).await;
        assert_eq!(first, Err(CallError::TimedOut));
        let second = start_call(&client, "second");
        let mut server = RawServer::accept(&listener).await;
        let (first_id, payload) = server.read_call().await;
        assert_eq!(payload, "first");
        let (second_id, _) = server.read_call().await;
        server.respond(first_id, b"to the first").await;
        server.respond(first_id, b"to the first, again").await;
        server.respond(second_id, b"to the second").await;
        assert_eq!(second.await.unwrap().unwrap(), "to the second");
    });
}

#[test]
fn duplicate_and_unexpected_responses_are_dropped() {
    run(async {
        let (listener, client) = listener_and_client().await;
        let first = start_call(&client, "first");
        let mut server = RawServer::accept(&listener).await;
        let (first_id, _) = server.read_call().await;
        server.respond(first_id, b"one").await;
        assert_eq!(first.await.unwrap().unwrap(), "one");
        let second = start_call(&client, "second");
        let (second_id, _) = server.read_call().await;
        for unexpected in [first_id, 0, second_id + 1, u64::MAX] {
            server.respond(unexpected, b"unexpected").await;
        }
        server.respond(second_id, b"two").await;
        assert_eq!(second.await.unwrap().unwrap(), "two");
    });
}

#[test]
fn responses_may_arrive_in_any_order() {
    run(async {
        let (listener, client) = listener_and_client().await;
        let (first, second) = (start_call(&client, "first"), start_call(&client, "second"));
        let mut server = RawServer::accept(&listener).await;
        let (first_id, _) = server.read_call().await;
        let (second_id, _) = server.read_call().await;
        server.respond(second_id, b"two").await;
        server.respond(first_id, b"one").await;
        assert_eq!(first.await.unwrap().unwrap(), "one");
        assert_eq!(second.await.unwrap().unwrap(), "two");
    });
}

#[test]
fn call_ids_are_not_reused_on_a_new_connection() {
    run(async {
        let (listener, client) = listener_and_client().await;
        let first = start_call(&client, "first");
        let mut server = RawServer::accept(&listener).await;
        let (first_id, _) = server.read_call().await;
        drop(server);
        assert_eq!(first.await.unwrap(), Err(CallError::Closed));
        let second = start_call(&client, "second");
        let mut server = RawServer::accept(&listener).await;
        let (second_id, payload) = server.read_call().await;
        assert_eq!(payload, "second", "the first call is not sent again");
        assert!(second_id > first_id);
        server.respond(first_id, b"to the first").await;
        server.respond(second_id, b"to the second").await;
        assert_eq!(second.await.unwrap().unwrap(), "to the second");
    });
}

/// When the queue is full, earlier calls may have been sent; only the rejected frame certainly was not.
#[test]
fn a_full_queue_fails_pending_calls_as_possibly_sent() {
    run(async {
        let (listener, client) = listener_and_client().await;
        let first = start_call(&client, "first");
        let mut server = RawServer::accept(&listener).await;
        assert_eq!(server.read_call().await.1, "first");
        let full = loop {
            if let Err(error) = client.notify(Bytes::from_static(b"message")) {
                break error;
            }
        };
        assert_eq!(full, CallError::Full);
        assert_eq!(first.await.unwrap(), Err(CallError::Closed));
    });
}

#[test]
fn each_call_gets_its_own_response_in_random_sequences() {
    for seed in 0..SEEDS {
        run(run_random_calls(Rng::with_seed(seed)));
    }
}

/// Runs calls with responses in random order, duplicate, late or missing; some calls time out, and some connections are
/// closed.
async fn run_random_calls(mut rng: Rng) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let closed = Rc::new(Notify::new());
    let on_closed = closed.clone();
    let client = Client::with_close_observer(
        listener.local_addr().unwrap(),
        Box::new(move || on_closed.notify_one()),
    );
    let mut server: Option<RawServer> = None;
    let mut calls = Vec::new();
    let mut requests: Vec<(u64, Bytes)> = Vec::new();
    for number in 0..CALLS {
        let payload = format!("call {number}");
        if rng.u32(0..4) == 0 {
            let timed_out = client.call(Bytes::from(payload.clone()), NO_WAIT).await;
            assert_eq!(timed_out, Err(CallError::TimedOut));
        } else {
            calls.push((payload.clone(), start_call(&client, &payload)));
            yield_now().await;
        }
        if server.is_none() {
            server = Some(RawServer::accept(&listener).await);
        }
        let connection = server.as_mut().unwrap();
        let request = connection.read_call().await;
        assert_eq!(request.1, payload, "each call is sent once, in order");
        assert!(requests.iter().all(|(other, _)| *other != request.0));
        requests.push(request);
        for _ in 0..rng.usize(0..3) {
            let (call_id, payload) = requests[rng.usize(0..requests.len())].clone();
            connection.respond(call_id, &payload).await;
        }
        if rng.u32(0..6) == 0 {
            server = None;
            closed.notified().await;
        }
    }
    drop((server, listener));
    for (payload, call) in calls {
        match call.await.unwrap() {
            Ok(response) => assert_eq!(response, payload),
            Err(error) => assert!(
                matches!(error, CallError::Closed | CallError::Unreachable),
                "{error:?}"
            ),
        }
    }
}
