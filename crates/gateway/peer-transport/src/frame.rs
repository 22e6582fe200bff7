//! One message between limiters as bytes. The head's form is fixed for all versions; what a body holds is
//! told by its kind. An older version meets kinds and bodies of a newer one that it can't read: it skips and
//! counts them, the link stays.

use serde::{Deserialize, Serialize};
use std::net::SocketAddrV4;

/// Of the talk between limiters. Greater ones may come in; what they add is skipped.
pub const VERSION: u16 = 1;

/// What a body is. Numbers are never used again for something else.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    Gossip,
    Duties,
    Watch,
    Work,
}

impl Kind {
    const ALL: [(Kind, u16); 4] = [
        (Kind::Gossip, 1),
        (Kind::Duties, 2),
        (Kind::Watch, 3),
        (Kind::Work, 4),
    ];

    pub fn number(self) -> u16 {
        Kind::ALL.iter().find(|k| k.0 == self).map_or(0, |k| k.1)
    }

    pub fn of(number: u16) -> Option<Self> {
        Kind::ALL.iter().find(|k| k.1 == number).map(|k| k.0)
    }
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Frame {
    pub version: u16,
    pub fleet: String,
    /// Who sent it, and where it listens.
    pub from: String,
    pub at: SocketAddrV4,
    pub kind: u16,
    pub body: Vec<u8>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refused {
    /// Not these bytes were sent.
    Checksum,
    /// Not the form of a head.
    Malformed,
    TooLarge,
    /// From another fleet.
    Fleet,
    /// Of a kind that this version does not know.
    Unknown,
}

/// Length and checksum before each frame on TCP; on UDP the checksum alone.
pub const HEAD: usize = 8;

impl Frame {
    /// A datagram: checksum and frame.
    pub fn datagram(&self) -> Vec<u8> {
        let body = postcard::to_stdvec(self).unwrap_or_default();
        let mut bytes = crc32fast::hash(&body).to_le_bytes().to_vec();
        bytes.extend_from_slice(&body);
        bytes
    }

    /// For a stream: length, checksum, frame.
    pub fn stream(&self) -> Vec<u8> {
        let body = postcard::to_stdvec(self).unwrap_or_default();
        let mut bytes = (body.len() as u32).to_le_bytes().to_vec();
        bytes.extend_from_slice(&crc32fast::hash(&body).to_le_bytes());
        bytes.extend_from_slice(&body);
        bytes
    }

    pub fn from_datagram(bytes: &[u8], fleet: &str) -> Result<Self, Refused> {
        let (sum, body) = bytes.split_first_chunk::<4>().ok_or(Refused::Malformed)?;
        Frame::checked(u32::from_le_bytes(*sum), body, fleet)
    }

    /// The length and checksum that a stream's next frame begins with.
    pub fn head(bytes: &[u8; HEAD], most: usize) -> Result<(usize, u32), Refused> {
        let [a, b, c, d, e, f, g, h] = *bytes;
        let length = u32::from_le_bytes([a, b, c, d]) as usize;
        match length <= most {
            true => Ok((length, u32::from_le_bytes([e, f, g, h]))),
            false => Err(Refused::TooLarge),
        }
    }

    pub fn checked(sum: u32, body: &[u8], fleet: &str) -> Result<Self, Refused> {
        if crc32fast::hash(body) != sum {
            return Err(Refused::Checksum);
        }
        let frame: Frame = postcard::from_bytes(body).map_err(|_| Refused::Malformed)?;
        match frame.fleet == fleet {
            true => Ok(frame),
            false => Err(Refused::Fleet),
        }
    }

    pub fn kind(&self) -> Result<Kind, Refused> {
        Kind::of(self.kind).ok_or(Refused::Unknown)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn frame() -> Frame {
        let at = SocketAddrV4::new([127, 0, 0, 1].into(), 7);
        let (fleet, from) = ("f".to_owned(), "n1".to_owned());
        Frame {
            version: 9,
            fleet,
            from,
            at,
            kind: Kind::Duties.number(),
            body: vec![1, 2, 3],
        }
    }

    #[test]
    fn a_frame_comes_back_and_any_turned_bit_is_found() {
        let bytes = frame().datagram();
        assert_eq!(
            Frame::from_datagram(&bytes, "f"),
            Ok(frame()),
            "a newer version's head is read"
        );
        assert_eq!(Frame::from_datagram(&bytes, "g"), Err(Refused::Fleet));
        for at in 0..bytes.len() * 8 {
            let mut turned = bytes.clone();
            turned[at / 8] ^= 1 << (at % 8);
            assert!(Frame::from_datagram(&turned, "f").is_err(), "bit {at}");
        }
        for short in 0..bytes.len() {
            assert!(Frame::from_datagram(&bytes[..short], "f").is_err());
        }
    }

    #[test]
    fn a_newer_kind_is_told_from_a_spoilt_frame() {
        let newer = Frame {
            kind: 999,
            ..frame()
        };
        let back = Frame::from_datagram(&newer.datagram(), "f").unwrap();
        assert_eq!(back.kind(), Err(Refused::Unknown));
        let stream = frame().stream();
        let head: [u8; HEAD] = stream[..HEAD].try_into().unwrap();
        assert_eq!(Frame::head(&head, 4), Err(Refused::TooLarge));
        let (length, sum) = Frame::head(&head, 1000).unwrap();
        assert_eq!(length, stream.len() - HEAD);
        assert_eq!(Frame::checked(sum, &stream[HEAD..], "f"), Ok(frame()));
    }
}
