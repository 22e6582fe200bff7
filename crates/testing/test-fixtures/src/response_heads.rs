//! Sound and broken heads of HTTP/1.1 responses (RFC 9112), for stand-ins of servers.

/// How the body behind a head is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyCoding {
    /// As it is.
    Plain,
    /// As one chunk and the last chunk.
    Chunked,
}

/// The head of a response, less the headers that a protocol asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    /// The status line, without its line break.
    pub status_line: &'static str,
    /// The header lines, each with its line break, in Latin-1. `{length}` stands for the length of the body.
    pub lines: &'static str,
    /// How the body is written.
    pub coding: BodyCoding,
}

const OK: &str = "HTTP/1.1 200 OK";

impl ResponseHead {
    const fn plain(status_line: &'static str, lines: &'static str) -> ResponseHead {
        ResponseHead {
            status_line,
            lines,
            coding: BodyCoding::Plain,
        }
    }

    const fn chunked(status_line: &'static str, lines: &'static str) -> ResponseHead {
        ResponseHead {
            status_line,
            lines,
            coding: BodyCoding::Chunked,
        }
    }

    /// Returns the whole response: this head with `more_lines` in front of its own, then `body`.
    #[must_use]
    pub fn with_body(&self, more_lines: &str, body: &str) -> Vec<u8> {
        let coded = match self.coding {
            BodyCoding::Plain => body.to_owned(),
            BodyCoding::Chunked => format!("{:x}\r\n{body}\r\n0\r\n\r\n", body.len()),
        };
        let lines = self.lines.replace("{length}", &body.len().to_string());
        let head = format!("{}\r\n{more_lines}{lines}\r\n", self.status_line);
        let mut bytes: Vec<u8> = head.chars().map(latin_1).collect();
        bytes.extend(coded.as_bytes());
        bytes
    }
}

fn latin_1(character: char) -> u8 {
    u8::try_from(character).expect("the head is Latin-1")
}

/// Heads that do not say how long the body is: the body can't be read by them, or only by a guess.
pub const BROKEN_LENGTHS: &[ResponseHead] = &[
    ResponseHead::plain(OK, "Content-Length: {length}x\r\n"),
    ResponseHead::plain(OK, "Content-Length: x{length}\r\n"),
    ResponseHead::plain(OK, "Content-Length: \r\n"),
    ResponseHead::plain(OK, "Content-Length: -{length}\r\n"),
    ResponseHead::plain(OK, "Content-Length: +{length}\r\n"),
    ResponseHead::plain(OK, "Content-Length: 0x{length}\r\n"),
    ResponseHead::plain(OK, "Content-Length: {length} {length}\r\n"),
    ResponseHead::plain(OK, "Content-Length: {length}.0\r\n"),
    ResponseHead::plain(OK, "Content-Length: {length};\r\n"),
    ResponseHead::plain(OK, "Content-Length: \"{length}\"\r\n"),
    ResponseHead::plain(OK, "Content-Length: \u{b2}\r\n"),
    ResponseHead::plain(OK, "Content-Length: {length}, 1\r\n"),
    ResponseHead::plain(OK, "Content-Length: {length},\r\n"),
    ResponseHead::plain(
        OK,
        "Content-Length: {length}\r\nContent-Length: 1{length}\r\n",
    ),
    ResponseHead::plain(OK, "Content-Length: x\r\nContent-Length: {length}\r\n"),
    ResponseHead::plain(OK, "Content-Length: 18446744073709551616\r\n"),
    ResponseHead::plain(OK, "Content-Length: {length}\u{1}\r\n"),
    ResponseHead::chunked(OK, "Transfer-Encoding: chunkex\r\n"),
    ResponseHead::chunked(OK, "Transfer-Encoding: xchunked\r\n"),
    ResponseHead::chunked(OK, "Transfer-Encoding: chunked\u{fe}\r\n"),
    ResponseHead::chunked(OK, "Transfer-Encoding: chunked x\r\n"),
    ResponseHead::chunked(OK, "Transfer-Encoding: chunked;q=1\r\n"),
    ResponseHead::chunked(OK, "Transfer-Encoding: \r\n"),
    ResponseHead::chunked(OK, "Transfer-Encoding: identity\r\n"),
    ResponseHead::chunked(OK, "Transfer-Encoding: gzip\r\n"),
    ResponseHead::chunked(OK, "Transfer-Encoding: gzip, chunked\r\n"),
    ResponseHead::chunked(OK, "Transfer-Encoding: chunked, gzip\r\n"),
    ResponseHead::chunked(OK, "Transfer-Encoding: chunked, chunked\r\n"),
    ResponseHead::chunked(
        OK,
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
    ),
    ResponseHead::chunked(OK, "Transfer-Encoding: chunked\r\nTransfer-Encoding: x\r\n"),
    ResponseHead::chunked(OK, "Transfer-Encoding: x\r\nTransfer-Encoding: chunked\r\n"),
    ResponseHead::chunked("HTTP/1.0 200 OK", "Transfer-Encoding: chunked\r\n"),
    ResponseHead::chunked(
        OK,
        "Transfer-Encoding: chunked\r\nContent-Length: {length}\r\n",
    ),
    ResponseHead::chunked(OK, "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n"),
    ResponseHead::chunked(OK, "Content-Length: 999\r\nTransfer-Encoding: chunked\r\n"),
    ResponseHead::chunked(OK, "Content-Length: x\r\nTransfer-Encoding: chunked\r\n"),
    ResponseHead::plain(
        OK,
        "Transfer-Encoding: chunkex\r\nContent-Length: {length}\r\n",
    ),
    ResponseHead::plain("HTTP/1.1 404 Not Found", "Content-Length: {length}x\r\n"),
    ResponseHead::chunked("HTTP/1.1 404 Not Found", "Transfer-Encoding: chunkex\r\n"),
    ResponseHead::chunked("HTTP/1.1 500 Error", "Transfer-Encoding: chunkex\r\n"),
    ResponseHead::plain("HTTP/1.1 204 No Content", "Content-Length: {length}x\r\n"),
    ResponseHead::plain("HTTP/1.1 204 No Content", "Transfer-Encoding: chunkex\r\n"),
    ResponseHead::plain(
        "HTTP/1.1 304 Not Modified",
        "Content-Length: {length}\r\nContent-Length: 1{length}\r\n",
    ),
];

