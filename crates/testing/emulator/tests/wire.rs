//! Messages read from chunks of any size.

use dunespur_emulator::wire::{Event, EventReader, GarbledEvent, MessageReader, WireError};

/// Reads one response from `bytes`, delivered in chunks of `size`.
async fn answer(bytes: &[u8], size: usize) -> Result<(u16, Vec<u8>), WireError> {
    let mut builder = ChunkedBytes {
        left: bytes.to_vec(),
        size,
    };
    let mut reader = MessageReader::new(&mut builder);
    let head = reader.response_head().await?;
    let body = reader.body().await?;
    Ok((head.status, body.to_vec()))
}

struct ChunkedBytes {
    left: Vec<u8>,
    size: usize,
}

impl tokio::io::AsyncRead for ChunkedBytes {
    fn poll_read(
        mut self: std::pin::Pin<&mut Self>,
        _: &mut std::task::Context<'_>,
        buffer: &mut tokio::io::ReadBuf<'_>,
    ) -> std::task::Poll<std::io::Result<()>> {
        let count = self.left.len().min(self.size).min(buffer.remaining());
        let data: Vec<u8> = self.left.drain(..count).collect();
        buffer.put_slice(&data);
        std::task::Poll::Ready(Ok(()))
    }
}

#[tokio::test]
async fn complete_answers_are_read_whatever_the_chunks() {
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
            let (_, read) = answer(bytes.as_bytes(), size).await.expect(bytes);
            assert_eq!(read, body.as_bytes(), "{bytes:?} in pieces of {size}");
        }
    }
}

#[tokio::test]
async fn truncated_answers_never_look_complete() {
    let complete = [
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n",
    ];
    for bytes in complete {
        for length in 1..bytes.len() {
            let error = answer(&bytes.as_bytes()[..length], 7)
                .await
                .expect_err(&bytes[..length]);
            assert_eq!(error, WireError::BrokenOff, "{:?}", &bytes[..length]);
        }
    }
    assert_eq!(answer(b"", 1).await, Err(WireError::Ended));
}

#[tokio::test]
async fn what_is_no_answer_is_an_error() {
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
        let error = answer(bytes.as_bytes(), 9).await.expect_err(bytes);
        assert!(matches!(error, WireError::Garbled(_)), "{bytes:?}: {error}");
    }
}

#[test]
fn events_come_out_as_they_were_put_in() {
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
fn a_block_without_id_or_data_is_no_event() {
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
