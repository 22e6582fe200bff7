//! A client or endpoint connection that a test drives byte by byte.

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Iterations of the event loop after which only timers are pending.
const ITERATIONS_TO_IDLE: usize = 50;

/// The test's end of a connection to the proxy.
pub struct Peer {
    stream: TcpStream,
    buffer: Vec<u8>,
}

/// A request or response as received.
#[derive(Clone, Debug)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(header_name, _)| header_name.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    pub fn id(&self) -> &str {
        self.header("x-dunespur-request-id")
            .expect("the message has a request id")
    }

    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).unwrap().parse().unwrap()
    }

    pub fn text(&self) -> &str {
        std::str::from_utf8(&self.body).unwrap()
    }
}

/// The received part of the body of a truncated message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TruncatedMessage {
    pub body: Vec<u8>,
}

impl Peer {
    pub fn new(stream: TcpStream) -> Peer {
        stream.set_nodelay(true).unwrap();
        Peer {
            stream,
            buffer: Vec::new(),
        }
    }

    /// Sends bytes; ignores a disconnect of the proxy.
    pub async fn send(&mut self, bytes: &[u8]) {
        let _ = self.stream.write_all(bytes).await;
    }

    /// Sends a response with a `Content-Length` to the request with this id.
    pub async fn respond(&mut self, status: u16, id: &str, more_headers: &str, body: &str) {
        let text = format!(
            "HTTP/1.1 {status} X\r\nX-Dunespur-Request-Id: {id}\r\nX-Dunespur-Response-Stamp: s.{id}\r\n{more_headers}Content-Length: {}\r\n\r\n{body}",
            body.len()
        );
        self.send(text.as_bytes()).await;
    }

    /// Sends the head of an event stream.
    pub async fn send_stream_head(&mut self, id: &str, more_headers: &str) {
        let text = format!(
            "HTTP/1.1 200 OK\r\nX-Dunespur-Request-Id: {id}\r\nX-Dunespur-Response-Stamp: s.{id}\r\n{more_headers}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        self.send(text.as_bytes()).await;
    }

    /// Sends one chunk of a chunked body.
    pub async fn send_chunk(&mut self, text: &str) {
        let chunk = format!("{:x}\r\n{text}\r\n", text.len());
        self.send(chunk.as_bytes()).await;
    }

    /// Sends the end of a chunked body.
    pub async fn send_last_chunk(&mut self) {
        self.send(b"0\r\n\r\n").await;
    }

    /// Reads further bytes into the buffer. Returns false at the end of the connection.
    pub async fn read_more(&mut self) -> bool {
        matches!(self.stream.read_buf(&mut self.buffer).await, Ok(read) if read > 0)
    }

    /// Returns the bytes that were read but not yet consumed.
    pub fn unread(&self) -> &[u8] {
        &self.buffer
    }

    /// Whether neither bytes nor an end of the connection have arrived once only timers are pending.
    pub async fn is_silent(&self) -> bool {
        for _ in 0..ITERATIONS_TO_IDLE {
            tokio::task::yield_now().await;
        }
        let peeked =
            socket2::SockRef::from(&self.stream).peek(&mut [std::mem::MaybeUninit::uninit()]);
        self.buffer.is_empty()
            && peeked.is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock)
    }

    /// Waits for further bytes or the end of the connection. Returns whether it has ended with no bytes left.
    pub async fn is_closed(&mut self) -> bool {
        !self.read_more().await && self.buffer.is_empty()
    }

    /// Reads until `wanted` has arrived, and returns everything up to its end.
    pub async fn read_until(&mut self, wanted: &str) -> Vec<u8> {
        loop {
            if let Some(start) = find(&self.buffer, wanted.as_bytes()) {
                return self.buffer.drain(..start + wanted.len()).collect();
            }
            let is_open = self.read_more().await;
            assert!(
                is_open,
                "the connection ended before {wanted:?}, after {:?}",
                String::from_utf8_lossy(&self.buffer)
            );
        }
    }

    /// Reads the head of the next message.
    pub async fn head(&mut self) -> Message {
        let head = self.read_until("\r\n\r\n").await;
        // Header values are Latin-1.
        let head: String = head.into_iter().map(char::from).collect();
        let mut lines = head.trim_end().split("\r\n");
        let first_line = lines.next().unwrap().to_owned();
        let header = |line: &str| {
            line.split_once(": ")
                .map(|(name, value)| (name.to_owned(), value.to_owned()))
        };
        Message {
            first_line,
            headers: lines.filter_map(header).collect(),
            body: Vec::new(),
        }
    }