/// Heads with a line that is no header field, or whose name holds a character that no name may hold.
pub const BROKEN_LINES: &[ResponseHead] = &[
    ResponseHead::plain(OK, "Content-Length {length}\r\n"),
    ResponseHead::plain(OK, "Content-Length\r\n"),
    ResponseHead::plain(OK, "Content-Length: {length}\r\nno field\r\n"),
    ResponseHead::plain(OK, "no field\r\nContent-Length: {length}\r\n"),
    ResponseHead::plain(OK, "Content-Length: {length}\r\n=====\r\n"),
    ResponseHead::plain(OK, "Content-Length: {length}\r\n: value\r\n"),
    ResponseHead::plain(OK, "Content-Length: {length}\r\n:\r\n"),
    ResponseHead::plain(OK, "Content-Length: {length}\r\n folded\r\n"),
    ResponseHead::plain(OK, " Content-Length: {length}\r\n"),
    ResponseHead::plain(OK, "Content-Length : {length}\r\n"),
    ResponseHead::plain(OK, "Content-Length\t: {length}\r\n"),
    ResponseHead::plain(OK, "Content Length: {length}\r\n"),
    ResponseHead::plain(OK, "Content\u{1}Length: {length}\r\n"),
    ResponseHead::plain(OK, "Content-Length: {length}\r\nX Y: value\r\n"),
    ResponseHead::plain(OK, "Content-Length: {length}\r\nX-Y : value\r\n"),
    ResponseHead::plain(OK, "Content-Length: {length}\r\nX\tY: value\r\n"),
    ResponseHead::plain(OK, "Content-Length: {length}\r\nX\u{0}Y: value\r\n"),
    ResponseHead::plain(OK, "Content-Length: {length}\r\nX\u{7f}Y: value\r\n"),
    ResponseHead::plain(OK, "Content-Length: {length}\r\nX\u{fe}Y: value\r\n"),
    ResponseHead::plain(OK, "Content-Length: {length}\r\n(X): value\r\n"),
    ResponseHead::plain(OK, "Content-Length: {length}\r\nX-Y: a\u{1}b\r\n"),
    ResponseHead::plain(OK, "Content-Length: {length}\r\nX-Y: a\u{0}b\r\n"),
    ResponseHead::plain(OK, "Content-Length: {length}\rX-Y: value\r\n"),
    ResponseHead::chunked(OK, "Transfer-Encoding chunked\r\n"),
    ResponseHead::chunked(OK, "Transfer-Encoding : chunked\r\n"),
    ResponseHead::chunked(OK, "Transfer Encoding: chunked\r\n"),
    ResponseHead::chunked(OK, "Transfer\u{1}Encoding: chunked\r\n"),
    ResponseHead::chunked(OK, "Transfer-Encoding: chunked\r\nno field\r\n"),
];

