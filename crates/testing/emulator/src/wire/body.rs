//! Framing of message bodies (RFC 9112, section 6).

use super::headers::{Headers, RequestHead, ResponseHead};
use super::name;

/// How the end of a body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// The body ends after this many bytes.
    Length(u64),
    /// The body ends with the chunk of length 0.
    Chunked,
    /// The body ends with the connection, so that its completeness cannot be checked.
    UntilClose,
}

impl Framing {
    /// The framing of a request's body; `None` where the head states an invalid or contradictory length.
    #[must_use]
    pub fn of_request(head: &RequestHead) -> Option<Framing> {
        Some(
            stated_framing(&head.headers)
                .ok()?
                .unwrap_or(Framing::Length(0)),
        )
    }

    /// The framing of a response's body; `None` where the head states an invalid or contradictory length.
    #[must_use]
    pub fn of_response(head: &ResponseHead) -> Option<Framing> {
        if head.status < 200 || head.status == 204 || head.status == 304 {
            return Some(Framing::Length(0));
        }
        Some(
            stated_framing(&head.headers)
                .ok()?
                .unwrap_or(Framing::UntilClose),
        )
    }
}

/// Error where the headers state an invalid length or contradict each other.
struct InvalidLength;

/// The framing that the headers state, or `None` where they state no length (RFC 9112, section 6.3).
fn stated_framing(headers: &Headers) -> Result<Option<Framing>, InvalidLength> {
    let encoding = headers.get(name::TRANSFER_ENCODING);
    let mut lengths = headers.all(name::CONTENT_LENGTH);
    let length = lengths.next();
    if lengths.any(|other| Some(other) != length) {
        return Err(InvalidLength);
    }
    match (encoding, length) {
        (Some(encoding), None) if encoding.eq_ignore_ascii_case("chunked") => {
            Ok(Some(Framing::Chunked))
        }
        (Some(_), _) => Err(InvalidLength),
        (None, Some(length)) => match length.parse() {
            Ok(length) => Ok(Some(Framing::Length(length))),
            Err(_) => Err(InvalidLength),
        },
        (None, None) => Ok(None),
    }
}
