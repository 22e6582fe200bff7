//! Writer of HTTP messages.

use super::headers::{Headers, RequestHead};
use super::name;
use bytes::{Bytes, BytesMut};

/// The last chunk, which ends a chunked body.
pub const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// The bytes of a request; `Content-Length` is added where there is a body or the method is POST.
#[must_use]
pub fn request_bytes(head: &RequestHead, body: &[u8]) -> Bytes {
    let mut bytes = BytesMut::new();
    bytes.extend_from_slice(format!("{} {} HTTP/1.1\r\n", head.method, head.target).as_bytes());
    bytes.extend_from_slice(header_lines(&head.headers).as_bytes());
    if !body.is_empty() || head.method == "POST" {
        bytes.extend_from_slice(format!("{}: {}\r\n", name::CONTENT_LENGTH, body.len()).as_bytes());
    }
    bytes.extend_from_slice(b"\r\n");
    bytes.extend_from_slice(body);
    bytes.freeze()
}

/// The bytes of a response's head: status line, headers and the empty line.
#[must_use]
pub fn response_head(status: u16, headers: &Headers) -> Bytes {
    let mut bytes = BytesMut::new();
    bytes.extend_from_slice(format!("HTTP/1.1 {status} {}\r\n", reason_phrase(status)).as_bytes());
    bytes.extend_from_slice(header_lines(headers).as_bytes());
    bytes.extend_from_slice(b"\r\n");
    bytes.freeze()
}

/// The bytes of one chunk of a chunked body.
#[must_use]
pub fn chunk(data: &[u8]) -> Bytes {
    let mut bytes = BytesMut::new();
    bytes.extend_from_slice(format!("{:x}\r\n", data.len()).as_bytes());
    bytes.extend_from_slice(data);
    bytes.extend_from_slice(b"\r\n");
    bytes.freeze()
}

/// The lines of header fields, each with its line break.
#[must_use]
pub fn header_lines(headers: &Headers) -> String {
    let lines = headers
        .0
        .iter()
        .map(|header| format!("{}: {}\r\n", header.name, header.value));
    lines.collect()
}

fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        421 => "Misdirected Request",
        429 => "Too Many Requests",
        500 => "Internal Server Error",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Answer",
    }
}
