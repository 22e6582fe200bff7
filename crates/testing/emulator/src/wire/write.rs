//! Messages as bytes.

use super::headers::{Headers, RequestHead};
use super::name;
use bytes::{Bytes, BytesMut};

/// The end of a body in chunks.
pub const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// A request with its body; the length is added where there is a body.
#[must_use]
pub fn request_bytes(head: &RequestHead, body: &[u8]) -> Bytes {
    let mut bytes = BytesMut::new();
    bytes.extend_from_slice(format!("{} {} HTTP/1.1\r\n", head.method, head.target).as_bytes());
    lines(&mut bytes, &head.headers);
    if !body.is_empty() || head.method == "POST" {
        bytes.extend_from_slice(format!("{}: {}\r\n", name::CONTENT_LENGTH, body.len()).as_bytes());
    }
    bytes.extend_from_slice(b"\r\n");
    bytes.extend_from_slice(body);
    bytes.freeze()
}

/// Status line and headers, with the empty line.
#[must_use]
pub fn response_head(status: u16, headers: &Headers) -> Bytes {
    let mut bytes = BytesMut::new();
    bytes.extend_from_slice(format!("HTTP/1.1 {status} {}\r\n", reason(status)).as_bytes());
    lines(&mut bytes, headers);
    bytes.extend_from_slice(b"\r\n");
    bytes.freeze()
}

/// One chunk of a body.
#[must_use]
pub fn chunk(data: &[u8]) -> Bytes {
    let mut bytes = BytesMut::new();
    bytes.extend_from_slice(format!("{:x}\r\n", data.len()).as_bytes());
    bytes.extend_from_slice(data);
    bytes.extend_from_slice(b"\r\n");
    bytes.freeze()
}

fn lines(bytes: &mut BytesMut, headers: &Headers) {
    for header in &headers.0 {
        bytes.extend_from_slice(format!("{}: {}\r\n", header.name, header.value).as_bytes());
    }
}

fn reason(status: u16) -> &'static str {
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
