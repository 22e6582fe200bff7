//! Reader of HTTP messages from a stream of bytes.

use super::body::Framing;
use super::headers::{RequestHead, ResponseHead};
use bytes::{Buf, Bytes, BytesMut};
use std::fmt;
use tokio::io::{AsyncRead, AsyncReadExt};

/// Size limit of a head, which bounds the reader's memory.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Size limit of a body that is read as a whole, which bounds the reader's memory.
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;
/// Maximum number of bytes read ahead of the next message.
const MAX_AHEAD_BYTES: usize = 64 * 1024;
/// Maximum length of the line that states a chunk's length.
const MAX_CHUNK_LINE_BYTES: usize = 64;

/// Why no message could be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WireError {
    /// The connection ended between two messages.
    Ended,
    /// The connection ended inside a message.
    BrokenOff,
    /// The bytes are not a valid message; the text names the malformed part.
    Garbled(&'static str),
    /// Reading or writing failed, for instance as the connection was reset.
    Failed(std::io::ErrorKind),
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            WireError::Ended => write!(f, "the connection ended"),
            WireError::BrokenOff => write!(f, "the connection ended inside a message"),
            WireError::Garbled(reason) => write!(f, "malformed message: {reason}"),
            WireError::Failed(kind) => write!(f, "the connection failed: {kind}"),
        }
    }
}

impl std::error::Error for WireError {}

/// The part of the current body that has not been read.
#[derive(Clone, Copy, Debug)]
enum RemainingBody {
    /// This many bytes.
    Length(u64),
    /// Chunks; the line that states the next chunk's length comes next.
    ChunkLine,
    /// Chunks; this many bytes of the current chunk and its line end come next.
    Chunk(u64),
    /// All bytes up to the end of the connection.
    UntilClose,
    Nothing,
}

/// Reads HTTP messages one after the other.
pub struct MessageReader<R> {
    stream: R,
    buffer: BytesMut,
    remaining_body: RemainingBody,
}

impl<R: AsyncRead + Unpin> MessageReader<R> {
    /// A reader at the beginning of `stream`.
    pub fn new(stream: R) -> Self {
        MessageReader {
            stream,
            buffer: BytesMut::new(),
            remaining_body: RemainingBody::Nothing,
        }
    }

    /// Reads the next request's head; the body is then read by [`Self::next_data`] or [`Self::body`].
    ///
    /// # Errors
    ///
    /// [`WireError`] where the connection ends or the bytes are not a valid request.
    pub async fn request_head(&mut self) -> Result<RequestHead, WireError> {
        let bytes = self.head_bytes().await?;
        let head = RequestHead::parse(&bytes).ok_or(WireError::Garbled("the head of a request"))?;
        let framing =
            Framing::of_request(&head).ok_or(WireError::Garbled("the body length of a request"))?;
        self.expect_body(framing);
        Ok(head)
    }

    /// Reads the next response's head; the body is then read by [`Self::next_data`] or [`Self::body`].
    ///
    /// # Errors
    ///
    /// [`WireError`] where the connection ends or the bytes are not a valid response.
    pub async fn response_head(&mut self) -> Result<ResponseHead, WireError> {
        let bytes = self.head_bytes().await?;
        let head =
            ResponseHead::parse(&bytes).ok_or(WireError::Garbled("the head of a response"))?;
        let framing = Framing::of_response(&head)
            .ok_or(WireError::Garbled("the body length of a response"))?;
        self.expect_body(framing);
        Ok(head)
    }

    /// Reads the body to its end.
    ///
    /// # Errors
    ///
    /// [`WireError`] where the connection ends inside the body, or the body is malformed or too long.
    pub async fn body(&mut self) -> Result<Bytes, WireError> {
        let mut complete = BytesMut::new();
        while let Some(data) = self.next_data().await? {
            if complete.len() + data.len() > MAX_BODY_BYTES {
                return Err(WireError::Garbled("a body longer than 64 MiB"));
            }
            complete.extend_from_slice(&data);
        }
        Ok(complete.freeze())
    }

