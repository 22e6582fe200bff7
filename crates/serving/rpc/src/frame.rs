//! Frame format: length of call id and payload, their checksum, call id (zero for one-way messages), payload. Length,
//! checksum and call id are little-endian.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use thiserror::Error;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::sync::mpsc;

/// Maximum size of a frame without length and checksum. A larger length indicates a stream of another protocol.
pub const MAX_FRAME_BYTES: usize = 8 * 1024 * 1024;

/// Maximum size of a frame's payload. The sender of a payload has to keep this limit, as the reader closes the connection
/// on a larger frame.
pub const MAX_PAYLOAD_BYTES: usize = MAX_FRAME_BYTES - CALL_ID_BYTES;

/// Size of length and checksum.
const HEADER_BYTES: usize = 8;
/// Size of the call id.
const CALL_ID_BYTES: usize = 8;
/// Minimum free space in the buffer for one read of the socket.
const READ_BYTES: usize = 4096;
/// A payload of at most this many bytes is copied into the buffer of a write.
const MAX_COPIED_BYTES: usize = 64 * 1024;
/// An empty buffer with more capacity than this, left over from a large frame, is freed.
const MAX_IDLE_CAPACITY: usize = 64 * 1024;

/// Why no frame could be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum FrameError {
    /// The length exceeds [`MAX_FRAME_BYTES`] or is too small for a call id.
    #[error("the length of a frame is out of range")]
    Length,
    /// The checksum does not match the bytes.
    #[error("the checksum of a frame does not match")]
    Checksum,
    /// The connection was closed or failed.
    #[error("the connection is closed")]
    Closed,
}

/// Identifies the call that a frame belongs to. Unique for a client over all its connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct CallId(pub u64);

impl CallId {
    /// The id of one-way messages, which get no response.
    pub const ONE_WAY: CallId = CallId(0);
}

/// One request, response or one-way message.
pub struct Frame {
    pub call: CallId,
    pub payload: Bytes,
}

/// Appends a frame without its payload to `buffer`.
fn encode_header(frame: &Frame, buffer: &mut BytesMut) {
    let call = frame.call.0.to_le_bytes();
    let mut checksum = crc32fast::Hasher::new();
    checksum.update(&call);
    checksum.update(&frame.payload);
    buffer.put_u32_le((CALL_ID_BYTES + frame.payload.len()) as u32);
    buffer.put_u32_le(checksum.finalize());
    buffer.put_slice(&call);
}

/// Removes the next complete frame from `buffer`, if there is one.
fn decode(buffer: &mut BytesMut) -> Result<Option<Frame>, FrameError> {
    if buffer.len() < HEADER_BYTES {
        return Ok(None);
    }
    let length = u32::from_le_bytes([buffer[0], buffer[1], buffer[2], buffer[3]]) as usize;
    if !(CALL_ID_BYTES..=MAX_FRAME_BYTES).contains(&length) {
        return Err(FrameError::Length);
    }
    if buffer.len() < HEADER_BYTES + length {
        return Ok(None);
    }
    let mut rest = buffer.split_to(HEADER_BYTES + length);
    rest.advance(4);
    let checksum = rest.get_u32_le();
    if crc32fast::hash(&rest) != checksum {
        return Err(FrameError::Checksum);
    }
    let call = CallId(rest.get_u64_le());
    let payload = rest.freeze();
    Ok(Some(Frame { call, payload }))
}

/// Reads frames from one connection.
pub struct FrameReader<R> {
    input: R,
    buffer: BytesMut,
}

impl<R: AsyncRead + Unpin> FrameReader<R> {
    pub fn new(input: R) -> FrameReader<R> {
        FrameReader {
            input,
            buffer: BytesMut::new(),
        }
    }

    /// Waits for the next frame and returns it.
    pub async fn next(&mut self) -> Result<Frame, FrameError> {
        loop {
            if let Some(frame) = decode(&mut self.buffer)? {
                return Ok(frame);
            }
            if self.buffer.is_empty() && self.buffer.capacity() > MAX_IDLE_CAPACITY {
                self.buffer = BytesMut::new();
            }
            self.buffer.reserve(READ_BYTES);
            match self.input.read_buf(&mut self.buffer).await {
                Ok(0) | Err(_) => return Err(FrameError::Closed),
                Ok(_) => {}
            }
        }
    }
}

/// Writes the frames of a queue until the queue or the connection is closed. All small frames queued at one time share a
/// write. A large payload is written from where it is, as a copy for each connection would multiply its memory.
pub async fn write_frames(mut output: impl AsyncWrite + Unpin, mut queue: mpsc::Receiver<Frame>) {
    while let Some(frame) = queue.recv().await {
        let mut buffer = BytesMut::new();
        let mut next = Some(frame);
        while let Some(frame) = next {
            encode_header(&frame, &mut buffer);
            if frame.payload.len() <= MAX_COPIED_BYTES {
                buffer.put_slice(&frame.payload);
            } else if write_both(&mut output, &mut buffer, &frame.payload)
                .await
                .is_err()
            {
                return;
            }
            next = queue.try_recv().ok();
        }
        if output.write_all(&buffer).await.is_err() {
            return;
        }
    }
}

/// Writes and empties `buffer`, then writes `payload`.
async fn write_both(
    output: &mut (impl AsyncWrite + Unpin),
    buffer: &mut BytesMut,
    payload: &[u8],
) -> std::io::Result<()> {
    output.write_all(buffer).await?;
    buffer.clear();
    output.write_all(payload).await
}
