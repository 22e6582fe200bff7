//! The form of a frame: length of the rest, checksum of the rest, number of the call (zero for messages without
//! an answer), payload. All numbers are little-endian.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use tokio::io::{AsyncRead, AsyncReadExt};

/// Bytes that one frame may have; a larger length is taken for a stream that is not ours.
pub const MOST_FRAME: usize = 8 * 1024 * 1024;

/// Length and checksum.
const HEAD: usize = 8;
/// The call's number in front of the payload.
const NUMBER: usize = 8;
/// What one read of the socket asks for.
const READ_SIZE: usize = 4096;
/// A buffer that a large frame has grown beyond this is given back once it is empty.
const KEEP_CAPACITY: usize = 64 * 1024;

/// Why bytes are no frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameError {
    /// The length is beyond [`MOST_FRAME`] or below the least.
    Length,
    /// The checksum does not fit the bytes.
    Checksum,
    /// The connection ended, or failed.
    Closed,
}

/// One frame as it was read.
pub(crate) struct Frame {
    pub number: u64,
    pub payload: Bytes,
}

/// Appends a frame to `out`.
pub(crate) fn encode(number: u64, payload: &[u8], out: &mut BytesMut) {
    let mut checksum = crc32fast::Hasher::new();
    checksum.update(&number.to_le_bytes());
    checksum.update(payload);
    out.reserve(HEAD + NUMBER + payload.len());
    out.put_u32_le((NUMBER + payload.len()) as u32);
    out.put_u32_le(checksum.finalize());
    out.put_u64_le(number);
    out.put_slice(payload);
}

/// Takes the next whole frame out of `buffer`, if there is one.
pub(crate) fn decode(buffer: &mut BytesMut) -> Result<Option<Frame>, FrameError> {
    if buffer.len() < HEAD {
        return Ok(None);
    }
    let length = u32::from_le_bytes([buffer[0], buffer[1], buffer[2], buffer[3]]) as usize;
    if !(NUMBER..=MOST_FRAME).contains(&length) {
        return Err(FrameError::Length);
    }
    if buffer.len() < HEAD + length {
        return Ok(None);
    }
    let mut rest = buffer.split_to(HEAD + length);
    rest.advance(4);
    let checksum = rest.get_u32_le();
    if crc32fast::hash(&rest) != checksum {
        return Err(FrameError::Checksum);
    }
    let number = rest.get_u64_le();
    Ok(Some(Frame {
        number,
        payload: rest.freeze(),
    }))
}

/// Reads frames off one connection.
pub(crate) struct FrameReader<R> {
    input: R,
    buffer: BytesMut,
}

impl<R: AsyncRead + Unpin> FrameReader<R> {
    pub fn new(input: R) -> Self {
        FrameReader {
            input,
            buffer: BytesMut::new(),
        }
    }

    /// The next frame; waits for it.
    pub async fn next(&mut self) -> Result<Frame, FrameError> {
        loop {
            if let Some(frame) = decode(&mut self.buffer)? {
                return Ok(frame);
            }
            if self.buffer.is_empty() && self.buffer.capacity() > KEEP_CAPACITY {
                self.buffer = BytesMut::new();
            }
            self.buffer.reserve(READ_SIZE);
            match self.input.read_buf(&mut self.buffer).await {
                Ok(0) | Err(_) => return Err(FrameError::Closed),
                Ok(_) => {}
            }
        }
    }
}
