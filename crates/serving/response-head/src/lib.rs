//! Validation of the heads of HTTP/1.1 responses. Pure logic, without I/O.
//!
//! The HTTP library rejects a head that it can't parse: a broken status line, a line that is no header field, an
//! invalid `Content-Length`. It accepts others although they do not say where the body ends, and then reads the body by
//! a guess: with an unknown `Transfer-Encoding` it takes the coded bytes up to the end of the connection for the body,
//! and a `Transfer-Encoding` beside a `Content-Length` hides the latter. It also accepts statuses that HTTP does not
//! have. [`validate`] rejects these heads. Everything that reads responses calls it before it uses the response.

use http::header::{HeaderValue, CONTENT_LENGTH, TRANSFER_ENCODING};
use http::response::Parts;
use http::{HeaderMap, StatusCode, Version};
use thiserror::Error;

/// The only transfer coding that a server may use, as requests ask for no other one (RFC 9112 section 7.4).
const CHUNKED: &[u8] = b"chunked";

/// The first number that is no status of HTTP (RFC 9110 section 15). The HTTP library rejects those below 100.
const STATUS_END: u16 = 600;

/// What delimits the body of a response, by its headers (RFC 9112 section 6.3).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyLength {
    /// `Content-Length`, in bytes.
    Bytes(u64),
    /// The last chunk of the chunked transfer coding.
    Chunked,
    /// The end of the connection.
    UntilClose,
}

/// Why a head is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ResponseHeadError {
    /// The status is none of HTTP.
    #[error("the status is {0}")]
    InvalidStatus(StatusCode),
    /// A `Content-Length` is not a decimal number of bytes, or there are several different ones.
    #[error("Content-Length is invalid")]
    InvalidContentLength,
    /// `Transfer-Encoding` is not exactly `chunked`, once, or the version of the response does not have it.
    #[error("Transfer-Encoding is not chunked, or not known to the response's version")]
    UnknownTransferEncoding,
    /// `Content-Length` and `Transfer-Encoding` are both given.
    #[error("both Content-Length and Transfer-Encoding are given")]
    TwoLengths,
}

/// Validates the head of a response and returns what delimits its body. Responses that never have a body (RFC 9110
/// section 6.4.1) are held to the same rules.
///
/// # Errors
///
/// The status is none of HTTP, or the head does not say where the body ends.
pub fn validate(head: &Parts) -> Result<BodyLength, ResponseHeadError> {
    if head.status.as_u16() >= STATUS_END {
        return Err(ResponseHeadError::InvalidStatus(head.status));
    }
    body_length(head)
}

fn body_length(head: &Parts) -> Result<BodyLength, ResponseHeadError> {
    let headers = &head.headers;
    if !headers.contains_key(TRANSFER_ENCODING) {
        return content_length(headers);
    }
    if headers.contains_key(CONTENT_LENGTH) {
        return Err(ResponseHeadError::TwoLengths);
    }
    let mut codings = headers.get_all(TRANSFER_ENCODING).iter();
    let is_chunked = codings.next().is_some_and(is_chunked) && codings.next().is_none();
    if is_chunked && head.version == Version::HTTP_11 {
        Ok(BodyLength::Chunked)
    } else {
        Err(ResponseHeadError::UnknownTransferEncoding)
    }
}

fn is_chunked(coding: &HeaderValue) -> bool {
    coding.as_bytes().trim_ascii().eq_ignore_ascii_case(CHUNKED)
}

/// Returns the length by `Content-Length`, which may be repeated if all its values are the same number.
fn content_length(headers: &HeaderMap) -> Result<BodyLength, ResponseHeadError> {
    let lines = headers.get_all(CONTENT_LENGTH).iter();
    let values = lines.flat_map(|line| line.as_bytes().split(|byte| *byte == b','));
    let mut length = None;
    for value in values {
        let bytes = decimal(value).ok_or(ResponseHeadError::InvalidContentLength)?;
        if length.is_some_and(|length| length != bytes) {
            return Err(ResponseHeadError::InvalidContentLength);
        }
        length = Some(bytes);
    }
    Ok(length.map_or(BodyLength::UntilClose, BodyLength::Bytes))
}

fn decimal(value: &[u8]) -> Option<u64> {
    let digits = value.trim_ascii();
    // `u64::from_str` also accepts a sign.
    let is_decimal = digits.iter().all(u8::is_ascii_digit);
    let text = std::str::from_utf8(digits).ok()?;
    text.parse().ok().filter(|_| is_decimal)
}