    /// Reads the next message, which must be complete.
    pub async fn message(&mut self) -> Message {
        self.message_or_truncated()
            .await
            .expect("the message is complete")
    }

    /// Reads the next message, or the part of its body that arrived before the connection ended.
    pub async fn message_or_truncated(&mut self) -> Result<Message, TruncatedMessage> {
        let mut message = self.head().await;
        message.body = self
            .read_body(&message)
            .await
            .map_err(|body| TruncatedMessage { body })?;
        Ok(message)
    }

    /// Reads the head of the next message; None if the connection ends before the head is complete.
    pub async fn next_head(&mut self) -> Option<Message> {
        while find(&self.buffer, b"\r\n\r\n").is_none() {
            if !self.read_more().await {
                return None;
            }
        }
        Some(self.head().await)
    }

    /// Reads the next message; None if the connection ends before the message is complete.
    pub async fn next_message(&mut self) -> Option<Message> {
        let mut message = self.next_head().await?;
        message.body = self.read_body(&message).await.ok()?;
        Some(message)
    }

    /// Reads the body of the message with this head, or the part that arrived before the connection ended.
    pub async fn read_body(&mut self, head: &Message) -> Result<Vec<u8>, Vec<u8>> {
        let mut body = Vec::new();
        if head.header("transfer-encoding") == Some("chunked") {
            loop {
                match self.next_chunk().await {
                    None => return Err(body),
                    Some(chunk) if chunk.is_empty() => return Ok(body),
                    Some(chunk) => body.extend(chunk),
                }
            }
        }
        let length = head
            .header("content-length")
            .map_or(0, |length| length.parse().unwrap());
        while self.buffer.len() < length {
            if !self.read_more().await {
                return Err(std::mem::take(&mut self.buffer));
            }
        }
        Ok(self.buffer.drain(..length).collect())
    }

    /// Reads the next chunk, empty at the end of the body; None if the connection ends before it.
    pub async fn next_chunk(&mut self) -> Option<Vec<u8>> {
        loop {
            if let Some(line) = find(&self.buffer, b"\r\n") {
                let size =
                    usize::from_str_radix(std::str::from_utf8(&self.buffer[..line]).unwrap(), 16)
                        .unwrap();
                if self.buffer.len() >= line + 2 + size + 2 {
                    let chunk = self.buffer[line + 2..line + 2 + size].to_vec();
                    self.buffer.drain(..line + 2 + size + 2);
                    return Some(chunk);
                }
            }
            if !self.read_more().await {
                return None;
            }
        }
    }

    /// Reads the raw bytes of the next message, from its first line to the end of its body.
    pub async fn raw_message(&mut self) -> Vec<u8> {
        let mut bytes = self.read_until("\r\n\r\n").await;
        let head = String::from_utf8(bytes.clone())
            .unwrap()
            .to_ascii_lowercase();
        if head.contains("\r\ntransfer-encoding: chunked\r\n") {
            bytes.extend(self.read_until("0\r\n\r\n").await);
            return bytes;
        }
        let length = head
            .lines()
            .find_map(|line| line.strip_prefix("content-length: "));
        let length: usize = length.map_or(0, |length| length.parse().unwrap());
        while self.buffer.len() < length {
            assert!(
                self.read_more().await,
                "the connection ended before the message's Content-Length"
            );
        }
        bytes.extend(self.buffer.drain(..length));
        bytes
    }

    /// Closes the write side of the connection; reading is still possible.
    pub async fn shut_down_write(&mut self) {
        let _ = self.stream.shutdown().await;
    }

    /// Reads everything until the connection closes or is reset.
    pub async fn read_to_end(&mut self) -> Vec<u8> {
        while self.read_more().await {}
        std::mem::take(&mut self.buffer)
    }

    /// Returns a second handle of the socket, for writes at a moment when the peer itself is in use.
    pub fn writer(&self) -> std::net::TcpStream {
        std::net::TcpStream::from(socket2::SockRef::from(&self.stream).try_clone().unwrap())
    }

    /// Closes the connection with a reset.
    pub fn reset(self) {
        self.stream.set_zero_linger().unwrap();
    }
}

fn find(bytes: &[u8], wanted: &[u8]) -> Option<usize> {
    bytes
        .windows(wanted.len())
        .position(|window| window == wanted)
}