/// Heads whose status line is broken, or whose status is no status of HTTP (RFC 9110 section 15).
pub const BROKEN_STATUS_LINES: &[ResponseHead] = &[
    ResponseHead::plain("HTTP/1.1 000 OK", "Content-Length: {length}\r\n"),
    ResponseHead::plain("HTTP/1.1 099 OK", "Content-Length: {length}\r\n"),
    ResponseHead::plain("HTTP/1.1 600 OK", "Content-Length: {length}\r\n"),
    ResponseHead::plain("HTTP/1.1 999 OK", "Content-Length: {length}\r\n"),
    ResponseHead::plain("HTTP/1.1 20 OK", "Content-Length: {length}\r\n"),
    ResponseHead::plain("HTTP/1.1 2000 OK", "Content-Length: {length}\r\n"),
    ResponseHead::plain("HTTP/1.1 2x0 OK", "Content-Length: {length}\r\n"),
    ResponseHead::plain("HTTP/1.1 200OK", "Content-Length: {length}\r\n"),
    ResponseHead::plain("HTTP/1.1  200 OK", "Content-Length: {length}\r\n"),
    ResponseHead::plain("HTTP/1.1\t200 OK", "Content-Length: {length}\r\n"),
    ResponseHead::plain("HTTP/1.1 200 O\u{1}K", "Content-Length: {length}\r\n"),
    ResponseHead::plain("HTTP/1.1", "Content-Length: {length}\r\n"),
    ResponseHead::plain(" HTTP/1.1 200 OK", "Content-Length: {length}\r\n"),
    ResponseHead::plain("HTTP/0.9 200 OK", "Content-Length: {length}\r\n"),
    ResponseHead::plain("HTTP/1.2 200 OK", "Content-Length: {length}\r\n"),
    ResponseHead::plain("HTTP/2.0 200 OK", "Content-Length: {length}\r\n"),
    ResponseHead::plain("http/1.1 200 OK", "Content-Length: {length}\r\n"),
    ResponseHead::plain("200 OK", "Content-Length: {length}\r\n"),
    ResponseHead::chunked("HTTP/1.1 000 OK", "Transfer-Encoding: chunked\r\n"),
    ResponseHead::chunked("HTTP/1.1 000 OK", ""),
    ResponseHead::chunked("HTTP/1.1 999 OK", "Transfer-Encoding: chunked\r\n"),
];

/// Sound successes, in each form that a server may give them.
pub const SOUND_SUCCESSES: &[ResponseHead] = &[
    ResponseHead::plain(OK, "Content-Length: {length}\r\n"),
    ResponseHead::plain(OK, "content-length:{length}\r\n"),
    ResponseHead::plain(OK, "CONTENT-LENGTH: \t {length} \t\r\n"),
    ResponseHead::plain(OK, "Content-Length: 00{length}\r\n"),
    ResponseHead::plain(OK, "Content-Length: {length}, {length}\r\n"),
    ResponseHead::plain(OK, "Content-Length: {length}, 0{length}\r\n"),
    ResponseHead::plain(
        OK,
        "Content-Length: {length}\r\nContent-Length: 0{length}\r\n",
    ),
    ResponseHead::plain(
        OK,
        "Content-Length: {length}\r\nContent-Length: {length}\r\n",
    ),
    ResponseHead::chunked(OK, "Transfer-Encoding: chunked\r\n"),
    ResponseHead::chunked(OK, "transfer-encoding:Chunked\r\n"),
    ResponseHead::chunked(OK, "TRANSFER-ENCODING: \tCHUNKED \t\r\n"),
    ResponseHead::plain(OK, ""),
    ResponseHead::plain(OK, "Connection: close\r\n"),
    ResponseHead::plain(OK, "Connection: close\r\nContent-Length: {length}\r\n"),
    ResponseHead::chunked(OK, "Connection: close\r\nTransfer-Encoding: chunked\r\n"),
    ResponseHead::plain("HTTP/1.0 200 OK", ""),
    ResponseHead::plain("HTTP/1.0 200 OK", "Content-Length: {length}\r\n"),
    ResponseHead::plain("HTTP/1.1 200 ", "Content-Length: {length}\r\n"),
    ResponseHead::plain("HTTP/1.1 200 All Right", "Content-Length: {length}\r\n"),
    ResponseHead::plain(
        OK,
        "Content-Length: {length}\r\n!#$%&'*+-.^_`|~09azAZ: value\r\n",
    ),
    ResponseHead::plain(OK, "X-Empty:\r\nContent-Length: {length}\r\n"),
    ResponseHead::plain(
        OK,
        "X-Latin: \u{e4}\u{fe}\tx\r\nContent-Length: {length}\r\n",
    ),
];
