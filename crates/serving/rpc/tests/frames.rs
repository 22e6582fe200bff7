//! Client and server write frames with the bytes of revision 52a1591, which wrote the files under `tests/fixtures`.

mod common;

use bytes::Bytes;
use common::run;
use dunespur_rpc::{serve, Client, Service};
use dunespur_test_fixtures::Fixtures;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

const TIME_LIMIT: Duration = Duration::from_secs(10);

fn fixtures() -> Fixtures {
    Fixtures::of_package(env!("CARGO_MANIFEST_DIR"))
}

/// Responds to a call with the payload and a dot.
struct AppendDot;

impl Service for AppendDot {
    async fn call(self: Rc<Self>, payload: Bytes) -> Option<Bytes> {
        Some([&payload[..], b"."].concat().into())
    }
}

async fn read(stream: &mut TcpStream, length: usize) -> Vec<u8> {
    let mut bytes = vec![0; length];
    stream.read_exact(&mut bytes).await.unwrap();
    bytes
}

/// Encodes a frame independently of the package: length, checksum, call id, payload.
fn frame(call_id: u64, payload: &[u8]) -> Vec<u8> {
    let rest = [&call_id.to_le_bytes()[..], payload].concat();
    [
        &(rest.len() as u32).to_le_bytes()[..],
        &crc32fast::hash(&rest).to_le_bytes()[..],
        &rest[..],
    ]
    .concat()
}

#[test]
fn a_client_writes_the_frames_of_the_earlier_revision() {
    run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let client = Client::new(listener.local_addr().unwrap());
        let message = Bytes::from_static(b"a message");
        client.notify(message).unwrap();
        let mut calls = Vec::new();
        for payload in [&b"first call"[..], b"", b"third"] {
            let client = client.clone();
            calls.push(spawn_local(async move {
                client.call(Bytes::from_static(payload), TIME_LIMIT).await
            }));
        }
        let expected = [
            frame(0, b"a message"),
            frame(1, b"first call"),
            frame(2, b""),
            frame(3, b"third"),
        ]
        .concat();
        let mut stream = listener.accept().await.unwrap().0;
        let written = read(&mut stream, expected.len()).await;
        assert_eq!(written, expected);
        fixtures().assert_bytes("client.hex", &written);
        for (call_id, payload) in [(2, &b"two"[..]), (1, b""), (3, b"three")] {
            stream.write_all(&frame(call_id, payload)).await.unwrap();
        }
        let mut responses = Vec::new();
        for call in calls {
            responses.push(call.await.unwrap().unwrap());
        }
        assert_eq!(responses, ["", "two", "three"]);
    });
}

#[test]
fn a_server_reads_and_writes_the_frames_of_the_earlier_revision() {
    run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let mut stream = TcpStream::connect(listener.local_addr().unwrap())
            .await
            .unwrap();
        spawn_local(serve(listener, Rc::new(AppendDot)));
        let requests = fixtures().bytes("client.hex");
        stream.write_all(&requests).await.unwrap();
        let expected = [
            frame(1, b"first call."),
            frame(2, b"."),
            frame(3, b"third."),
        ]
        .concat();
        let written = read(&mut stream, expected.len()).await;
        assert_eq!(written, expected, "the one-way message gets no response");
        fixtures().assert_bytes("server.hex", &written);
    });
}
