//! Encoding of messages between limiters. The envelope is the same in all protocol versions, and the encoding of the
//! body depends on its kind. A limiter that receives a kind or body of a newer version skips and counts it, and keeps
//! the connection open.

use serde::{Deserialize, Serialize};
use std::net::SocketAddrV4;
use thiserror::Error;

/// Version of the protocol between limiters. Frames of newer versions are accepted; kinds that they add are skipped.
pub const VERSION: u16 = 1;

/// Size of the length and checksum in front of each frame on TCP. A UDP datagram has only the checksum.
pub const HEADER_BYTES: usize = 8;

/// Kind of a message, which determines the encoding of the body. Numbers on the wire are never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Datagrams of the membership protocol.
    Gossip,
    /// Messages of the singleton roles.
    SingletonRoles,
    /// Messages that relay the endpoint list of service discovery.
    Watch,
    /// Requests and responses between the holder of a role and other limiters.
    Work,
}

impl Kind {
    const NUMBERS: [(Kind, u16); 4] = [
        (Kind::Gossip, 1),
        (Kind::SingletonRoles, 2),
        (Kind::Watch, 3),
        (Kind::Work, 4),
    ];

    /// The number of this kind on the wire.
    #[must_use]
    pub fn number(self) -> u16 {
        let row = Kind::NUMBERS.iter().find(|(kind, _)| *kind == self);
        row.map_or(0, |(_, number)| *number)
    }

    /// The kind with this number on the wire, if this version knows it.
    #[must_use]
    pub fn from_number(number: u16) -> Option<Kind> {
        let row = Kind::NUMBERS.iter().find(|(_, known)| *known == number);
        row.map(|(kind, _)| *kind)
    }
}

/// A message with its envelope. The order of the fields determines the bytes on the wire.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Frame {
    /// Protocol version of the sender.
    pub version: u16,
    /// The fleet that sender and receiver belong to.
    pub fleet: String,
    /// Name of the sender.
    pub sender: String,
    /// Address on which the sender listens.
    pub sender_address: SocketAddrV4,
    /// Number of the [`Kind`]. A newer version may send an unknown number.
    pub kind: u16,
    /// The message, encoded as its kind requires.
    pub body: Vec<u8>,
}

/// Why a frame is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum FrameError {
    /// The checksum does not match the bytes.
    #[error("the checksum does not match")]
    Checksum,
    /// The bytes can't be decoded as an envelope.
    #[error("the envelope can't be decoded")]
    Malformed,
    /// The frame is longer than the limit.
    #[error("the frame is too large")]
    TooLarge,
    /// The frame is from another fleet.
    #[error("the sender belongs to another fleet")]
    OtherFleet,
    /// This version does not know the kind, or can't decode the body.
    #[error("the kind is unknown or the body can't be decoded")]
    UnknownKind,
}

/// The header in front of each frame on a TCP stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamHeader {
    /// Size of the frame without the header.
    pub length: usize,
    /// CRC-32 of the frame.
    pub checksum: u32,
}

impl StreamHeader {
    /// Decodes a header.
    ///
    /// # Errors
    /// [`FrameError::TooLarge`] if the frame has more than `max_length` bytes.
    pub fn decode(
        bytes: &[u8; HEADER_BYTES],
        max_length: usize,
    ) -> Result<StreamHeader, FrameError> {
        let [length0, length1, length2, length3, checksum0, checksum1, checksum2, checksum3] =
            *bytes;
        let length = u32::from_le_bytes([length0, length1, length2, length3]) as usize;
        if length > max_length {
            return Err(FrameError::TooLarge);
        }
        let checksum = u32::from_le_bytes([checksum0, checksum1, checksum2, checksum3]);
        Ok(StreamHeader { length, checksum })
    }
}

impl Frame {
    /// Encodes the frame as a datagram: checksum, frame.
    #[must_use]
    pub fn to_datagram(&self) -> Vec<u8> {
        let body = self.encode();
        let mut bytes = crc32fast::hash(&body).to_le_bytes().to_vec();
        bytes.extend_from_slice(&body);
        bytes
    }

    /// Encodes the frame for a TCP stream: length, checksum, frame.
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

    /// Decodes a datagram and checks that its sender belongs to `fleet`.
    ///
    /// # Errors
    /// The bytes are not a valid frame, or the sender belongs to another fleet.
    pub fn from_datagram(bytes: &[u8], fleet: &str) -> Result<Frame, FrameError> {
        let (checksum, body) = bytes
            .split_first_chunk::<4>()
            .ok_or(FrameError::Malformed)?;
        Frame::decode(u32::from_le_bytes(*checksum), body, fleet)
    }

    /// Decodes a frame, verifies its checksum and checks that its sender belongs to `fleet`.
    ///
    /// # Errors
    /// The bytes are not a valid frame, or the sender belongs to another fleet.
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

    /// The kind of the message.
    ///
    /// # Errors
    /// [`FrameError::UnknownKind`] if this version does not know the kind.
    pub fn kind(&self) -> Result<Kind, FrameError> {
        Kind::from_number(self.kind).ok_or(FrameError::UnknownKind)
    }
}
