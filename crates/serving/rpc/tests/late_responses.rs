//! Late, second and unexpected responses: none is taken for the response to another call. A call is sent once.

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
/// Elapsed before anything else happens.
const NO_WAIT: Duration = Duration::ZERO;
/// The call id in front of a payload.
const CALL_ID_BYTES: usize = 8;
const SEEDS: u64 = 300;
const CALLS: u64 = 12;

/// A process that is called, byte by byte.
struct CalledProcess {
    stream: TcpStream,
}

impl CalledProcess {
    async fn accept(listener: &TcpListener) -> CalledProcess {
        CalledProcess {
            stream: listener.accept().await.unwrap().0,
        }
    }

    /// The next call: its id and payload.
    async fn call(&mut self) -> (u64, Bytes) {
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

    async fn respond(&mut self, number: u64, payload: &[u8]) {
        let mut rest = number.to_le_bytes().to_vec();
        rest.extend(payload);
        let mut frame = (rest.len() as u32).to_le_bytes().to_vec();
        frame.extend(crc32fast::hash(&rest).to_le_bytes());
        frame.extend(&rest);
        assert_eq!(frame.len(), 8 + CALL_ID_BYTES + payload.len());
        self.stream.write_all(&frame).await.unwrap();
    }
}

async fn listening() -> (TcpListener, Rc<Client>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let client = Client::new(listener.local_addr().unwrap());
    (listener, client)
}

fn call(client: &Rc<Client>, payload: &str) -> JoinHandle<Result<Bytes, CallError>> {
    let (client, payload) = (client.clone(), Bytes::copy_from_slice(payload.as_bytes()));
    spawn_local(async move { client.call(payload, TIME_LIMIT).await })
}

#[test]
fn the_late_response_to_a_call_that_timed_out_is_not_that_to_the_next() {
    run(async {
        let (listener, client) = listening().await;
        let first = client.call(Bytes::from_static(b"first"), NO_WAIT).await;
        assert_eq!(first, Err(CallError::TimedOut));
        let second = call(&client, "second");
        let mut called = CalledProcess::accept(&listener).await;
        let (first_id, payload) = called.call().await;
        assert_eq!(payload, "first");
        let (second_id, _) = called.call().await;
        called.respond(first_id, b"to the first").await;
        called.respond(first_id, b"to the first, again").await;
        called.respond(second_id, b"to the second").await;
        assert_eq!(second.await.unwrap().unwrap(), "to the second");
    });
}

#[test]
fn a_second_response_and_one_to_no_call_are_dropped() {
    run(async {
        let (listener, client) = listening().await;
        let first = call(&client, "first");
        let mut called = CalledProcess::accept(&listener).await;
        let (first_id, _) = called.call().await;
        called.respond(first_id, b"one").await;
        assert_eq!(first.await.unwrap().unwrap(), "one");
        let second = call(&client, "second");
        let (second_id, _) = called.call().await;
        for unexpected in [first_id, 0, second_id + 1, u64::MAX] {
            called.respond(unexpected, b"unexpected").await;
        }
        called.respond(second_id, b"two").await;
        assert_eq!(second.await.unwrap().unwrap(), "two");
    });
}

#[test]
fn responses_may_overtake_each_other() {
    run(async {
        let (listener, client) = listening().await;
        let (first, second) = (call(&client, "first"), call(&client, "second"));
        let mut called = CalledProcess::accept(&listener).await;
        let (first_id, _) = called.call().await;
        let (second_id, _) = called.call().await;
        called.respond(second_id, b"two").await;
        called.respond(first_id, b"one").await;
        assert_eq!(first.await.unwrap().unwrap(), "one");
        assert_eq!(second.await.unwrap().unwrap(), "two");
    });
}

#[test]
fn ids_go_on_over_a_new_connection() {
    run(async {
        let (listener, client) = listening().await;
        let first = call(&client, "first");
        let mut called = CalledProcess::accept(&listener).await;
        let (first_id, _) = called.call().await;
        drop(called);
        assert_eq!(first.await.unwrap(), Err(CallError::Closed));
        let second = call(&client, "second");
        let mut called = CalledProcess::accept(&listener).await;
        let (second_id, payload) = called.call().await;
        assert_eq!(payload, "second", "the first is not sent again");
        assert!(second_id > first_id);
        called.respond(first_id, b"to the first").await;
        called.respond(second_id, b"to the second").await;
        assert_eq!(second.await.unwrap().unwrap(), "to the second");
    });
}

/// Only the call that finds the queue full was surely not sent.
#[test]
fn calls_behind_a_full_queue_may_have_been_sent() {
    run(async {
        let (listener, client) = listening().await;
        let first = call(&client, "first");
        let mut called = CalledProcess::accept(&listener).await;
        assert_eq!(called.call().await.1, "first");
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
fn whatever_responses_come_each_call_gets_its_own() {
    for seed in 0..SEEDS {
        run(generated(Rng::with_seed(seed)));
    }
}

/// Calls that get responses in any order, twice, late, never or over connections that end; some time out.
async fn generated(mut rng: Rng) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let closed = Rc::new(Notify::new());
    let notice = closed.clone();
    let client = Client::with_close_observer(
        listener.local_addr().unwrap(),
        Box::new(move || notice.notify_one()),
    );
    let mut called: Option<CalledProcess> = None;
    let mut calls = Vec::new();
    let mut requests: Vec<(u64, Bytes)> = Vec::new();
    for number in 0..CALLS {
        let payload = format!("call {number}");
        if rng.u32(0..4) == 0 {
            let timed_out = client.call(Bytes::from(payload.clone()), NO_WAIT).await;
            assert_eq!(timed_out, Err(CallError::TimedOut));
        } else {
            calls.push((payload.clone(), call(&client, &payload)));
            yield_now().await;
        }
        if called.is_none() {
            called = Some(CalledProcess::accept(&listener).await);
        }
        let connection = called.as_mut().unwrap();
        let taken = connection.call().await;
        assert_eq!(taken.1, payload, "sent once, in order");
        assert!(requests.iter().all(|(other, _)| *other != taken.0));
        requests.push(taken);
        for _ in 0..rng.usize(0..3) {
            let (number, payload) = requests[rng.usize(0..requests.len())].clone();
            connection.respond(number, &payload).await;
        }
        if rng.u32(0..6) == 0 {
            called = None;
            closed.notified().await;
        }
    }
    drop((called, listener));
    for (payload, call) in calls {
        match call.await.unwrap() {
            Ok(answer) => assert_eq!(answer, payload),
            Err(error) => assert!(
                matches!(error, CallError::Closed | CallError::Unreachable),
                "{error:?}"
            ),
        }
    }
}
