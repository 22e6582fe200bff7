//! Late, second and stray answers: none is taken for the answer to another call. A call is sent once.

use bytes::{Buf, Bytes};
use dunespur_rpc::{CallError, Client};
use fastrand::Rng;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::{spawn_local, yield_now, JoinHandle, LocalSet};

const LIMIT: Duration = Duration::from_secs(10);
/// Over before anything else happens.
const NO_TIME: Duration = Duration::ZERO;
/// Length, checksum and number in front of a payload.
const NUMBER_BYTES: usize = 8;
const SEEDS: u64 = 300;
const CALLS: u64 = 12;

/// A process that is called, byte by byte.
struct Called {
    stream: TcpStream,
}

impl Called {
    async fn accept(listener: &TcpListener) -> Called {
        Called {
            stream: listener.accept().await.unwrap().0,
        }
    }

    /// The next call: its number and payload.
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

    async fn answer(&mut self, number: u64, payload: &[u8]) {
        let mut rest = number.to_le_bytes().to_vec();
        rest.extend(payload);
        let mut frame = (rest.len() as u32).to_le_bytes().to_vec();
        frame.extend(crc32fast::hash(&rest).to_le_bytes());
        frame.extend(&rest);
        assert_eq!(frame.len(), 8 + NUMBER_BYTES + payload.len());
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
    spawn_local(async move { client.call(payload, LIMIT).await })
}

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    LocalSet::new().block_on(&runtime, test);
}

#[test]
fn the_late_answer_to_a_call_that_was_given_up_is_not_that_to_the_next() {
    run(async {
        let (listener, client) = listening().await;
        let first = client.call(Bytes::from_static(b"first"), NO_TIME).await;
        assert_eq!(first, Err(CallError::TimedOut));
        let second = call(&client, "second");
        let mut called = Called::accept(&listener).await;
        let (first_number, payload) = called.call().await;
        assert_eq!(payload, "first");
        let (second_number, _) = called.call().await;
        called.answer(first_number, b"to the first").await;
        called.answer(first_number, b"to the first, again").await;
        called.answer(second_number, b"to the second").await;
        assert_eq!(second.await.unwrap().unwrap(), "to the second");
    });
}

#[test]
fn a_second_answer_and_one_to_no_call_are_nobodys() {
    run(async {
        let (listener, client) = listening().await;
        let first = call(&client, "first");
        let mut called = Called::accept(&listener).await;
        let (first_number, _) = called.call().await;
        called.answer(first_number, b"one").await;
        assert_eq!(first.await.unwrap().unwrap(), "one");
        let second = call(&client, "second");
        let (second_number, _) = called.call().await;
        for stray in [first_number, 0, second_number + 1, u64::MAX] {
            called.answer(stray, b"stray").await;
        }
        called.answer(second_number, b"two").await;
        assert_eq!(second.await.unwrap().unwrap(), "two");
    });
}

#[test]
fn answers_may_pass_each_other() {
    run(async {
        let (listener, client) = listening().await;
        let (first, second) = (call(&client, "first"), call(&client, "second"));
        let mut called = Called::accept(&listener).await;
        let (first_number, _) = called.call().await;
        let (second_number, _) = called.call().await;
        called.answer(second_number, b"two").await;
        called.answer(first_number, b"one").await;
        assert_eq!(first.await.unwrap().unwrap(), "one");
        assert_eq!(second.await.unwrap().unwrap(), "two");
    });
}

#[test]
fn numbers_go_on_over_a_new_connection() {
    run(async {
        let (listener, client) = listening().await;
        let first = call(&client, "first");
        let mut called = Called::accept(&listener).await;
        let (first_number, _) = called.call().await;
        drop(called);
        assert_eq!(first.await.unwrap(), Err(CallError::Closed));
        let second = call(&client, "second");
        let mut called = Called::accept(&listener).await;
        let (second_number, payload) = called.call().await;
        assert_eq!(payload, "second", "the first is not sent again");
        assert!(second_number > first_number);
        called.answer(first_number, b"to the first").await;
        called.answer(second_number, b"to the second").await;
        assert_eq!(second.await.unwrap().unwrap(), "to the second");
    });
}

/// Only the call that finds no place was not sent for sure.
#[test]
fn calls_that_wait_behind_a_full_queue_may_have_been_sent() {
    run(async {
        let (listener, client) = listening().await;
        let first = call(&client, "first");
        let mut called = Called::accept(&listener).await;
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
fn whatever_answers_come_each_call_gets_its_own() {
    for seed in 0..SEEDS {
        run(generated(Rng::with_seed(seed)));
    }
}

/// Calls that are answered in any order, twice, late, never or over connections that end; some are given up.
async fn generated(mut rng: Rng) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let closed = Rc::new(Notify::new());
    let notice = closed.clone();
    let client = Client::with_notice(
        listener.local_addr().unwrap(),
        Box::new(move || notice.notify_one()),
    );
    let mut called: Option<Called> = None;
    let mut calls = Vec::new();
    let mut numbers: Vec<(u64, Bytes)> = Vec::new();
    for number in 0..CALLS {
        let payload = format!("call {number}");
        if rng.u32(0..4) == 0 {
            let given_up = client.call(Bytes::from(payload.clone()), NO_TIME).await;
            assert_eq!(given_up, Err(CallError::TimedOut));
        } else {
            calls.push((payload.clone(), call(&client, &payload)));
            yield_now().await;
        }
        if called.is_none() {
            called = Some(Called::accept(&listener).await);
        }
        let connection = called.as_mut().unwrap();
        let taken = connection.call().await;
        assert_eq!(taken.1, payload, "sent once, in order");
        assert!(numbers.iter().all(|(other, _)| *other != taken.0));
        numbers.push(taken);
        for _ in 0..rng.usize(0..3) {
            let (number, payload) = numbers[rng.usize(0..numbers.len())].clone();
            connection.answer(number, &payload).await;
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
