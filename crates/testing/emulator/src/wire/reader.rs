//! Reads messages from a stream of bytes.

use super::body::Framing;
use super::headers::{RequestHead, ResponseHead};
use bytes::{Buf, Bytes, BytesMut};
use std::fmt;
use tokio::io::{AsyncRead, AsyncReadExt};

/// A longer head is an error, which bounds memory.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// A longer body is an error, for the same reason.
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;
/// Most bytes read ahead of the next message.
const MAX_AHEAD_BYTES: usize = 64 * 1024;
/// Longest line of a chunk's length.
const MAX_CHUNK_LINE_BYTES: usize = 64;

/// Why no message could be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WireError {
    /// The connection ended between two messages.
    Ended,
    /// The connection ended inside a message.
    BrokenOff,
    /// The bytes are no message.
    Garbled(&'static str),
    /// The connection was reset, or the like.
    Failed(std::io::ErrorKind),
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            WireError::Ended => write!(f, "the connection ended"),
            WireError::BrokenOff => write!(f, "the connection ended inside a message"),
            WireError::Garbled(reason) => write!(f, "no message: {reason}"),
            WireError::Failed(kind) => write!(f, "the connection failed: {kind}"),
        }
    }
}

impl std::error::Error for WireError {}

/// What is still to come of the body being read.
#[derive(Clone, Copy, Debug)]
enum Rest {
    Length(u64),
    /// The line of a chunk's length is next.
    ChunkLine,
    /// The rest of a chunk, then its line end.
    Chunk(u64),
    UntilClose,
    Nothing,
}

/// Reads one message after the other.
pub struct MessageReader<R> {
    stream: R,
    buffer: BytesMut,
    rest: Rest,
}

impl<R: AsyncRead + Unpin> MessageReader<R> {
    /// A reader at the beginning of `stream`.
    pub fn new(stream: R) -> Self {
        MessageReader {
            stream,
            buffer: BytesMut::new(),
            rest: Rest::Nothing,
        }
    }

    /// Reads the next request's head; the body is then read by [`Self::next_data`] or [`Self::body`].
    ///
    /// # Errors
    ///
    /// [`WireError`] where the connection ends or the bytes are no request.
    pub async fn request_head(&mut self) -> Result<RequestHead, WireError> {
        let bytes = self.head_bytes().await?;
        let head = RequestHead::parse(&bytes).ok_or(WireError::Garbled("a request's head"))?;
        let framing = Framing::of_request(&head).ok_or(WireError::Garbled("a request's length"))?;
        self.expect_body(framing);
        Ok(head)
    }

    /// Reads the next response's head; the body is then read in the same way.
    ///
    /// # Errors
    ///
    /// [`WireError`] where the connection ends or the bytes are no response.
    pub async fn response_head(&mut self) -> Result<ResponseHead, WireError> {
        let bytes = self.head_bytes().await?;
        let head = ResponseHead::parse(&bytes).ok_or(WireError::Garbled("an answer's head"))?;
        let framing =
            Framing::of_response(&head).ok_or(WireError::Garbled("an answer's length"))?;
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
                return Err(WireError::Garbled("a body beyond all bounds"));
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
            match self.rest {
                Rest::Nothing | Rest::Length(0) => {
                    self.rest = Rest::Nothing;
                    return Ok(None);
                }
                Rest::Length(left) => return self.some_of(left, Rest::Length).await.map(Some),
                Rest::Chunk(0) => self.chunk_end().await?,
                Rest::Chunk(left) => return self.some_of(left, Rest::Chunk).await.map(Some),
                Rest::ChunkLine => self.chunk_line().await?,
                Rest::UntilClose => return self.until_close().await,
            }
        }
    }

    /// Returns once the peer has closed the connection, or has sent too many bytes ahead.
    pub async fn closed(&mut self) {
        while self.buffer.len() < MAX_AHEAD_BYTES {
            match self.fill().await {
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            }
        }
    }

    /// Received bytes that belong to no message read so far.
    pub fn ahead(&self) -> usize {
        self.buffer.len()
    }

    fn expect_body(&mut self, framing: Framing) {
        self.rest = match framing {
            Framing::Length(length) => Rest::Length(length),
            Framing::Chunked => Rest::ChunkLine,
            Framing::UntilClose => Rest::UntilClose,
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
                return Err(WireError::Garbled("a head without end"));
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

    async fn some_of(&mut self, left: u64, rest: fn(u64) -> Rest) -> Result<Bytes, WireError> {
        if self.buffer.is_empty() && self.fill().await? == 0 {
            return Err(WireError::BrokenOff);
        }
        let taken = self
            .buffer
            .len()
            .min(usize::try_from(left).unwrap_or(usize::MAX));
        self.rest = rest(left - taken as u64);
        Ok(self.buffer.split_to(taken).freeze())
    }

    async fn chunk_line(&mut self) -> Result<(), WireError> {
        let line = self.line().await?;
        let digits = line.split(|byte| *byte == b';').next().unwrap_or_default();
        let digits = std::str::from_utf8(digits).unwrap_or_default();
        let length =
            u64::from_str_radix(digits, 16).map_err(|_| WireError::Garbled("a chunk's length"))?;
        if length > 0 {
            self.rest = Rest::Chunk(length);
            return Ok(());
        }
        if !self.line().await?.is_empty() {
            return Err(WireError::Garbled("trailers after the last chunk"));
        }
        self.rest = Rest::Nothing;
        Ok(())
    }

    async fn chunk_end(&mut self) -> Result<(), WireError> {
        if !self.line().await?.is_empty() {
            return Err(WireError::Garbled("a chunk's end"));
        }
        self.rest = Rest::ChunkLine;
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
                return Err(WireError::Garbled("a chunk's line without end"));
            }
            if self.fill().await? == 0 {
                return Err(WireError::BrokenOff);
            }
        }
    }

    async fn until_close(&mut self) -> Result<Option<Bytes>, WireError> {
        if self.buffer.is_empty() && self.fill().await? == 0 {
            self.rest = Rest::Nothing;
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

fn find(bytes: &[u8], wanted: &[u8]) -> Option<usize> {
    bytes
        .windows(wanted.len())
        .position(|window| window == wanted)
}
