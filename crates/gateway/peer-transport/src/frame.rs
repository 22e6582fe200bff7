//! One message between limiters as bytes. The envelope's form is fixed for all versions; the form of a body depends on
//! its kind. An older version meets kinds and bodies of a newer one that it can't read: it skips and counts them, and
//! the connection stays.

use serde::{Deserialize, Serialize};
use std::net::SocketAddrV4;
use thiserror::Error;

/// Version of the protocol between limiters. Greater ones may be received; what they add is skipped.
pub const VERSION: u16 = 1;

/// Bytes of length and checksum in front of each frame on TCP; on UDP there is the checksum alone.
pub const HEADER_BYTES: usize = 8;

/// What a body is. Numbers are never used again for something else.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Datagrams of the membership protocol.
    Gossip,
    /// Messages of the singleton roles.
    SingletonRoles,
    /// Messages of the relay of discovery's endpoint list.
    Watch,
    /// Work between a role's holder and other limiters.
    Work,
}

impl Kind {
    const NUMBERS: [(Kind, u16); 4] = [
        (Kind::Gossip, 1),
        (Kind::SingletonRoles, 2),
        (Kind::Watch, 3),
        (Kind::Work, 4),
    ];

    /// Its number on the wire.
    #[must_use]
    pub fn number(self) -> u16 {
        let row = Kind::NUMBERS.iter().find(|(kind, _)| *kind == self);
        row.map_or(0, |(_, number)| *number)
    }

    /// The kind of a number on the wire, if this version knows it.
    #[must_use]
    pub fn from_number(number: u16) -> Option<Kind> {
        let row = Kind::NUMBERS.iter().find(|(_, known)| *known == number);
        row.map(|(kind, _)| *kind)
    }
}

/// A message with its envelope. The order of the fields is that of the bytes on the wire.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Frame {
    /// Version of the sender.
    pub version: u16,
    /// The fleet that sender and receiver belong to.
    pub fleet: String,
    /// Name of the sender.
    pub sender: String,
    /// Where the sender listens.
    pub sender_address: SocketAddrV4,
    /// Number of the [`Kind`]; one of a newer version may be unknown here.
    pub kind: u16,
    /// The message, in the form of its kind.
    pub body: Vec<u8>,
}

/// Why a frame is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum FrameError {
    /// The bytes are not those that were sent.
    #[error("checksum")]
    Checksum,
    /// The bytes are no envelope.
    #[error("malformed")]
    Malformed,
    /// The frame is longer than the limit.
    #[error("too large")]
    TooLarge,
    /// The frame is from another fleet.
    #[error("another fleet")]
    OtherFleet,
    /// This version does not know the kind, or can't read the body.
    #[error("unknown kind")]
    UnknownKind,
}

/// What stands in front of a frame on a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamHeader {
    /// Bytes of the frame behind the header.
    pub length: usize,
    /// CRC-32 of the frame.
    pub checksum: u32,
}

impl StreamHeader {
    /// Reads a header; a frame may have `max_length` bytes.
    ///
    /// # Errors
    /// [`FrameError::TooLarge`] if it is longer.
    pub fn decode(
        bytes: &[u8; HEADER_BYTES],
        max_length: usize,
    ) -> Result<StreamHeader, FrameError> {
        let [a, b, c, d, e, f, g, h] = *bytes;
        let length = u32::from_le_bytes([a, b, c, d]) as usize;
        if length > max_length {
            return Err(FrameError::TooLarge);
        }
        let checksum = u32::from_le_bytes([e, f, g, h]);
        Ok(StreamHeader { length, checksum })
    }
}

impl Frame {
    /// The frame as a datagram: checksum and frame.
    #[must_use]
    pub fn to_datagram(&self) -> Vec<u8> {
        let body = self.encode();
        let mut bytes = crc32fast::hash(&body).to_le_bytes().to_vec();
        bytes.extend_from_slice(&body);
        bytes
    }

    /// The frame for a stream: length, checksum, frame.
    #[must_use]
    pub fn to_stream(&self) -> Vec<u8> {
        let body = self.encode();
        let mut bytes = (body.len() as u32).to_le_bytes().to_vec();
        bytes.extend_from_slice(&crc32fast::hash(&body).to_le_bytes());
        bytes.extend_from_slice(&body);
        bytes
    }

    fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Reads a datagram of `fleet`.
    ///
    /// # Errors
    /// The bytes are no frame, or one of another fleet.
    pub fn from_datagram(bytes: &[u8], fleet: &str) -> Result<Frame, FrameError> {
        let (checksum, body) = bytes
            .split_first_chunk::<4>()
            .ok_or(FrameError::Malformed)?;
        Frame::decode(u32::from_le_bytes(*checksum), body, fleet)
    }

    /// Reads a frame of `fleet` whose checksum came before it.
    ///
    /// # Errors
    /// The bytes are no frame, or one of another fleet.
    pub fn decode(checksum: u32, body: &[u8], fleet: &str) -> Result<Frame, FrameError> {
        if crc32fast::hash(body) != checksum {
            return Err(FrameError::Checksum);
        }
        let frame: Frame = postcard::from_bytes(body).map_err(|_| FrameError::Malformed)?;
        if frame.fleet != fleet {
            return Err(FrameError::OtherFleet);
        }
        Ok(frame)
    }

    /// What the body is.
    ///
    /// # Errors
    /// [`FrameError::UnknownKind`] if this version does not know it.
    pub fn kind(&self) -> Result<Kind, FrameError> {
        Kind::from_number(self.kind).ok_or(FrameError::UnknownKind)
    }
}
