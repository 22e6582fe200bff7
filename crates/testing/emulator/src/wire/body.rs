//! Framing of message bodies (RFC 9112, section 6).

use super::headers::{Headers, RequestHead, ResponseHead};
use super::name;

/// Where a body ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// After that many bytes.
    Length(u64),
    /// With the chunk of length 0.
    Chunked,
    /// With the connection: whether the body is complete cannot be known.
    UntilClose,
}

impl Framing {
    /// `None` where the head contradicts itself.
    #[must_use]
    pub fn of_request(head: &RequestHead) -> Option<Framing> {
        Some(stated(&head.headers).ok()?.unwrap_or(Framing::Length(0)))
    }

    /// `None` where the head contradicts itself.
    #[must_use]
    pub fn of_response(head: &ResponseHead) -> Option<Framing> {
        if head.status < 200 || head.status == 204 || head.status == 304 {
            return Some(Framing::Length(0));
        }
        Some(stated(&head.headers).ok()?.unwrap_or(Framing::UntilClose))
    }
}

/// The head states two lengths, or a length that is none.
struct ContradictoryLength;

/// What the headers state, if they state a length at all (RFC 9112, section 6.3).
fn stated(headers: &Headers) -> Result<Option<Framing>, ContradictoryLength> {
    let encoding = headers.get(name::TRANSFER_ENCODING);
    let mut lengths = headers.all(name::CONTENT_LENGTH);
    let length = lengths.next();
    if lengths.any(|other| Some(other) != length) {
        return Err(ContradictoryLength);
    }
    match (encoding, length) {
        (Some(encoding), None) if encoding.eq_ignore_ascii_case("chunked") => {
            Ok(Some(Framing::Chunked))
        }
        (Some(_), _) => Err(ContradictoryLength),
        (None, Some(length)) => match length.parse() {
            Ok(length) => Ok(Some(Framing::Length(length))),
            Err(_) => Err(ContradictoryLength),
        },
        (None, None) => Ok(None),
    }
}
