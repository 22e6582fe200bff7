//! One side of a connection, client or endpoint, driven byte by byte.

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Iterations of the event loop after which nothing is left to do but to wait for a timer.
const ITERATIONS_TO_IDLE: usize = 50;

/// The other side of a connection.
pub struct Peer {
    stream: TcpStream,
    buffer: Vec<u8>,
}

/// A message as it came over the wire.
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
            .find(|(n, _)| n.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    pub fn id(&self) -> &str {
        self.header("x-dunespur-request-id").expect("an id")
    }

    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).unwrap().parse().unwrap()
    }

    pub fn text(&self) -> &str {
        std::str::from_utf8(&self.body).unwrap()
    }
}

/// What came of the body of a truncated message.
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

    /// Sends this, unless the other side has disconnected.
    pub async fn send(&mut self, bytes: &[u8]) {
        let _ = self.stream.write_all(bytes).await;
    }

    /// A response with a length to the request with this id.
    pub async fn respond(&mut self, status: u16, id: &str, more: &str, body: &str) {
        let text = format!(
            "HTTP/1.1 {status} X\r\nX-Dunespur-Request-Id: {id}\r\nX-Dunespur-Response-Stamp: s.{id}\r\n{more}Content-Length: {}\r\n\r\n{body}",
            body.len()
        );
        self.send(text.as_bytes()).await;
    }

    /// The head of a stream of events.
    pub async fn stream_head(&mut self, id: &str, more: &str) {
        let text = format!(
            "HTTP/1.1 200 OK\r\nX-Dunespur-Request-Id: {id}\r\nX-Dunespur-Response-Stamp: s.{id}\r\n{more}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        self.send(text.as_bytes()).await;
    }

    pub async fn chunk(&mut self, text: &str) {
        let chunk = format!("{:x}\r\n{text}\r\n", text.len());
        self.send(chunk.as_bytes()).await;
    }

    pub async fn last_chunk(&mut self) {
        self.send(b"0\r\n\r\n").await;
    }

    /// Reads more; false at the end of the connection.
    pub async fn more(&mut self) -> bool {
        matches!(self.stream.read_buf(&mut self.buffer).await, Ok(read) if read > 0)
    }

    /// What has arrived and was not taken.
    pub fn unread(&self) -> &[u8] {
        &self.buffer
    }

    /// Whether neither bytes nor an end have arrived, once all that is due has been done.
    pub async fn is_silent(&self) -> bool {
        for _ in 0..ITERATIONS_TO_IDLE {
            tokio::task::yield_now().await;
        }
        let peeked =
            socket2::SockRef::from(&self.stream).peek(&mut [std::mem::MaybeUninit::uninit()]);
        self.buffer.is_empty()
            && peeked.is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock)
    }

    /// Waits for the end of the connection; whether nothing came before it.
    pub async fn is_closed(&mut self) -> bool {
        !self.more().await && self.buffer.is_empty()
    }

    /// Waits until this has arrived, and takes all up to its end.
    pub async fn until(&mut self, wanted: &str) -> Vec<u8> {
        loop {
            if let Some(at) = find(&self.buffer, wanted.as_bytes()) {
                return self.buffer.drain(..at + wanted.len()).collect();
            }
            let came = self.more().await;
            assert!(
                came,
                "no {wanted:?} in {:?}",
                String::from_utf8_lossy(&self.buffer)
            );
        }
    }

    /// The head of the next message.
    pub async fn head(&mut self) -> Message {
        let head = String::from_utf8(self.until("\r\n\r\n").await).unwrap();
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

    /// The next complete message.
    pub async fn message(&mut self) -> Message {
        self.message_or_truncated()
            .await
            .expect("a complete message")
    }

    /// The next message, or what of its body came before the connection ended.
    pub async fn message_or_truncated(&mut self) -> Result<Message, TruncatedMessage> {
        let mut message = self.head().await;
        message.body = self
            .body_of(&message)
            .await
            .map_err(|body| TruncatedMessage { body })?;
        Ok(message)
    }

    /// The head of the next message; None where the connection ends before it is complete.
    pub async fn next_head(&mut self) -> Option<Message> {
        while find(&self.buffer, b"\r\n\r\n").is_none() {
            if !self.more().await {
                return None;
            }
        }
        Some(self.head().await)
    }

    /// The next message; None where the connection ends before it is complete.
    pub async fn next_message(&mut self) -> Option<Message> {
        let mut message = self.next_head().await?;
        message.body = self.body_of(&message).await.ok()?;
        Some(message)
    }

    /// The body of the message with this head, or what of it came before the connection ended.
    pub async fn body_of(&mut self, head: &Message) -> Result<Vec<u8>, Vec<u8>> {
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
            if !self.more().await {
                return Err(std::mem::take(&mut self.buffer));
            }
        }
        Ok(self.buffer.drain(..length).collect())
    }

    /// The next chunk, an empty one at the end; None where the connection ends before it.
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
            if !self.more().await {
                return None;
            }
        }
    }

    /// The bytes of the next message, from its first line to the end of its body.
    pub async fn raw_message(&mut self) -> Vec<u8> {
        let mut bytes = self.until("\r\n\r\n").await;
        let head = String::from_utf8(bytes.clone())
            .unwrap()
            .to_ascii_lowercase();
        if head.contains("\r\ntransfer-encoding: chunked\r\n") {
            bytes.extend(self.until("0\r\n\r\n").await);
            return bytes;
        }
        let length = head
            .lines()
            .find_map(|line| line.strip_prefix("content-length: "));
        let length: usize = length.map_or(0, |length| length.parse().unwrap());
        while self.buffer.len() < length {
            assert!(self.more().await, "the message ends before its length");
        }
        bytes.extend(self.buffer.drain(..length));
        bytes
    }

    /// Ends the connection in order towards the other side, and goes on reading.
    pub async fn end_in_order(&mut self) {
        let _ = self.stream.shutdown().await;
    }

    /// All that comes until the connection ends, however it does.
    pub async fn rest(&mut self) -> Vec<u8> {
        while self.more().await {}
        std::mem::take(&mut self.buffer)
    }

    /// A second handle of the socket, to write to it in the midst of something else.
    pub fn writer(&self) -> std::net::TcpStream {
        std::net::TcpStream::from(socket2::SockRef::from(&self.stream).try_clone().unwrap())
    }

    /// Ends the connection at once, so that the other side sees a reset.
    pub fn reset(self) {
        self.stream.set_zero_linger().unwrap();
    }
}

fn find(bytes: &[u8], wanted: &[u8]) -> Option<usize> {
    bytes
        .windows(wanted.len())
        .position(|window| window == wanted)
}