    /// The next bytes of the body; `None` at its end.
    ///
    /// # Errors
    ///
    /// [`WireError`] where the connection ends inside the body or a chunk is malformed.
    pub async fn next_data(&mut self) -> Result<Option<Bytes>, WireError> {
        loop {
            match self.remaining_body {
                RemainingBody::Nothing | RemainingBody::Length(0) => {
                    self.remaining_body = RemainingBody::Nothing;
                    return Ok(None);
                }
                RemainingBody::Length(left) => {
                    return self.read_up_to(left, RemainingBody::Length).await.map(Some)
                }
                RemainingBody::Chunk(0) => self.chunk_end().await?,
                RemainingBody::Chunk(left) => {
                    return self.read_up_to(left, RemainingBody::Chunk).await.map(Some)
                }
                RemainingBody::ChunkLine => self.chunk_line().await?,
                RemainingBody::UntilClose => return self.until_close().await,
            }
        }
    }

    /// Returns once the peer has closed the connection, or has sent too many bytes ahead of the next message.
    pub async fn closed(&mut self) {
        while self.buffer.len() < MAX_AHEAD_BYTES {
            match self.fill().await {
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            }
        }
    }

    /// Number of received bytes that belong to no message read so far.
    pub fn ahead(&self) -> usize {
        self.buffer.len()
    }

    fn expect_body(&mut self, framing: Framing) {
        self.remaining_body = match framing {
            Framing::Length(length) => RemainingBody::Length(length),
            Framing::Chunked => RemainingBody::ChunkLine,
            Framing::UntilClose => RemainingBody::UntilClose,
        };
    }

    async fn head_bytes(&mut self) -> Result<Bytes, WireError> {
        loop {
            if let Some(end) = find(&self.buffer, b"\r\n\r\n") {
                let head = self.buffer.split_to(end + 2).freeze();
                self.buffer.advance(2);
                return Ok(head);
            }
            if self.buffer.len() > MAX_HEAD_BYTES {
                return Err(WireError::Garbled("a head longer than 64 KiB"));
            }
            let started = !self.buffer.is_empty();
            if self.fill().await? == 0 {
                return Err(if started {
                    WireError::BrokenOff
                } else {
                    WireError::Ended
                });
            }
        }
    }

    /// Reads available bytes of a part of which `left` bytes remain.
    async fn read_up_to(
        &mut self,
        left: u64,
        rest: fn(u64) -> RemainingBody,
    ) -> Result<Bytes, WireError> {
        if self.buffer.is_empty() && self.fill().await? == 0 {
            return Err(WireError::BrokenOff);
        }
        let taken = self
            .buffer
            .len()
            .min(usize::try_from(left).unwrap_or(usize::MAX));
        self.remaining_body = rest(left - taken as u64);
        Ok(self.buffer.split_to(taken).freeze())
    }

    async fn chunk_line(&mut self) -> Result<(), WireError> {
        let line = self.line().await?;
        let digits = line.split(|byte| *byte == b';').next().unwrap_or_default();
        let digits = std::str::from_utf8(digits).unwrap_or_default();
        let length = u64::from_str_radix(digits, 16)
            .map_err(|_| WireError::Garbled("the length of a chunk"))?;
        if length > 0 {
            self.remaining_body = RemainingBody::Chunk(length);
            return Ok(());
        }
        if !self.line().await?.is_empty() {
            return Err(WireError::Garbled("trailers after the last chunk"));
        }
        self.remaining_body = RemainingBody::Nothing;
        Ok(())
    }

    async fn chunk_end(&mut self) -> Result<(), WireError> {
        if !self.line().await?.is_empty() {
            return Err(WireError::Garbled("the end of a chunk"));
        }
        self.remaining_body = RemainingBody::ChunkLine;
        Ok(())
    }

    async fn line(&mut self) -> Result<Bytes, WireError> {
        loop {
            if let Some(end) = find(&self.buffer, b"\r\n") {
                let line = self.buffer.split_to(end).freeze();
                self.buffer.advance(2);
                return Ok(line);
            }
            if self.buffer.len() > MAX_CHUNK_LINE_BYTES {
                return Err(WireError::Garbled(
                    "a chunk's length line longer than 64 bytes",
                ));
            }
            if self.fill().await? == 0 {
                return Err(WireError::BrokenOff);
            }
        }
    }

    async fn until_close(&mut self) -> Result<Option<Bytes>, WireError> {
        if self.buffer.is_empty() && self.fill().await? == 0 {
            self.remaining_body = RemainingBody::Nothing;
            return Ok(None);
        }
        Ok(Some(self.buffer.split().freeze()))
    }

    async fn fill(&mut self) -> Result<usize, WireError> {
        self.stream
            .read_buf(&mut self.buffer)
            .await
            .map_err(|error| WireError::Failed(error.kind()))
    }
}

fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes
        .windows(pattern.len())
        .position(|window| window == pattern)
}
