//! How a message says where its body ends.

use super::headers::{Headers, RequestHead, ResponseHead};
use super::name;

/// Where a body ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// After that many bytes.
    Length(u64),
    /// With the chunk of length 0.
    Chunked,
    /// With the connection: nobody can say whether it is whole.
    UntilClose,
}

impl Framing {
    /// `None` where the head contradicts itself.
    #[must_use]
    pub fn of_request(head: &RequestHead) -> Option<Framing> {
        stated(&head.headers)?.or(Some(Framing::Length(0)))
    }

    /// `None` where the head contradicts itself.
    #[must_use]
    pub fn of_response(head: &ResponseHead) -> Option<Framing> {
        if head.status < 200 || head.status == 204 || head.status == 304 {
            return Some(Framing::Length(0));
        }
        stated(&head.headers)?.or(Some(Framing::UntilClose))
    }
}

/// What the headers state; the outer `None` is a contradiction.
#[allow(clippy::option_option)]
fn stated(headers: &Headers) -> Option<Option<Framing>> {
    let encoding = headers.get(name::TRANSFER_ENCODING);
    let mut lengths = headers.all(name::CONTENT_LENGTH);
    let length = lengths.next();
    if lengths.any(|other| Some(other) != length) {
        return None;
    }
    match (encoding, length) {
        (Some(_), Some(_)) => None,
        (Some(encoding), None) if encoding.eq_ignore_ascii_case("chunked") => {
            Some(Some(Framing::Chunked))
        }
        (Some(_), None) => None,
        (None, Some(length)) => Some(Some(Framing::Length(length.parse().ok()?))),
        (None, None) => Some(None),
    }
}
