//! Tests of the readers of HTTP messages and events, with input in chunks of various sizes.

use dunespur_emulator::wire::{Event, EventReader, GarbledEvent, MessageReader, WireError};

/// Reads one response from `bytes`, delivered in chunks of at most `size` bytes.
async fn read_response(bytes: &[u8], size: usize) -> Result<(u16, Vec<u8>), WireError> {
    let mut stream = ChunkedBytes {
        remaining: bytes.to_vec(),
        size,
    };
    let mut reader = MessageReader::new(&mut stream);
    let head = reader.response_head().await?;
    let body = reader.body().await?;
    Ok((head.status, body.to_vec()))
}

/// A stream that delivers its bytes in chunks of at most `size`.
struct ChunkedBytes {
    remaining: Vec<u8>,
    size: usize,
}

impl tokio::io::AsyncRead for ChunkedBytes {
    fn poll_read(
        mut self: std::pin::Pin<&mut Self>,
        _: &mut std::task::Context<'_>,
        buffer: &mut tokio::io::ReadBuf<'_>,
    ) -> std::task::Poll<std::io::Result<()>> {
        let count = self.remaining.len().min(self.size).min(buffer.remaining());
        let data: Vec<u8> = self.remaining.drain(..count).collect();
        buffer.put_slice(&data);
        std::task::Poll::Ready(Ok(()))
    }
}

#[tokio::test]
async fn complete_responses_are_read_at_every_chunk_size() {
    let cases: [(&str, &str); 4] = [
        ("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", "hello"),
        (
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n",
            "hello",
        ),
        ("HTTP/1.1 200 OK\r\n\r\nhello", "hello"),
        ("HTTP/1.1 204 No Content\r\n\r\n", ""),
    ];
    for (bytes, body) in cases {
        for size in 1..bytes.len() {
            let (_, read) = read_response(bytes.as_bytes(), size).await.expect(bytes);
            assert_eq!(read, body.as_bytes(), "{bytes:?} in chunks of {size} bytes");
        }
    }
}

#[tokio::test]
async fn truncated_responses_never_look_complete() {
    let complete = [
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n",
    ];
    for bytes in complete {
        for length in 1..bytes.len() {
            let error = read_response(&bytes.as_bytes()[..length], 7)
                .await
                .expect_err(&bytes[..length]);
            assert_eq!(error, WireError::BrokenOff, "{:?}", &bytes[..length]);
        }
    }
    assert_eq!(read_response(b"", 1).await, Err(WireError::Ended));
}

#[tokio::test]
async fn a_malformed_response_is_an_error() {
    let cases = [
        "hello\r\n\r\n",
        "HTTP/1.0 200 OK\r\n\r\n",
        "HTTP/1.1 2x0 OK\r\n\r\n",
        "HTTP/1.1 200 OK\r\nno colon\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello!",
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nhello\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhello\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nTrailer: x\r\n\r\n",
    ];
    for bytes in cases {
        let error = read_response(bytes.as_bytes(), 9).await.expect_err(bytes);
        assert!(matches!(error, WireError::Garbled(_)), "{bytes:?}: {error}");
    }
}

#[test]
fn events_are_read_as_they_were_written() {
    let events = [
        Event {
            id: 3,
            data: "one".to_owned(),
        },
        Event {
            id: 7,
            data: "two\nlines".to_owned(),
        },
        Event {
            id: 8,
            data: String::new(),
        },
    ];
    let bytes: Vec<u8> = events
        .iter()
        .flat_map(|event| event.bytes().to_vec())
        .collect();
    for size in 1..bytes.len() {
        let mut reader = EventReader::default();
        let mut read = Vec::new();
        for data in bytes.chunks(size) {
            reader.push(data);
            while let Some(event) = reader.take() {
                read.push(event.expect("an event"));
            }
        }
        assert_eq!(read, events);
        assert_eq!(reader.left(), 0);
    }
}

#[test]
fn a_block_without_valid_id_or_data_is_malformed() {
    for block in [
        "data: x\n\n",
        "id: 1\n\n",
        "id: x\ndata: y\n\n",
        "hello\n\n",
    ] {
        let mut reader = EventReader::default();
        reader.push(block.as_bytes());
        assert_eq!(reader.take(), Some(Err(GarbledEvent)), "{block:?}");
    }
}
